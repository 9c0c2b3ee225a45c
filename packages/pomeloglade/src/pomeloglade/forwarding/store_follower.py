"""Follows the platform's store, and knows how old its knowledge is."""

from datetime import timedelta
from random import Random
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from pomeloglade_coordination.errors import HistoryLostError, KeyValueError
from pomeloglade_coordination.key_value import Entry, KeyValueStore

from .event_log import EventLog

MAX_WATCH_SECONDS = 2.5
"""Wait of one watch. Each costs a call, and the age of what is known grows to it;
withdrawn keys allow some 3.8 s, of which a lost watch takes the rest."""

MIN_WATCH_SECONDS = 0.3
BATCH_SECONDS = 0.5
"""Pause after changes that are not urgent, so that more come in one answer; a
configuration that comes meanwhile is still in force within its two seconds."""

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.0
RECOVERY_SECONDS = 2.0
"""How long after the store's return live servers' entries may be missing."""


class StoreListener(Protocol):
    """What a ``StoreFollower`` reports to."""

    def urgent(self, entry: Entry) -> bool:
        """Whether changes like this one must be learned at once."""

    def replace_all(self, entries: tuple[Entry, ...], *, lenient: bool) -> None:
        """Take all entries."""

    def apply_change(self, entry: Entry, *, lenient: bool) -> None:
        """Take one changed or deleted entry."""


class StoreFollower:
    """Keeps a copy of a prefix by a full read and watches after it.

    What is known is proved at the instant at which the proving read was sent; an
    empty watch proves the whole wait too, since the store answers it only then.
    ``lenient`` is passed on with removals while the store is coming back, when
    entries of live servers may have lapsed.

    Parameters
    ----------
    clock : IReactorTime
        Tells ages, and spaces reads after failures.
    store : KeyValueStore
        The platform's store.
    prefix : str
        Which keys are followed.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: KeyValueStore,
        prefix: str,
        listener: StoreListener,
        log: EventLog,
        random: Random,
    ) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._log = log
        self._random = random
        self._revision: int | None = None
        self._confirmed_at: float | None = None
        self._failures = 0
        self._recovered_at = clock.seconds()
        self.calls = 0

    @property
    def revision(self) -> int | None:
        """The store's revision up to which everything is known."""
        return self._revision

    def age(self) -> float:
        """Return the seconds since what is known was surely true."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.seconds() - self._confirmed_at

    def start(self) -> "Deferred[None]":
        """Follow until the result is cancelled."""
        return Deferred.fromCoroutine(self._run())

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryLostError as error:
                self._log.event("store_history_lost", reason=str(error))
                self._revision = None
            except KeyValueError as error:
                await self._failed(error)

    async def _step(self) -> None:
        sent = self._clock.seconds()
        self.calls += 1
        if self._revision is None:
            found = await self._store.snapshot(self._prefix)
            self._succeeded()
            self._listener.replace_all(found.entries, lenient=self._lenient())
            self._revision = found.revision
            self._confirm(sent)
            return
        spent = min(self.age(), MAX_WATCH_SECONDS)
        wait = max(MIN_WATCH_SECONDS, MAX_WATCH_SECONDS - spent)
        if self._failures:
            wait = MIN_WATCH_SECONDS
        found = await self._store.changes(
            self._prefix, self._revision, timedelta(seconds=wait)
        )
        self._succeeded()
        for entry in found.entries:
            self._listener.apply_change(entry, lenient=self._lenient())
        self._revision = max(self._revision, found.revision)
        waited = self._clock.seconds() - sent >= wait
        self._confirm(sent + wait if waited and not found.entries else sent)
        if found.entries and not any(map(self._listener.urgent, found.entries)):
            # Instances of a fleet register together; each would wake all others.
            await deferLater(self._clock, BATCH_SECONDS)

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
