"""Simpler implementations of claims, as baselines for benchmarks."""

from collections import Counter
from collections.abc import Generator
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from .claim_log import LogCounter
from .claim_records import digest
from .clock import Clock
from .errors import RevisionConflictError
from .key_value import ABSENT, KeyValueStore


class KeyPerClaim:
    """Creates one key for each claim and overwrites it with the outcome.

    Each request takes two writes, and its key is never deleted.
    """

    def __init__(self, *, store: KeyValueStore, prefix: str = "claims/") -> None:
        self.counters: Counter[LogCounter] = Counter()
        self._store = store
        self._prefix = prefix

    @inlineCallbacks
    def claim(
        self, account: str, key: str, request_id: str
    ) -> Generator[Any, Any, bool]:
        """Return whether ``request_id`` made the claim."""
        self.counters[LogCounter.WRITES] += 1
        name = self._name(account, key)
        try:
            yield self._store.put(name, request_id.encode(), expected=ABSENT)
        except RevisionConflictError:
            return False
        return True

    @inlineCallbacks
    def finish(
        self, account: str, key: str, outcome: bytes
    ) -> Generator[Any, Any, None]:
        """Record the outcome of a claimed request."""
        self.counters[LogCounter.WRITES] += 1
        yield self._store.put(self._name(account, key), outcome)

    def _name(self, account: str, key: str) -> str:
        return self._prefix + digest(account, key).hex()


class SharedValue:
    """Keeps all claims in one value, updated in batches by compare-and-swap.

    Claims that arrive during a swap form the next batch. After a revision
    conflict the value is read again and the swap retried.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        key: str = "claims",
        interval: timedelta = timedelta(0),
    ) -> None:
        self.counters: Counter[LogCounter] = Counter()
        self._clock = clock
        self._store = store
        self._key = key
        self._interval = interval.total_seconds()
        self._pending: list[tuple[str, str, Deferred[bool]]] = []
        self._records_by_digest: dict[str, str] = {}
        self._revision = ABSENT
        self._swapping = False

    def claim(self, account: str, key: str, request_id: str) -> "Deferred[bool]":
        """Return whether ``request_id`` made the claim."""
        return self._update(digest(account, key).hex(), request_id)

    def finish(self, account: str, key: str, outcome: bytes) -> "Deferred[bool]":
        """Record the outcome of a claimed request."""
        return self._update(digest(account, key).hex(), "=" + outcome.decode())

    def _update(self, name: str, value: str) -> "Deferred[bool]":
        result: Deferred[bool] = Deferred()
        self._pending.append((name, value, result))
        if not self._swapping:
            self._swapping = True
            self._clock.callLater(self._interval, self._swap)
        return result

    @inlineCallbacks
    def _swap(self) -> Generator[Any, Any, None]:
        batch, self._pending = self._pending, []
        while True:
            records = dict(self._records_by_digest)
            for name, value, _result in batch:
                records[name] = value if value[0] == "=" else records.get(name, value)
            encoded = msgspec.msgpack.encode(records)
            try:
                self.counters[LogCounter.WRITES] += 1
                put = self._store.put(self._key, encoded, expected=self._revision)
                self._revision = yield put
                break
            except RevisionConflictError:
                self.counters[LogCounter.CONFLICTS] += 1
                yield self._read()
        self._records_by_digest = records
        for name, value, result in batch:
            result.callback(records[name] == value)
        self._swapping = bool(self._pending)
        if self._swapping:
            self._clock.callLater(self._interval, self._swap)

    @inlineCallbacks
    def _read(self) -> Generator[Any, Any, None]:
        self.counters[LogCounter.READS] += 1
        entry = yield self._store.get(self._key)
        if entry is not None:
            self._revision = entry.revision
            self._records_by_digest = msgspec.msgpack.decode(entry.value)


def grant_without_claim(_account: str, _key: str, _request_id: str) -> "Deferred[bool]":
    """Grant each claim without recording it, as an upper bound on throughput."""
    return succeed(True)
