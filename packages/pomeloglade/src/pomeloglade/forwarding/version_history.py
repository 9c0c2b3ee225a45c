"""The software versions that services had a short time ago, kept in the store."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import msgspec
from twisted.internet.defer import TimeoutError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from pomeloglade_coordination.errors import KeyValueError, RevisionConflictError
from pomeloglade_coordination.key_value import ABSENT, Entry, KeyValueStore
from pomeloglade_coordination.lasting_tasks import guarded

from ..protocol.software_versions import (
    VersionRecord,
    decode,
    encode,
    service_of,
    store_key,
)
from .backends import Backends, BackendServer
from .entry_isolation import isolated
from .event_log import EventLog
from .stream_origins import ORIGIN_SECONDS
from .write_turns import write_turn

CHECK_SECONDS = 0.25
"""Interval in which what the records lack is looked for. It costs no call."""

WRITE_PAUSE_SECONDS = 1.0
"""Shortest time between two calls for one service, after failed ones too."""

TURN_SECONDS = 3.0
MAX_TURN = 20
"""How long a record must be out of date for each instance that is to write it before.
A change of the store is known everywhere after ``TURN_SECONDS``."""

GONE_SECONDS = 2.0
"""Time after which a version without servers counts as gone. Those of a service with
one server are without for a moment when it restarts."""

CONFIRM_SECONDS = 0.5
"""Time for which a caller waits for the store, which answers within milliseconds."""

MAX_VERSIONS = 32
"""Limit on the versions in a record."""

UNREADABLE = VersionRecord({}, era=-1)
"""Stands for a record that can't be decoded. As one of an earlier era, it may lack
versions and is written again."""


@dataclass(slots=True)
class _Known:
    """The record of a service with its revision, and what follows from it here.

    ``seen_at_by_version`` and ``incomplete_until`` are times of this instance's clock.
    """

    record: VersionRecord
    revision: int
    seen_at_by_version: dict[str, float]
    incomplete_until: float


class VersionHistory:
    """Tells which software versions may have begun the streams that still run.

    Instances that end all at once forget which versions there were, so one instance
    writes them to the store: each version of a service once it has servers, and when
    it has none any more. A version is written before resumable streams begin at it, as
    long as the service has engines of a version that is. Which instance writes follows
    from ``write_turn``; the others do so only if it has not.

    What is written holds while the store is away, and calls are made from a timer only.
    A record of an earlier era was restored from an older copy: it may lack a version,
    which an instance that ran meanwhile knows and writes again. To an instance that has
    just started, the versions of such a service are not known for ``ORIGIN_SECONDS``.

    Parameters
    ----------
    backends : Backends
        The servers that are registered now, and were while this instance ran.
    services : callable
        Returns the names of the services whose versions are kept.
    instance : str
        The name of this instance.
    instances : callable
        Returns the names of the registered instances.
    store_age : callable
        Returns the age of what is known of the store, in seconds.
    wall_time : callable
        Returns the seconds of Unix time, in which records give times.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        store: KeyValueStore,
        instance: str,
        backends: Backends,
        log: EventLog,
        services: Callable[[], Iterable[str]],
        instances: Callable[[], Iterable[str]],
        store_age: Callable[[], float],
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._clock = clock
        self._store = store
        self._instance = instance
        self._backends = backends
        self._log = log
        self._services = services
        self._instances = instances
        self._store_age = store_age
        self._wall_time = wall_time
        self._known_by_service: dict[str, _Known] = {}
        self._due_since_by_service: dict[str, float] = {}
        self._called_at_by_service: dict[str, float] = {}
        self._was_read = False
        self._timer = LoopingCall(guarded("version_history", self.check))
        self._timer.clock = clock
        self.calls = 0

    def start(self) -> None:
        """Start the periodic check."""
        self._timer.start(CHECK_SECONDS, now=False)

    def stop(self) -> None:
        """Stop the periodic check."""
        self._timer.stop()

    def recent(self, service: str) -> set[str]:
        """Return the versions that may have begun a stream of a service.

        These are the ones that had servers in the last ``ORIGIN_SECONDS``.
        """
        versions = self._backends.software_versions(service, ORIGIN_SECONDS)
        known = self._known_by_service.get(service)
        if known is not None:
            oldest = self._clock.seconds() - ORIGIN_SECONDS
            seen = known.seen_at_by_version.items()
            versions |= {version for version, seen_at in seen if seen_at >= oldest}
        return versions

    def complete(self, service: str) -> bool:
        """Return whether ``recent`` surely has all versions of a service."""
        known = self._known_by_service.get(service)
        return known is None or known.incomplete_until <= self._clock.seconds()

    def recorded(self, server: BackendServer) -> bool:
        """Return whether the store's record has the version of a server."""
        known = self._known_by_service.get(server.service)
        return (
            known is not None
            and server.software_version in known.record.last_seen_by_version
        )

    async def confirm(self, service: str) -> bool:
        """Read the record of a service anew; return whether there is one.

        This takes a call to the store, which is for an instance that may have missed a
        version, and for a caller that can't be served otherwise.
        """
        self.calls += 1
        read = self._store.get(store_key(service))
        read.addTimeout(CONFIRM_SECONDS, self._clock)
        try:
            entry = await read
        except (KeyValueError, TimeoutError):
            return False
        if entry is None:
            return False
        known = self._known_by_service.get(service)
        if known is None or known.revision < entry.revision:
            self._learn(service, entry, first_read=False)
        return True

    def replace_all(self, entries: Iterable[Entry]) -> None:
        """Learn all records of the store, after its servers have been learned.

        What was known stays, as the store may have returned from an older copy.
        """
        first_read, self._was_read = not self._was_read, True
        missing = set(self._known_by_service)
        for entry in entries:
            service = service_of(entry.key)
            missing.discard(service)
            learn = partial(self._learn, service, entry, first_read=first_read)
            isolated(self._log, entry, learn, None)
        for service in missing:
            self._known_by_service[service].revision = ABSENT

    def apply_change(self, entry: Entry) -> None:
        """Learn the change or the deletion of one record."""
        service = service_of(entry.key)
        if entry.value:
            self._learn(service, entry, first_read=False)
        elif service in self._known_by_service:
            self._known_by_service[service].revision = ABSENT

    def check(self) -> None:
        """Write the records that are out of date and whose turn it is."""
        if self._store_age() >= TURN_SECONDS or not self._was_read:
            self._due_since_by_service.clear()
            return
        now = self._clock.seconds()
        due = [service for service in self._services() if self._is_due(service)]
        self._due_since_by_service = {
            service: self._due_since_by_service.get(service, now) for service in due
        }
        for service, since in self._due_since_by_service.items():
            called_at = self._called_at_by_service.get(service, float("-inf"))
            if now - called_at < WRITE_PAUSE_SECONDS:
                continue
            turn = write_turn(service, self._instance, self._instances())
            if now - since >= TURN_SECONDS * min(turn, MAX_TURN):
                self._write(service)

    def _learn(self, service: str, entry: Entry, *, first_read: bool) -> None:
        try:
            record = decode(entry.value)
        except msgspec.MsgspecError as error:
            reason = str(error)[:200]
            self._log.event("versions_rejected", key=entry.key[:80], reason=reason)
            record = UNREADABLE
        now = self._clock.seconds()
        known = self._known_by_service.get(service)
        seen_at_by_version = dict(known.seen_at_by_version) if known else {}
        for version, last_seen in record.last_seen_by_version.items():
            # One that has no servers any more may have had some until now.
            seen_at = now if last_seen is None else self._at_clock(last_seen)
            earlier = seen_at_by_version.get(version, float("-inf"))
            seen_at_by_version[version] = max(earlier, seen_at)
        incomplete_until = known.incomplete_until if known else float("-inf")
        if first_read:
            incomplete_until = self._at_clock(record.complete_since) + ORIGIN_SECONDS
            if record.era != self._store.era.current:
                incomplete_until = now + ORIGIN_SECONDS
        self._known_by_service[service] = _Known(
            record, entry.revision, seen_at_by_version, incomplete_until
        )

    def _at_clock(self, unix_time: float) -> float:
        """Return the time of this instance's clock, at most the present one."""
        ago = max(0.0, self._wall_time() - unix_time)
        return self._clock.seconds() - ago

    def _is_due(self, service: str) -> bool:
        known = self._known_by_service.get(service)
        if known is None or known.revision == ABSENT:
            return bool(self.recent(service))
        record = known.record
        if record.era != self._store.era.current:
            return True
        listed = record.last_seen_by_version
        for version in self._backends.software_versions(service, 0.0):
            if version not in listed or listed[version] is not None:
                return True
        present = self._backends.software_versions(service, GONE_SECONDS)
        gone = (each for each, seen in listed.items() if seen is None)
        return any(each not in present for each in gone)

    def _write(self, service: str) -> None:
        """Write the versions of the last ``ORIGIN_SECONDS`` and those of now."""
        now, wall_time = self._clock.seconds(), self._wall_time()
        known = self._known_by_service.get(service)
        registered = self._backends.software_versions(service, 0.0)
        seen_at_by_version = known.seen_at_by_version if known is not None else {}
        last_seen_by_version: dict[str, float | None] = {}
        for version in sorted(self.recent(service) - registered):
            seen_at = max(
                self._backends.version_seen_at(service, version),
                seen_at_by_version.get(version, float("-inf")),
            )
            last_seen_by_version[version] = round(wall_time - (now - seen_at), 3)
        last_seen_by_version |= dict.fromkeys(sorted(registered))
        complete_since = 0.0
        if known is not None and known.incomplete_until > now:
            ago = ORIGIN_SECONDS - (known.incomplete_until - now)
            complete_since = round(wall_time - ago, 3)
        record = VersionRecord(
            dict(list(last_seen_by_version.items())[-MAX_VERSIONS:]),
            self._store.era.current,
            complete_since,
        )
        expected = known.revision if known is not None else ABSENT
        self._called_at_by_service[service] = now
        self.calls += 1
        key, value = store_key(service), encode(record)
        done = self._store.put(key, value, expected=expected)

        def succeeded(revision: int) -> None:
            known = self._known_by_service.get(service)
            if known is None or known.revision < revision:
                self._learn(service, Entry(key, value, revision), first_read=False)
            versions = list(record.last_seen_by_version)
            self._log.event("versions_stored", service=service, versions=versions)

        done.addCallbacks(succeeded, self._failed, errbackArgs=(service,))

    def _failed(self, failure: Failure, service: str) -> None:
        """Leave the service to the next check; another instance may have been first."""
        failure.trap(KeyValueError)
        if not failure.check(RevisionConflictError):
            reason = str(failure.value)[:200]
            self._log.event("versions_not_stored", service=service, reason=reason)
