"""Interface of the platform's key-value service, and an in-memory implementation."""

import abc
from dataclasses import dataclass, replace
from datetime import timedelta

from twisted.internet.defer import Deferred, fail, succeed

from .clock import Clock
from .errors import (
    HistoryCompactedError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from .store_era import StoreEra, era_of, position, revision_of

ABSENT = 0
"""The revision of a key that does not exist."""

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and revision; a deletion has an empty value."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Entries, and the store's revision up to which they are complete.

    In the result of ``changes`` an entry with an empty value is a deletion.
    """

    entries: tuple[Entry, ...]
    revision: int


class KeyValueStore(abc.ABC):
    """Key-value store of the platform with compare-and-swap, leases and watches.

    Every method returns a Deferred. It fails with ``KeyValueUnavailableError`` when
    nothing was applied, with ``KeyValueOutcomeUnknownError`` when the response was
    lost, and with ``RevisionConflictError`` when a comparison failed.

    A store that returns from an older copy has lost its latest changes, leases too, and
    enters a new era. Revisions are positions of ``store_era``, so that none of an
    earlier era equals a later one, and leases of an earlier era are not found.
    """

    _era: StoreEra | None = None

    @property
    def era(self) -> StoreEra:
        """The newest era that the store's answers had."""
        if self._era is None:
            self._era = StoreEra()
        return self._era

    @abc.abstractmethod
    def get(self, key: str) -> "Deferred[Entry | None]":
        """Return the entry of ``key``, or ``None``."""

    @abc.abstractmethod
    def list(self, prefix: str) -> "Deferred[tuple[Entry, ...]]":
        """Return all entries whose key starts with ``prefix``, sorted by key."""

    @abc.abstractmethod
    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> "Deferred[int]":
        """Store ``value`` and return its revision.

        ``expected`` is the revision that the key must have (``ABSENT`` to
        create it); ``None`` writes unconditionally. With ``lease`` the key is
        deleted when that lease expires.
        """

    @abc.abstractmethod
    def delete(self, key: str, *, expected: int | None = None) -> "Deferred[None]":
        """Delete ``key``; without ``expected`` it may be absent."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[tuple[Entry, ...]]":
        """Wait for entries under ``prefix`` newer than revision ``after``.

        Returns an empty tuple after ``timeout``. A pending watch counts as one
        call in the platform's call budget.
        """

    def snapshot(self, prefix: str) -> "Deferred[Snapshot]":
        """Return the entries under ``prefix`` and the revision to watch from.

        Calling ``changes`` with that revision misses nothing. If the store does
        not report its own revision, the newest entry's revision is used.
        """
        return self.list(prefix).addCallback(_snapshot_at_newest, ABSENT)

    def changes(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[Snapshot]":
        """Wait for changes under ``prefix`` after revision ``after``.

        Fails with ``HistoryCompactedError`` when the store no longer has them; a new
        ``snapshot`` is needed then.
        """
        entries = self.watch(prefix, after, timeout)
        return entries.addCallback(_snapshot_at_newest, after)

    @abc.abstractmethod
    def grant_lease(self, time_to_live: timedelta) -> "Deferred[str]":
        """Create a lease and return its id."""

    @abc.abstractmethod
    def renew_lease(self, lease: str) -> "Deferred[None]":
        """Extend a lease by its time to live; ``LeaseNotFoundError`` if it expired."""


def _snapshot_at_newest(entries: tuple[Entry, ...], minimum: int) -> Snapshot:
    newest = max((entry.revision for entry in entries), default=minimum)
    return Snapshot(entries, max(newest, minimum))


@dataclass(frozen=True, slots=True)
class _Watch:
    prefix: str
    after: int
    result: "Deferred[tuple[Entry, ...]]"


def _other_era(after: int) -> HistoryCompactedError:
    text = f"the store has returned from an older copy since position {after}"
    return HistoryCompactedError(text, step="watch")


@dataclass(slots=True)
class _Lease:
    time_to_live: float
    expires: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The entries and leases of a store at one time, and its revision then."""

    entries: tuple[Entry, ...]
    revision: int
    lease_by_key: dict[str, str]
    leases_by_id: dict[str, _Lease]


class MemoryKeyValueStore(KeyValueStore):
    """A key-value store in memory that responds without delay.

    Used by single-process deployments, the platform stand-in and the tests.

    Parameters
    ----------
    clock : IReactorTime
        Expires leases and ends watches.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._revision = 0
        self.era.observe(era_of(self._revision))
        self._granted_leases = 0
        self._entries_by_key: dict[str, Entry] = {}
        self._lease_by_key: dict[str, str] = {}
        self._leases_by_id: dict[str, _Lease] = {}
        self._deleted_by_key: dict[str, Entry] = {}
        self._watches: list[_Watch] = []

    def get(self, key: str) -> "Deferred[Entry | None]":
        """Return the entry of ``key``, or ``None``."""
        self._expire_leases()
        return succeed(self._entries_by_key.get(key))

    def list(self, prefix: str) -> "Deferred[tuple[Entry, ...]]":
        """Return all entries whose key starts with ``prefix``, sorted by key."""
        self._expire_leases()
        return succeed(self._matching(prefix, after=-1))

    def snapshot(self, prefix: str) -> "Deferred[Snapshot]":
        """Return the entries under ``prefix`` and the store's revision."""
        self._expire_leases()
        return succeed(Snapshot(self._matching(prefix, after=-1), self._revision))

    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> "Deferred[int]":
        """Store ``value`` and return its revision."""
        self._expire_leases()
        if lease and self._granted(lease) is None:
            return fail(
                LeaseNotFoundError(f"lease {lease!r} does not exist", step="put")
            )
        conflict = self._conflict(key, expected)
        if conflict is not None:
            return fail(conflict)
        self._revision += 1
        self._entries_by_key[key] = Entry(key, value, self._revision)
        self._deleted_by_key.pop(key, None)
        self._lease_by_key.pop(key, None)
        if lease:
            self._lease_by_key[key] = lease
        self._notify()
        return succeed(self._revision)

    def delete(self, key: str, *, expected: int | None = None) -> "Deferred[None]":
        """Delete ``key``; without ``expected`` it may be absent."""
        self._expire_leases()
        conflict = self._conflict(key, expected)
        if conflict is not None:
            return fail(conflict)
        self._remove(key)
        self._notify()
        return succeed(None)

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[tuple[Entry, ...]]":
        """Wait for entries under ``prefix`` newer than revision ``after``."""
        self._expire_leases()
        if era_of(after) != era_of(self._revision):
            return fail(_other_era(after))
        entries = self._matching(prefix, after, deleted=True)
        if entries:
            return succeed(entries)
        result: Deferred[tuple[Entry, ...]] = Deferred()
        watch = _Watch(prefix, after, result)
        self._watches.append(watch)
        self._clock.callLater(timeout.total_seconds(), self._time_out_watch, watch)
        return result

    def grant_lease(self, time_to_live: timedelta) -> "Deferred[str]":
        """Create a lease and return its id."""
        self._revision += 1
        self._granted_leases += 1
        lease = f"lease-{era_of(self._revision)}-{self._granted_leases}"
        seconds = time_to_live.total_seconds()
        self._leases_by_id[lease] = _Lease(seconds, self._clock.seconds() + seconds)
        self._clock.callLater(seconds, self._expire_leases)
        return succeed(lease)

    def renew_lease(self, lease: str) -> "Deferred[None]":
        """Extend a lease by its time to live; ``LeaseNotFoundError`` if it expired."""
        self._expire_leases()
        granted = self._granted(lease)
        if granted is None:
            return fail(
                LeaseNotFoundError(f"lease {lease!r} does not exist", step="renew")
            )
        granted.expires = self._clock.seconds() + granted.time_to_live
        self._clock.callLater(granted.time_to_live, self._expire_leases)
        return succeed(None)

    def _granted(self, lease: str) -> _Lease | None:
        """Return a lease that was granted in this era and has not expired."""
        if not lease.startswith(f"lease-{era_of(self._revision)}-"):
            return None
        return self._leases_by_id.get(lease)

    @property
    def revision(self) -> int:
        """The position of the newest change."""
        return self._revision

    def copy(self) -> "StoreCopy":
        """Return a copy of the entries and leases, from which the store may return."""
        self._expire_leases()
        return StoreCopy(
            tuple(self._entries_by_key.values()),
            self._revision,
            dict(self._lease_by_key),
            {name: replace(each) for name, each in self._leases_by_id.items()},
        )

    def restore(self, copy: "StoreCopy") -> None:
        """Return from an earlier copy in a new era: later changes and leases are lost.

        Revisions are assigned again from that of the copy on. Pending watches fail.
        Keys of the copy with a lease are deleted when it expires, as nobody renews it.
        """
        era = era_of(self._revision) + 1
        self._revision = position(era, revision_of(copy.revision))
        self._entries_by_key = {
            each.key: replace(each, revision=position(era, revision_of(each.revision)))
            for each in copy.entries
        }
        self._lease_by_key = dict(copy.lease_by_key)
        self._leases_by_id = {
            name: replace(each) for name, each in copy.leases_by_id.items()
        }
        for each in self._leases_by_id.values():
            each.expires = self._clock.seconds() + each.time_to_live
            self._clock.callLater(each.time_to_live, self._expire_leases)
        self._deleted_by_key.clear()
        watches, self._watches = self._watches, []
        self.era.observe(era)
        for watch in watches:
            watch.result.errback(_other_era(watch.after))

    def _conflict(self, key: str, expected: int | None) -> RevisionConflictError | None:
        entry = self._entries_by_key.get(key)
        actual = entry.revision if entry else ABSENT
        if expected is None or expected == actual:
            return None
        return RevisionConflictError(key, expected, actual)

    def _matching(
        self, prefix: str, after: int, *, deleted: bool = False
    ) -> tuple[Entry, ...]:
        entries = [
            entry
            for key, entry in self._entries_by_key.items()
            if key.startswith(prefix) and entry.revision > after
        ]
        if deleted:
            entries += [
                entry
                for key, entry in self._deleted_by_key.items()
                if key.startswith(prefix) and entry.revision > after
            ]
        return tuple(sorted(entries, key=lambda entry: entry.key))

    def _remove(self, key: str) -> None:
        if self._entries_by_key.pop(key, None) is None:
            return
        self._lease_by_key.pop(key, None)
        self._revision += 1
        self._deleted_by_key[key] = Entry(key, b"", self._revision)

    def _expire_leases(self) -> None:
        now = self._clock.seconds()
        expired = {
            lease_id
            for lease_id, each in self._leases_by_id.items()
            if each.expires <= now
        }
        if not expired:
            return
        for lease in expired:
            del self._leases_by_id[lease]
        for key in [
            key for key, lease in self._lease_by_key.items() if lease in expired
        ]:
            self._remove(key)
        self._notify()

    def _notify(self) -> None:
        for watch in list(self._watches):
            entries = self._matching(watch.prefix, watch.after, deleted=True)
            if entries:
                self._watches.remove(watch)
                watch.result.callback(entries)

    def _time_out_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.result.callback(())
