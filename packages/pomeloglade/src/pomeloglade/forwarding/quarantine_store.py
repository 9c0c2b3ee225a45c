"""Quarantined keys in the platform's store, and trials of them by new software."""

import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from pomeloglade_coordination.errors import KeyValueError, RevisionConflictError
from pomeloglade_coordination.key_value import ABSENT, Entry, KeyValueStore
from pomeloglade_coordination.lasting_tasks import guarded

from ..protocol.quarantine import (
    QuarantineEntry,
    decode,
    encode,
    key_of,
    store_key,
)
from .backends import MAX_COPY_AGE_SECONDS, Backends, BackendServer
from .crash_quarantine import (
    QUARANTINE_SECONDS,
    CrashQuarantine,
    Quarantine,
    ServerRun,
)
from .entry_isolation import isolated
from .event_log import EventLog
from .quarantine_trials import QuarantineTrials
from .write_turns import write_turn

CHECK_SECONDS = 0.25
"""Interval in which what the store lacks is looked for. It costs no call."""

WRITE_PAUSE_SECONDS = 5.0
"""Shortest time between two calls for one key, after failed ones too. A change of the
store is known everywhere after 3 s."""

MISSING_SECONDS = 5.0
RANK_SECONDS = 3.0
MAX_RANK = 20
"""How long an entry must be missing, or be there in vain, until an instance acts that
has not seen the reason, and how much longer for each instance that is asked before.
The first one's change is known everywhere after ``RANK_SECONDS``."""

EXPIRED_SECONDS = 5.0
"""Time after its end for which an entry stays, as clocks differ."""

MAX_CLOCK_DIFFERENCE_SECONDS = 60.0
"""Largest difference between the times of day of two machines."""

VERSIONS_SECONDS = 60.0
"""Time before a quarantine in which the service's software versions are not new."""

MAX_ENTRIES = 500
"""Limit on the entries that are read or written."""

MAX_SERVERS = 16
"""Servers in an entry. More are not needed to tell it from other keys' entries."""

RENEWED_SECONDS = 30.0
"""Time by which a quarantine must end later than its entry says to be written again."""

MAX_SERVICES = 1_000

MAX_TRIALS_CLAIMED = 1_000
"""Limit on the remembered keys whose trial was claimed."""


