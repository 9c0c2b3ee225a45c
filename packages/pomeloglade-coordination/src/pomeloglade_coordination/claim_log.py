"""Log of claims in a ring of key-value entries, appended by compare-and-swap."""

import enum
import itertools
import random
from collections import Counter, deque
from collections.abc import Generator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

import msgspec
from twisted.internet.defer import Deferred, TimeoutError, fail, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from .claim_records import (
    ClaimRecord,
    ClaimState,
    Segment,
    decode_segment,
    encode_segment,
    prevailing_record,
)
from .clock import Clock
from .errors import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    RevisionConflictError,
)
from .key_value import ABSENT, Entry, KeyValueStore

RING_SLOTS = 4096
COMMIT_INTERVAL = timedelta(milliseconds=6)
MAX_COMMIT_INTERVAL = timedelta(milliseconds=100)
COMMIT_INTERVAL_DECAY = 0.9
LOW_PRIORITY_DELAY = timedelta(milliseconds=50)
"""Delay of a commit without claims; claims are committed without it."""

STORE_TIMEOUT = timedelta(seconds=1)
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
MAX_SEGMENT_BYTES = 500_000
MAX_RECORDS = 600_000
RECORD_OVERHEAD_BYTES = 96
MAX_CATCH_UP_READS = 8
LOAD_BATCH_SIZE = 32
STORE_NAME = "key-value service"


class LogCounter(enum.Enum):
    """Counters of a claim log; reads and writes are calls to the key-value store."""

    WRITES = "writes"
    READS = "reads"
    CONFLICTS = "conflicts"
    LOST_ANSWERS = "lost_answers"
    UNAVAILABLE = "unavailable"
    RECORDS = "records"


@dataclass(slots=True)
class _Pending:
    record: ClaimRecord
    result: "Deferred[ClaimRecord]" = field(default_factory=Deferred)
    maybe_written: bool = False


@dataclass(frozen=True, slots=True)
class _StoredRecord:
    record: ClaimRecord
    slot: int
    first_seen: float


