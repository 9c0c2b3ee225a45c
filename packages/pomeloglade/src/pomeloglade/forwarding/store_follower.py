"""Follows the platform's store with watches and tracks the age of the copy."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random
from typing import NamedTuple, Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from pomeloglade_coordination.errors import HistoryCompactedError, KeyValueError
from pomeloglade_coordination.key_value import Entry, KeyValueStore, Snapshot
from pomeloglade_coordination.store_era import era_of

from .change_relay import ChangeRelay
from .entry_isolation import isolated
from .event_log import EventLog

MAX_WATCH_SECONDS = 2.5
"""Longest time-out of one watch. A longer one costs fewer calls to the store, but the
copy may grow as old as the time-out. The time limit on serving withdrawn keys allows an
age of some 3.8 s; the difference is for a lost watch."""

MIN_WATCH_SECONDS = 0.3
BATCH_SECONDS = 0.5
"""Pause after changes that are not urgent, so that the next watch returns several at
once. A configuration written meanwhile is still applied within its two seconds."""

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.0
RECOVERY_SECONDS = 2.0
"""Time after a store outage in which entries of live servers may be missing."""


CONTACT_WATCH_SECONDS = 1.25
"""Time-out of the watches of an instance that relays its proof to others. The proof's
age and that of the relayed report add up."""

MAX_RELAYED_AGE_SECONDS = 2.5
"""Age of a relayed proof at which an instance asks the store itself. What is left of
the time limit on serving withdrawn keys is enough for a call that times out."""

RELAY_CHECK_SECONDS = 0.25
MAX_LAG_SECONDS = 3.0
"""Time for which changes that are not urgent may wait while proofs are relayed."""


class StoreProof(NamedTuple):
    """An instance's position in the store, and how long ago it was the newest one.

    ``urgent_position`` is that of the last change that must be applied at once.
    """

    position: int
    urgent_position: int
    age: float


class StoreListener(Protocol):
    """Receives what a ``StoreFollower`` reads."""

    def urgent(self, entry: Entry) -> bool:
        """Return whether changes of this entry must be applied without delay."""

    def relevant(self, entry: Entry) -> bool:
        """Return whether a change of this entry makes a difference."""

    def replace_all(
        self, entries: tuple[Entry, ...], *, lenient: bool, restored: bool
    ) -> None:
        """Replace all entries by those of a full read.

        ``restored`` entries come from a copy that may be older than the last ones.
        """

    def apply_change(self, entry: Entry, *, lenient: bool) -> None:
        """Apply one changed or deleted entry."""


class StoreFollower:
    """Follows the keys of a prefix by a full read and successive watches.

    A read or watch confirms the copy as of the time at which it was sent. A watch that
    times out without changes confirms it up to its time-out, since the store would
    have answered earlier otherwise. Changes are passed on as ``lenient`` during and
    shortly after a store outage, when entries of live servers may have lapsed. When the
    store returns from an older copy, all is read again.

    In a large fleet, the contact of the instance's group relays its own proof. While it
    is fresh enough, this instance calls the store only to fetch changes that the
    contact has seen, and otherwise it watches the store itself.

    Parameters
    ----------
    clock : IReactorTime
        Times the age of the copy and the pauses after failures.
    store : KeyValueStore
        The platform's store.
    prefix : str
        Prefix of the keys to follow.
    relay : ChangeRelay or None
        Passes relevant changes on to the members of this instance's group, or brings
        them from its contact.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: KeyValueStore,
        prefix: str,
        listener: StoreListener,
        log: EventLog,
        random: Random,
        relay: ChangeRelay | None = None,
    ) -> None:
        self._clock = clock
        self._relay = relay
        if relay is not None:
            relay.on_batch = self._apply_relayed_changes
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._log = log
        self._random = random
        self._revision: int | None = None
        self._era: int | None = None
        self._watch: Deferred[Snapshot] | None = None
        self._confirmed_at: float | None = None
        self._failures = 0
        self._urgent_position = 0
        self._relayed: StoreProof | None = None
        self._behind_since: float | None = None
        self._pause: Deferred[None] | None = None
        self.relays_proofs = False
        self._recovered_at = clock.seconds()
        self.calls = 0
        store.era.subscribe(lambda: clock.callLater(0, self._end_watch))

    @property
    def revision(self) -> int | None:
        """The store's revision up to which all changes have been applied."""
        return self._revision

    def age(self) -> float:
        """Return the seconds since the copy was last confirmed to be current."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.seconds() - self._confirmed_at

    def proof(self) -> StoreProof | None:
        """Return the proof for other instances, or ``None`` before the first read."""
        if self._revision is None:
            return None
        position = self._revision if self._relay is None else self._relay.position
        return StoreProof(position, self._urgent_position, self.age())

    def apply_relayed(self, proof: StoreProof, confirmed_at: float) -> None:
        """Apply a contact's proof, which was true at ``confirmed_at`` or later."""
        self._relayed = proof
        if self._revision is None:
            return
        if proof.position <= self._revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._clock.seconds()
        if proof.urgent_position <= self._revision:
            self._confirm(confirmed_at)
        else:
            self._end_pause()

    def _apply_relayed_changes(self) -> None:
        """Apply the changes that the contact has passed on, as far as none is missing.

        A watch that is under way may still bring some of them, which are ignored then.
        """
        while self._revision is not None:
            batch = self._relay.take_applicable(self._revision)
            if batch is None:
                return
            self._apply(_newer(batch.entries, self._revision))
            self._revision = batch.position
            if self._relayed is not None and self._relayed.position <= batch.position:
                self._behind_since = None

    def _apply(self, entries: tuple[Entry, ...]) -> list[Entry]:
        """Apply changes, and return the urgent ones."""
        # Before they are applied: a removal is urgent only while the server is known.
        urgent = [each for each in entries if self._is(self._listener.urgent, each)]
        relevant = []
        for entry in entries:
            if self._relay is not None and self._is(self._listener.relevant, entry):
                relevant.append(entry)
            apply = partial(self._listener.apply_change, entry, lenient=self._lenient())
            isolated(self._log, entry, apply, None)
        if self._relay is not None:
            self._relay.publish(relevant, to_members=self.relays_proofs)
        newest = max((each.revision for each in urgent), default=0)
        self._urgent_position = max(self._urgent_position, newest)
        return urgent

    def _is(self, quality: Callable[[Entry], bool], entry: Entry) -> bool:
        return isolated(self._log, entry, partial(quality, entry), False)

    def _covered_by_relay(self) -> bool:
        """Return whether a relayed proof makes a call to the store needless."""
        if self.relays_proofs or self._relayed is None:
            return False
        lag = 0.0
        if self._behind_since is not None:
            lag = self._clock.seconds() - self._behind_since
        return (
            self._relayed.urgent_position <= self._revision
            and self.age() < MAX_RELAYED_AGE_SECONDS
            and lag < MAX_LAG_SECONDS
        )

    async def _wait_for_relay(self) -> None:
        pause = self._pause = Deferred()
        timer = self._clock.callLater(RELAY_CHECK_SECONDS, self._end_pause)
        await pause
        if timer.active():
            timer.cancel()

    def _end_pause(self) -> None:
        pause, self._pause = self._pause, None
        if pause is not None:
            pause.callback(None)

    def start(self) -> "Deferred[None]":
        """Follow until the result is cancelled."""
        return Deferred.fromCoroutine(self._run())

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryCompactedError as error:
                self._log.event("store_history_lost", reason=str(error))
                self._revision = None
            except CancelledError:
                if self._era == self._store.era.current:
                    raise
                self._revision = None
            except KeyValueError as error:
                await self._failed(error)
            except Exception as error:
                # The copy grows old meanwhile; the process keeps its calls.
                self._log.event("store_not_applied", reason=repr(error)[:200])
                self._revision = None
                await deferLater(self._clock, MAX_RETRY_SECONDS)

    async def _step(self) -> None:
        if self._revision is not None and self._covered_by_relay():
            await self._wait_for_relay()
            return
        sent_at = self._clock.seconds()
        self.calls += 1
        if self._revision is None:
            result = await self._store.snapshot(self._prefix)
            self._succeeded()
            era = era_of(result.revision)
            restored = self._era is not None and era != self._era
            if restored:
                self._recovered_at = self._clock.seconds()
                self._log.event("store_restored", era=era, previous=self._era)
            self._era = era
            self._listener.replace_all(
                result.entries, lenient=self._lenient(), restored=restored
            )
            self._revision = self._urgent_position = result.revision
            if self._relay is not None:
                self._relay.restart(result.revision)
            self._behind_since = None
            self._confirm(sent_at)
            return
        longest = CONTACT_WATCH_SECONDS if self.relays_proofs else MAX_WATCH_SECONDS
        wait = max(MIN_WATCH_SECONDS, longest - min(self.age(), longest))
        if self._failures or self._behind_since is not None:
            wait = MIN_WATCH_SECONDS
        watched_from = self._revision
        self._watch = self._store.changes(
            self._prefix, watched_from, timedelta(seconds=wait)
        )
        try:
            result = await self._watch
        finally:
            self._watch = None
        self._succeeded()
        entries = result.entries
        if self._revision != watched_from:
            # Relayed changes were applied meanwhile.
            entries = _newer(entries, self._revision)
        urgent = self._apply(entries)
        self._revision = max(self._revision, result.revision)
        self._behind_since = None
        timed_out = self._clock.seconds() - sent_at >= wait
        self._confirm(sent_at + wait if timed_out and not result.entries else sent_at)
        if result.entries and not urgent:
            # The instances of a fleet register at the same time; without the pause
            # each registration would end the watches of all the others.
            await deferLater(self._clock, BATCH_SECONDS)

    def _end_watch(self) -> None:
        """End a watch of an earlier era, which may never be answered."""
        if self._watch is not None and self._era != self._store.era.current:
            self._watch.cancel()

    def _confirm(self, instant: float) -> None:
        if self._confirmed_at is None or instant > self._confirmed_at:
            self._confirmed_at = instant

    def _succeeded(self) -> None:
        if self._failures:
            self._recovered_at = self._clock.seconds()
            self._log.event("store_regained", failures=self._failures)
        self._failures = 0

    async def _failed(self, error: KeyValueError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.event("store_lost", reason=str(error), age=self.age())
        longest = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** (self._failures - 1))
        pause = self._random.uniform(longest / 2, longest)
        await deferLater(self._clock, pause)

    def _lenient(self) -> bool:
        since = self._clock.seconds() - self._recovered_at
        return self._failures > 0 or since < RECOVERY_SECONDS


def _newer(entries: tuple[Entry, ...], revision: int) -> tuple[Entry, ...]:
    return tuple(each for each in entries if each.revision > revision)