class QuarantineStore:
    """Keeps the quarantined keys in the store, and learns those that are there.

    The instance that saw the last end of a server under a key writes its entry, and the
    one whose answer shows the key sound deletes it. Others do so only if it has not
    been done after five seconds in contact with the store, one after the other in an
    order that depends on the key. A deletion that is read ends the quarantine. Entries
    that a store restored from an older copy lacks are written again, and those that
    were deleted since are deleted again.

    All calls to the store are made from a timer or in the background: nothing that is
    on a call's path waits for one.

    Parameters
    ----------
    instance : str
        The name of this instance.
    instances : callable
        Returns the names of the registered instances.
    store_age : callable
        Returns the age of what is known of the store, in seconds.
    wall_time : callable
        Returns the seconds of Unix time. Entries name their end in it, as the clocks
        of machines count from their own start.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        store: KeyValueStore,
        instance: str,
        quarantine: CrashQuarantine,
        backends: Backends,
        log: EventLog,
        instances: Callable[[], Iterable[str]],
        store_age: Callable[[], float],
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._store = store
        self._instance = instance
        self._quarantine = quarantine
        self._backends = backends
        self._log = log
        self._instances = instances
        self._store_age = store_age
        self._wall_time = wall_time
        self._entries_by_key: dict[int, tuple[QuarantineEntry, int]] = {}
        self._trials_claimed: dict[int, None] = {}
        self._removed_at_by_key: dict[int, float] = {}
        self._to_delete: set[int] = set()
        self._due_since_by_key: dict[int, float] = {}
        self._called_at_by_key: dict[int, float] = {}
        self._service_by_run: dict[ServerRun, str] = {}
        self._timer = LoopingCall(guarded("quarantine_store", self.check))
        self._timer.clock = clock
        self.calls = 0
        self.trials = QuarantineTrials(quarantine, backends, self.entry, self._claim)
        quarantine.on_disproved = self._to_delete.add

    def start(self) -> None:
        """Start the periodic check."""
        self._timer.start(CHECK_SECONDS, now=False)

    def count(self) -> int:
        """Return the number of entries in the store, as far as is known."""
        return len(self._entries_by_key)

    def entry(self, key: int) -> QuarantineEntry | None:
        """Return the entry of a key, or ``None``."""
        known = self._entries_by_key.get(key)
        return known[0] if known is not None else None

    def record_loss(self, server: BackendServer) -> None:
        """Remember the service of a server that may have ended."""
        while len(self._service_by_run) >= MAX_SERVICES:
            del self._service_by_run[next(iter(self._service_by_run))]
        self._service_by_run[server.run] = server.service

    def replace_all(self, entries: Iterable[Entry], *, restored: bool) -> None:
        """Learn all entries of the store.

        Of a ``restored`` store, which may be older, a missing entry was not lifted, and
        one that was deleted a short time ago does not count.
        """
        missing = set(self._entries_by_key)
        for entry in entries:
            apply = partial(self._apply, entry, restored=restored)
            missing.discard(isolated(self._log, entry, apply, None))
        for key in missing:
            if restored:
                del self._entries_by_key[key]
            else:
                self._remove(key)

    def apply_change(self, entry: Entry) -> None:
        """Learn the change or the deletion of one entry."""
        self._apply(entry, restored=False)

    def check(self) -> None:
        """Write, renew and delete what is due, in the background."""
        quarantined = self._quarantine.quarantined()
        in_contact = self._store_age() < MISSING_SECONDS
        due = {}
        for key, each in quarantined.items():
            if self._must_write(key, each):
                due[key] = each.seen_here
        for key, (entry, _) in self._entries_by_key.items():
            if key in self._to_delete:
                due[key] = True
            elif self._must_delete(key, entry):
                due[key] = False
        self._to_delete &= set(self._entries_by_key)
        now = self._clock.seconds()
        self._due_since_by_key = {
            key: self._due_since_by_key.get(key, now) if in_contact else now
            for key in due
        }
        for key, by_this in due.items():
            waited = now - self._due_since_by_key[key]
            called_at = self._called_at_by_key.get(key, float("-inf"))
            if now - called_at < WRITE_PAUSE_SECONDS:
                continue
            if not by_this and waited < self._others_wait(key):
                continue
            if key in quarantined and key not in self._to_delete:
                self._write(key, quarantined[key])
            else:
                self._delete(key)

    def _must_write(self, key: int, quarantine: Quarantine) -> bool:
        """Return whether the store lacks the ends that are known here."""
        entry = self.entry(key)
        if entry is None:
            return len(self._entries_by_key) < MAX_ENTRIES
        new_runs = quarantine.runs - set(entry.servers)
        renewed = self._wall_time() + quarantine.seconds_left - entry.until
        return (
            bool(new_runs) and len(entry.servers) < MAX_SERVERS
        ) or renewed > RENEWED_SECONDS

    def _must_delete(self, key: int, entry: QuarantineEntry) -> bool:
        removed_at = self._removed_at_by_key.get(key, float("-inf"))
        return (
            self._wall_time() > entry.until + EXPIRED_SECONDS
            or self._quarantine.is_sound(key)
            or self._clock.seconds() - removed_at <= MAX_COPY_AGE_SECONDS
        )

    def _others_wait(self, key: int) -> float:
        """Return the seconds for which this instance leaves an entry to others."""
        turn = write_turn(f"{key:016x}", self._instance, self._instances())
        return MISSING_SECONDS + RANK_SECONDS * min(turn, MAX_RANK)

    def _apply(self, entry: Entry, *, restored: bool) -> int | None:
        """Learn one entry, and return its key."""
        try:
            key = key_of(entry.key)
            read = decode(entry.value) if entry.value else None
            if read is not None:
                self._ensure_end_is_plausible(read)
        except ValueError as error:
            reason = str(error)[:200]
            self._log.event("quarantine_rejected", key=entry.key[:80], reason=reason)
            return None
        if read is None:
            self._remove(key)
            return key
        if key not in self._entries_by_key and self.count() >= MAX_ENTRIES:
            return key
        self._keep(key, read, entry.revision)
        removed_at = self._removed_at_by_key.get(key, float("-inf"))
        if restored and self._clock.seconds() - removed_at <= MAX_COPY_AGE_SECONDS:
            return key
        self._removed_at_by_key.pop(key, None)
        left = min(QUARANTINE_SECONDS, read.until - self._wall_time())
        if left > 0:
            self._quarantine.restore(key, read.servers, left)
        return key

    def _ensure_end_is_plausible(self, entry: QuarantineEntry) -> None:
        """Raise ``ValueError`` if an entry ends later than any that is written."""
        left = entry.until - self._wall_time()
        if left > QUARANTINE_SECONDS + MAX_CLOCK_DIFFERENCE_SECONDS:
            raise ValueError(f"quarantine ends in {left:.0f} s")

    def _keep(self, key: int, entry: QuarantineEntry, revision: int) -> None:
        """Keep an entry, with a claim that an older copy of it may not have."""
        if entry.trial_claimed:
            self._trials_claimed.pop(key, None)
            if len(self._trials_claimed) >= MAX_TRIALS_CLAIMED:
                del self._trials_claimed[next(iter(self._trials_claimed))]
            self._trials_claimed[key] = None
        elif key in self._trials_claimed:
            entry = replace(entry, trial_claimed=True)
        self._entries_by_key[key] = entry, revision

    def _remove(self, key: int) -> None:
        """End a quarantine whose entry was deleted; not one that has run out."""
        known = self._entries_by_key.pop(key, None)
        now = self._clock.seconds()
        for other, at in list(self._removed_at_by_key.items()):
            if now - at > MAX_COPY_AGE_SECONDS:
                del self._removed_at_by_key[other]
        if known is not None and self._wall_time() < known[0].until:
            self._removed_at_by_key[key] = now
            self._trials_claimed.pop(key, None)
            self._quarantine.lift(key)

    def _write(self, key: int, quarantine: Quarantine) -> None:
        known, revision = self._entries_by_key.get(key, (None, ABSENT))
        runs = {*quarantine.runs, *(known.servers if known is not None else ())}
        services = (self._service_of(run) for run in sorted(quarantine.runs))
        service = next(filter(None, services), "")
        if known is not None and known.service:
            service = known.service
        versions = self._backends.software_versions(service, VERSIONS_SECONDS)
        if known is not None:
            versions = {*versions, *known.software_versions}
        entry = QuarantineEntry(
            service,
            tuple(sorted(runs)[:MAX_SERVERS]),
            tuple(sorted(versions)),
            round(self._wall_time() + quarantine.seconds_left, 3),
            self._instance,
            trial_claimed=key in self._trials_claimed,
        )
        self._put(key, entry, revision, "quarantine_stored")

    def _service_of(self, run: ServerRun) -> str:
        server = self._backends.get(run[0])
        registered = server.service if server is not None else ""
        return self._service_by_run.get(run, registered)

    def _claim(self, key: int, version: str) -> "Deferred[bool] | None":
        """Claim the trial of a key by a software version for this instance.

        Returns whether this instance has it, or ``None`` if it can't be claimed now.
        """
        known = self._entries_by_key.get(key)
        called_at = self._called_at_by_key.get(key, float("-inf"))
        if known is None or self._clock.seconds() - called_at < WRITE_PAUSE_SECONDS:
            return None
        entry, revision = known
        versions = tuple(sorted({*entry.software_versions, version}))
        claimed = replace(
            entry,
            software_versions=versions,
            written_by=self._instance,
            trial_claimed=True,
        )
        return self._put(key, claimed, revision, "quarantine_trial_claimed")

    def _put(
        self, key: int, entry: QuarantineEntry, expected: int, event: str
    ) -> "Deferred[bool]":
        self._called_at_by_key[key] = self._clock.seconds()
        self.calls += 1
        done = self._store.put(store_key(key), encode(entry), expected=expected)

        def succeeded(revision: int) -> bool:
            known = self._entries_by_key.get(key)
            if known is None or known[1] < revision:
                self._keep(key, entry, revision)
            self._log.event(event, key=f"{key:016x}", servers=len(entry.servers))
            return True

        done.addCallbacks(succeeded, self._failed, errbackArgs=(key,))
        return done

    def _delete(self, key: int) -> None:
        self._called_at_by_key[key] = self._clock.seconds()
        self.calls += 1
        _, revision = self._entries_by_key[key]
        done = self._store.delete(store_key(key), expected=revision)

        def succeeded(_: object) -> None:
            self._to_delete.discard(key)
            self._remove(key)
            self._log.event("quarantine_deleted", key=f"{key:016x}")

        done.addCallbacks(succeeded, self._failed, errbackArgs=(key,))

    def _failed(self, failure: Failure, key: int) -> bool:
        """Leave the key to the next check; another instance may have been first."""
        failure.trap(KeyValueError)
        if not failure.check(RevisionConflictError):
            reason = str(failure.value)[:200]
            self._log.event("quarantine_not_stored", key=f"{key:016x}", reason=reason)
        return False