class ClaimLog:
    """The claims of one shard, as this instance has read them from the log.

    The log is a ring of slots, each a key of the key-value store. A write goes
    to the slot after the last one and expects the revision that the writer last
    saw there. An instance that has missed a write of another therefore fails the
    comparison, reads that slot and decides again, so a claim is decided only
    against everything recorded before it. Once the ring has wrapped around, each
    write carries over the unexpired records of the slot that it overwrites.

    Any instance may append at any time; a single writer only avoids conflicts.
    Records proposed during a write are batched into the next one.

    Parameters
    ----------
    prefix : str
        Key prefix of the shard's slots.
    retention : timedelta
        How long a record is valid after this instance first saw it, not counting
        outages of the key-value store that this instance notices.
    outcome_retention : timedelta
        How long the answer of a finished request is stored with its record.
    commit_interval : timedelta
        Minimum time between the starts of two commits.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        prefix: str,
        random: random.Random,
        retention: timedelta,
        outcome_retention: timedelta,
        commit_interval: timedelta = COMMIT_INTERVAL,
    ) -> None:
        self.counters: Counter[LogCounter] = Counter()
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._random = random
        self._retention = retention.total_seconds()
        self._outcome_retention = outcome_retention.total_seconds()
        self._min_interval = commit_interval.total_seconds()
        self._slot_count = RING_SLOTS
        self._pending: deque[_Pending] = deque()
        self._stored_by_digest: dict[bytes, _StoredRecord] = {}
        self._outcome_expiry_queue: deque[tuple[float, bytes]] = deque()
        self._digests_by_slot: dict[int, list[bytes]] = {}
        self._revisions_by_slot: dict[int, int] = {}
        self._next_sequence = 0
        self._loaded = False
        self._committing = False
        self._current_interval = self._min_interval
        self._last_commit_start = -self._min_interval
        self._backoff = 0.0
        self._failed_since: float | None = None
        self._outage_seconds = 0.0
        self._commit_call: Any = None

    def propose(self, record: ClaimRecord) -> "Deferred[ClaimRecord]":
        """Record ``record`` unless another prevails; return the prevailing one.

        A claim fails with ``KeyValueUnavailableError`` when it was certainly
        not recorded, and ``KeyValueOutcomeUnknownError`` when it may have been.
        Later states are retried until they are recorded. Cancelling the Deferred
        withdraws a record that has not been sent yet.
        """
        pending = _Pending(record)
        is_claim = record.state is ClaimState.CLAIMED
        if is_claim and self._failed_since is not None:
            return fail(_unavailable("key-value store does not answer"))
        if is_claim and len(self._stored_by_digest) >= MAX_RECORDS:
            # A log that refuses all claims starts no commit, which would purge it.
            self._purge()
        if is_claim and len(self._stored_by_digest) >= MAX_RECORDS:
            return fail(_unavailable(f"claim log is full: {MAX_RECORDS} records"))
        self._pending.append(pending)
        self._schedule(0.0 if is_claim else LOW_PRIORITY_DELAY.total_seconds())
        return pending.result

    def _schedule(self, delay: float) -> None:
        if self._committing:
            return
        now = self._clock.seconds()
        start = max(
            now + delay,
            self._last_commit_start + self._current_interval,
            now + self._backoff,
        )
        if self._commit_call is not None and self._commit_call.active():
            if self._commit_call.getTime() <= start:
                return
            self._commit_call.cancel()
        self._commit_call = self._clock.callLater(start - now, self._run_commit)

    def _run_commit(self) -> None:
        self._committing = True
        self._last_commit_start = self._clock.seconds()
        done = self._commit()
        done.addCallbacks(self._commit_succeeded, self._commit_failed)
        done.addBoth(self._commit_ended)

    def _commit_succeeded(self, _result: object) -> None:
        self._backoff = 0.0
        if self._failed_since is not None:
            self._outage_seconds += self._clock.seconds() - self._failed_since
            self._failed_since = None

    def _commit_failed(self, failure: Failure) -> Failure | None:
        """Fail the pending claims and back off; pass on unexpected failures."""
        self.counters[LogCounter.UNAVAILABLE] += 1
        if self._failed_since is None:
            self._failed_since = self._last_commit_start
        doubled = max(MIN_BACKOFF_SECONDS, self._backoff * 2)
        self._backoff = min(MAX_BACKOFF_SECONDS, doubled)
        self._backoff *= self._random.uniform(0.5, 1.0)
        self._fail_pending_claims(str(failure.value))
        expected = failure.check(KeyValueError, TimeoutError, msgspec.DecodeError)
        return None if expected else failure

    def _commit_ended(self, result: Failure | None) -> Failure | None:
        self._committing = False
        self._pending = deque(p for p in self._pending if not p.result.called)
        states = {pending.record.state for pending in self._pending}
        if ClaimState.CLAIMED in states:
            self._schedule(0.0)
        elif states or self._failed_since is not None:
            self._schedule(LOW_PRIORITY_DELAY.total_seconds())
        return result

    def _fail_pending_claims(self, message: str) -> None:
        for pending in tuple(self._pending):
            if pending.result.called:
                continue
            if pending.record.state is ClaimState.CLAIMED:
                sent = pending.maybe_written
                error = _outcome_unknown if sent else _unavailable
                pending.result.errback(error(message))

    @inlineCallbacks
    def _commit(self) -> Generator[Any, Any, None]:
        proposed = tuple(self._pending)
        if not self._loaded:
            yield self._load()
        elif self._failed_since is not None:
            yield self._catch_up()
        self._purge()
        carried_over = self._records_to_carry_over()
        batch = self._next_batch(MAX_SEGMENT_BYTES - sum(map(_size, carried_over)))
        if batch or (carried_over and self._has_unwritten_records()):
            yield self._append(carried_over, batch)
        else:
            yield self._catch_up()
        self._resolve(proposed)

    @inlineCallbacks
    def _append(
        self, carried_over: tuple[ClaimRecord, ...], batch: list[_Pending]
    ) -> Generator[Any, Any, None]:
        records = (*carried_over, *(pending.record for pending in batch))
        segment = Segment(self._next_sequence, records)
        try:
            revision = yield self._write(segment)
        except RevisionConflictError:
            self.counters[LogCounter.CONFLICTS] += 1
            longer = self._current_interval * self._random.uniform(1.0, 2.0)
            self._current_interval = min(longer, MAX_COMMIT_INTERVAL.total_seconds())
            yield self._catch_up()
        except (KeyValueOutcomeUnknownError, TimeoutError):
            self.counters[LogCounter.LOST_ANSWERS] += 1
            for pending in batch:
                pending.maybe_written = True
            yield self._catch_up()
        else:
            self.counters[LogCounter.RECORDS] += len(records)
            self._current_interval = max(
                self._min_interval, self._current_interval * COMMIT_INTERVAL_DECAY
            )
            self._apply_segment(segment, revision)

    def _next_batch(self, available_bytes: int) -> list[_Pending]:
        """Return the records to write next: one per key, within the size limit."""
        batch: list[_Pending] = []
        batched_digests: set[bytes] = set()
        for pending in self._pending:
            record = pending.record
            if pending.result.called or record.digest in batched_digests:
                continue
            if prevailing_record(record, self._lookup(record.digest)) is not None:
                continue
            available_bytes -= _size(record)
            if available_bytes >= 0:
                batched_digests.add(record.digest)
                batch.append(pending)
        return batch

    def _resolve(self, proposed: tuple[_Pending, ...]) -> None:
        """Resolve ``proposed``, the proposals made before this commit began.

        Later ones wait for the next commit, as this view may be stale for them.
        """
        if not self._loaded:
            return
        for pending in proposed:
            record = pending.record
            prevailing = prevailing_record(record, self._lookup(record.digest))
            if prevailing is not None and not pending.result.called:
                pending.result.callback(prevailing)

    def _has_unwritten_records(self) -> bool:
        """Return whether any pending record still needs a write."""
        return any(
            prevailing_record(pending.record, self._lookup(pending.record.digest))
            is None
            for pending in self._pending
            if not pending.result.called
        )

    def _write(self, segment: Segment) -> "Deferred[int]":
        self.counters[LogCounter.WRITES] += 1
        slot = segment.sequence % self._slot_count
        expected = self._revisions_by_slot.get(slot, ABSENT)
        put = self._store.put(
            self._key(slot), encode_segment(segment), expected=expected
        )
        return self._with_timeout(put)

    def _with_timeout(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(STORE_TIMEOUT.total_seconds(), self._clock)

    def _key(self, slot: int) -> str:
        return f"{self._prefix}{slot:05d}"

    @inlineCallbacks
    def _load(self) -> Generator[Any, Any, None]:
        """Read the whole ring, yielding to the reactor between batches."""
        self.counters[LogCounter.READS] += 1
        entries = yield self._with_timeout(self._store.list(self._prefix))
        self._stored_by_digest.clear()
        self._outcome_expiry_queue.clear()
        self._digests_by_slot.clear()
        self._revisions_by_slot.clear()
        oldest_first = sorted(entries, key=lambda entry: entry.revision)
        for start in range(0, len(oldest_first), LOAD_BATCH_SIZE):
            for entry in oldest_first[start : start + LOAD_BATCH_SIZE]:
                self._apply_segment(decode_segment(entry.value), entry.revision)
            yield deferLater(self._clock, 0)
        self._loaded = True

    @inlineCallbacks
    def _catch_up(self) -> Generator[Any, Any, None]:
        """Read the segments that other instances appended, slot by slot.

        After ``MAX_CATCH_UP_READS`` of them, or when this instance is behind by a
        whole ring, the next commit reads the ring as a whole.
        """
        for _ in range(MAX_CATCH_UP_READS):
            self.counters[LogCounter.READS] += 1
            key = self._key(self._next_sequence % self._slot_count)
            entry: Entry | None = yield self._with_timeout(self._store.get(key))
            segment = decode_segment(entry.value) if entry else None
            if segment is None or segment.sequence < self._next_sequence:
                return
            if segment.sequence > self._next_sequence:
                break
            self._apply_segment(segment, entry.revision)
        self._loaded = False

    def _apply_segment(self, segment: Segment, revision: int) -> None:
        now = self._retention_time()
        slot = segment.sequence % self._slot_count
        previous = {
            each: self._stored_by_digest.pop(each)
            for each in self._latest_in_slot(slot)
        }
        for record in segment.records:
            previous_record = previous.get(record.digest)
            carried_over = previous_record is not None and _same_attempt_and_state(
                previous_record.record, record
            )
            first_seen = previous_record.first_seen if carried_over else now
            self._stored_by_digest.pop(record.digest, None)
            self._stored_by_digest[record.digest] = _StoredRecord(
                record, slot, first_seen
            )
            if record.outcome is not None:
                self._outcome_expiry_queue.append((first_seen, record.digest))
        self._digests_by_slot[slot] = [each.digest for each in segment.records]
        self._revisions_by_slot[slot] = revision
        self._next_sequence = segment.sequence + 1

    def _retention_time(self) -> float:
        """Return the time by which records age; it stops during an outage."""
        now = self._clock.seconds()
        until = now if self._failed_since is None else self._failed_since
        return until - self._outage_seconds

    def _latest_in_slot(self, slot: int) -> list[bytes]:
        """Return the digests of the keys whose latest record is in ``slot``."""
        return [
            each
            for each in self._digests_by_slot.get(slot, ())
            if each in self._stored_by_digest
            and self._stored_by_digest[each].slot == slot
        ]

    def _records_to_carry_over(self) -> tuple[ClaimRecord, ...]:
        """Return the unexpired records of the slot that is overwritten next."""
        digests = self._latest_in_slot(self._next_sequence % self._slot_count)
        recorded = (self._lookup(each) for each in digests)
        return tuple(record for record in recorded if record is not None)

    def _purge(self) -> None:
        """Remove expired records up to the first unexpired one.

        A record that was carried over keeps its age but moves to the end, so it
        may be removed later than others of its age.
        """
        oldest = self._retention_time() - self._retention
        expired = itertools.takewhile(
            lambda each: each[1].first_seen < oldest, self._stored_by_digest.items()
        )
        for key_digest, _stored in tuple(expired):
            del self._stored_by_digest[key_digest]
        self._purge_outcomes()

    def _purge_outcomes(self) -> None:
        """Drop the answers whose retention has ended; their records remain."""
        oldest = self._retention_time() - self._outcome_retention
        while self._outcome_expiry_queue and self._outcome_expiry_queue[0][0] < oldest:
            _first_seen, key_digest = self._outcome_expiry_queue.popleft()
            stored = self._stored_by_digest.get(key_digest)
            if stored is not None and stored.first_seen < oldest:
                record = stored.record.with_state(stored.record.state)
                self._stored_by_digest[key_digest] = replace(stored, record=record)

    def _lookup(self, key_digest: bytes) -> ClaimRecord | None:
        stored = self._stored_by_digest.get(key_digest)
        if stored is None:
            return None
        age = self._retention_time() - stored.first_seen
        if age > self._retention:
            return None
        if age > self._outcome_retention and stored.record.outcome is not None:
            return stored.record.with_state(stored.record.state)
        return stored.record


def _unavailable(message: str) -> KeyValueUnavailableError:
    return KeyValueUnavailableError(message, step="claim", peer=STORE_NAME)


def _outcome_unknown(message: str) -> KeyValueOutcomeUnknownError:
    return KeyValueOutcomeUnknownError(message, step="claim", peer=STORE_NAME)


def _size(record: ClaimRecord) -> int:
    return RECORD_OVERHEAD_BYTES + len(record.outcome or b"")


def _same_attempt_and_state(first: ClaimRecord, second: ClaimRecord) -> bool:
    return (first.request_id, first.state) == (second.request_id, second.state)
