"""A log of claims in a ring of platform values, appended by compare-and-swap.

Every write of a shard goes to the slot after the last one, expecting the
revision that the writer saw there. Whoever has missed a write of another
instance therefore fails the comparison, reads that slot and decides again, so a
claim is decided only against everything recorded before it. A full turn of the
ring carries the records still kept into the slot that it overwrites.
"""

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
    standing,
)
from .clock import Clock
from .errors import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    RevisionConflictError,
)
from .key_value import ABSENT, Entry, KeyValueStore

SLOTS = 4096
COMMIT_INTERVAL = timedelta(milliseconds=6)
LONGEST_PACE = timedelta(milliseconds=100)
PACE_RECOVERY = 0.9
PATIENT_DELAY = timedelta(milliseconds=50)
STORE_TIMEOUT = timedelta(seconds=1)
SHORTEST_BACKOFF_SECONDS = 0.02
LONGEST_BACKOFF_SECONDS = 1.0
MAX_SEGMENT_BYTES = 500_000
MAX_RECORDS = 600_000
ROW_BYTES = 96
MAX_SINGLE_READS = 8
LOAD_SLICE = 32
PLATFORM = "key-value service"


class LogCounter(enum.Enum):
    """What a claim log counts; the calls are those made to the platform."""

    WRITES = "writes"
    READS = "reads"
    CONFLICTS = "conflicts"
    LOST_ANSWERS = "lost_answers"
    UNAVAILABLE = "unavailable"
    RECORDS = "records"


@dataclass(slots=True)
class _Pending:
    record: ClaimRecord
    waiting: "Deferred[ClaimRecord]" = field(default_factory=Deferred)
    maybe_written: bool = False


@dataclass(frozen=True, slots=True)
class _Kept:
    record: ClaimRecord
    slot: int
    since: float


class ClaimLog:
    """The claims of one shard, as this instance has seen them recorded.

    Any instance may append at any time; one at a time is only quicker. While a
    write is under way the next batch gathers.

    Parameters
    ----------
    prefix : str
        Key prefix of the shard's slots.
    keep : timedelta
        How long a record stands after this instance first saw it; outages of
        the platform that this instance notices don't count.
    outcome_keep : timedelta
        How long the answer of a finished request is kept with its record.
    commit_interval : timedelta
        Shortest time between the starts of two writes.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        prefix: str,
        random: random.Random,
        keep: timedelta,
        outcome_keep: timedelta,
        commit_interval: timedelta = COMMIT_INTERVAL,
    ) -> None:
        self.counters: Counter[LogCounter] = Counter()
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._random = random
        self._keep = keep.total_seconds()
        self._outcome_keep = outcome_keep.total_seconds()
        self._interval = commit_interval.total_seconds()
        self._slots = SLOTS
        self._pending: deque[_Pending] = deque()
        self._kept_by_digest: dict[bytes, _Kept] = {}
        self._outcomes: deque[tuple[float, bytes]] = deque()
        self._digests_by_slot: dict[int, list[bytes]] = {}
        self._revisions_by_slot: dict[int, int] = {}
        self._next = 0
        self._loaded = False
        self._committing = False
        self._pace = self._interval
        self._last_start = -self._interval
        self._backoff = 0.0
        self._failed_since: float | None = None
        self._outage_seconds = 0.0
        self._call: Any = None

    def propose(self, record: ClaimRecord) -> "Deferred[ClaimRecord]":
        """Record ``record`` unless another stands; return the one that stands.

        A claim fails with ``KeyValueUnavailableError`` when it was certainly
        not recorded, and ``KeyValueOutcomeUnknownError`` when it may have been.
        Later states are tried until they are recorded. Cancelling the Deferred
        withdraws a record that has not been sent yet.
        """
        pending = _Pending(record)
        claiming = record.state is ClaimState.CLAIMED
        if claiming and self._failed_since is not None:
            return fail(_unavailable("platform does not answer"))
        if claiming and len(self._kept_by_digest) >= MAX_RECORDS:
            return fail(_unavailable(f"{MAX_RECORDS} claims are kept"))
        self._pending.append(pending)
        self._schedule(0.0 if claiming else PATIENT_DELAY.total_seconds())
        return pending.waiting

    def _schedule(self, patience: float) -> None:
        if self._committing:
            return
        now = self._clock.seconds()
        start = max(now + patience, self._last_start + self._pace, now + self._backoff)
        if self._call is not None and self._call.active():
            if self._call.getTime() <= start:
                return
            self._call.cancel()
        self._call = self._clock.callLater(start - now, self._run)

    def _run(self) -> None:
        self._committing = True
        self._last_start = self._clock.seconds()
        done = self._commit()
        done.addCallbacks(self._succeeded, self._failed)
        done.addBoth(self._ended)

    def _succeeded(self, _result: object) -> None:
        self._backoff = 0.0
        if self._failed_since is not None:
            self._outage_seconds += self._clock.seconds() - self._failed_since
            self._failed_since = None

    def _failed(self, failure: Failure) -> Failure | None:
        """Refuse the claims that wait; pass on what is no failure of the platform."""
        self.counters[LogCounter.UNAVAILABLE] += 1
        if self._failed_since is None:
            self._failed_since = self._last_start
        doubled = max(SHORTEST_BACKOFF_SECONDS, self._backoff * 2)
        self._backoff = min(LONGEST_BACKOFF_SECONDS, doubled)
        self._backoff *= self._random.uniform(0.5, 1.0)
        self._fail_claims(str(failure.value))
        expected = failure.check(KeyValueError, TimeoutError, msgspec.DecodeError)
        return None if expected else failure

    def _ended(self, result: Failure | None) -> Failure | None:
        self._committing = False
        self._pending = deque(p for p in self._pending if not p.waiting.called)
        states = {pending.record.state for pending in self._pending}
        if ClaimState.CLAIMED in states:
            self._schedule(0.0)
        elif states or self._failed_since is not None:
            self._schedule(PATIENT_DELAY.total_seconds())
        return result

    def _fail_claims(self, message: str) -> None:
        for pending in tuple(self._pending):
            if pending.waiting.called:
                continue
            if pending.record.state is ClaimState.CLAIMED:
                sent = pending.maybe_written
                error = _outcome_unknown if sent else _unavailable
                pending.waiting.errback(error(message))

    @inlineCallbacks
    def _commit(self) -> Generator[Any, Any, None]:
        asked = tuple(self._pending)
        if not self._loaded:
            yield self._load()
        elif self._failed_since is not None:
            yield self._catch_up()
        self._purge()
        carried = self._carried()
        batch = self._batch(MAX_SEGMENT_BYTES - sum(map(_size, carried)))
        if batch or (carried and self._crowded()):
            yield self._append(carried, batch)
        else:
            yield self._catch_up()
        self._answer(asked)

    @inlineCallbacks
    def _append(
        self, carried: tuple[ClaimRecord, ...], batch: list[_Pending]
    ) -> Generator[Any, Any, None]:
        records = (*carried, *(pending.record for pending in batch))
        segment = Segment(self._next, records)
        try:
            revision = yield self._write(segment)
        except RevisionConflictError:
            self.counters[LogCounter.CONFLICTS] += 1
            slower = self._pace * self._random.uniform(1.0, 2.0)
            self._pace = min(slower, LONGEST_PACE.total_seconds())
            yield self._catch_up()
        except (KeyValueOutcomeUnknownError, TimeoutError):
            self.counters[LogCounter.LOST_ANSWERS] += 1
            for pending in batch:
                pending.maybe_written = True
            yield self._catch_up()
        else:
            self.counters[LogCounter.RECORDS] += len(records)
            self._pace = max(self._interval, self._pace * PACE_RECOVERY)
            self._learn(segment, revision)

    def _batch(self, room: int) -> list[_Pending]:
        """Return what needs a write, a record a key, within ``room`` bytes."""
        batch: list[_Pending] = []
        taken: set[bytes] = set()
        for pending in self._pending:
            record = pending.record
            if pending.waiting.called or record.digest in taken:
                continue
            if standing(record, self._recorded(record.digest)) is not None:
                continue
            room -= _size(record)
            if room >= 0:
                taken.add(record.digest)
                batch.append(pending)
        return batch

    def _answer(self, asked: tuple[_Pending, ...]) -> None:
        """Answer what was asked before the platform confirmed this view."""
        if not self._loaded:
            return
        for pending in asked:
            record = pending.record
            stands = standing(record, self._recorded(record.digest))
            if stands is not None and not pending.waiting.called:
                pending.waiting.callback(stands)

    def _crowded(self) -> bool:
        """Return whether records wait that found no room in the next slot."""
        return any(
            standing(pending.record, self._recorded(pending.record.digest)) is None
            for pending in self._pending
            if not pending.waiting.called
        )

    def _write(self, segment: Segment) -> "Deferred[int]":
        self.counters[LogCounter.WRITES] += 1
        slot = segment.sequence % self._slots
        expected = self._revisions_by_slot.get(slot, ABSENT)
        put = self._store.put(
            self._key(slot), encode_segment(segment), expected=expected
        )
        return self._bounded(put)

    def _bounded(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(STORE_TIMEOUT.total_seconds(), self._clock)

    def _key(self, slot: int) -> str:
        return f"{self._prefix}{slot:05d}"

    @inlineCallbacks
    def _load(self) -> Generator[Any, Any, None]:
        """Read the whole ring, giving way to other work between slices."""
        self.counters[LogCounter.READS] += 1
        entries = yield self._bounded(self._store.list(self._prefix))
        self._kept_by_digest.clear()
        self._outcomes.clear()
        self._digests_by_slot.clear()
        self._revisions_by_slot.clear()
        oldest_first = sorted(entries, key=lambda entry: entry.revision)
        for start in range(0, len(oldest_first), LOAD_SLICE):
            for entry in oldest_first[start : start + LOAD_SLICE]:
                self._learn(decode_segment(entry.value), entry.revision)
            yield deferLater(self._clock, 0)
        self._loaded = True

    @inlineCallbacks
    def _catch_up(self) -> Generator[Any, Any, None]:
        """Read what other instances wrote; a list of all if that is much."""
        for _ in range(MAX_SINGLE_READS):
            self.counters[LogCounter.READS] += 1
            key = self._key(self._next % self._slots)
            entry: Entry | None = yield self._bounded(self._store.get(key))
            segment = decode_segment(entry.value) if entry else None
            if segment is None or segment.sequence < self._next:
                return
            if segment.sequence > self._next:
                break
            self._learn(segment, entry.revision)
        self._loaded = False

    def _learn(self, segment: Segment, revision: int) -> None:
        now = self._kept_time()
        slot = segment.sequence % self._slots
        before = {each: self._kept_by_digest.pop(each) for each in self._here(slot)}
        for record in segment.records:
            old = before.get(record.digest)
            carried = old is not None and _same_state(old.record, record)
            since = old.since if carried else now
            self._kept_by_digest.pop(record.digest, None)
            self._kept_by_digest[record.digest] = _Kept(record, slot, since)
            if record.outcome is not None:
                self._outcomes.append((since, record.digest))
        self._digests_by_slot[slot] = [each.digest for each in segment.records]
        self._revisions_by_slot[slot] = revision
        self._next = segment.sequence + 1

    def _kept_time(self) -> float:
        """Return the time that ages records, which stands still in an outage."""
        now = self._clock.seconds()
        since = now if self._failed_since is None else self._failed_since
        return since - self._outage_seconds

    def _here(self, slot: int) -> list[bytes]:
        """Return the keys whose latest record is in ``slot``."""
        return [
            each
            for each in self._digests_by_slot.get(slot, ())
            if each in self._kept_by_digest and self._kept_by_digest[each].slot == slot
        ]

    def _carried(self) -> tuple[ClaimRecord, ...]:
        """Return the records that the next write must not lose."""
        here = self._here(self._next % self._slots)
        recorded = (self._recorded(each) for each in here)
        return tuple(record for record in recorded if record is not None)

    def _purge(self) -> None:
        """Forget expired records, as far as they were learnt in order."""
        oldest = self._kept_time() - self._keep
        expired = itertools.takewhile(
            lambda each: each[1].since < oldest, self._kept_by_digest.items()
        )
        for key_digest, _kept in tuple(expired):
            del self._kept_by_digest[key_digest]
        self._purge_outcomes()

    def _purge_outcomes(self) -> None:
        """Free the answers that are kept no longer than their records."""
        oldest = self._kept_time() - self._outcome_keep
        while self._outcomes and self._outcomes[0][0] < oldest:
            _since, key_digest = self._outcomes.popleft()
            kept = self._kept_by_digest.get(key_digest)
            if kept is not None and kept.since < oldest:
                record = kept.record.with_state(kept.record.state)
                self._kept_by_digest[key_digest] = replace(kept, record=record)

    def _recorded(self, key_digest: bytes) -> ClaimRecord | None:
        kept = self._kept_by_digest.get(key_digest)
        if kept is None:
            return None
        age = self._kept_time() - kept.since
        if age > self._keep:
            return None
        if age > self._outcome_keep and kept.record.outcome is not None:
            return kept.record.with_state(kept.record.state)
        return kept.record


def _unavailable(message: str) -> KeyValueUnavailableError:
    return KeyValueUnavailableError(message, step="claim", peer=PLATFORM)


def _outcome_unknown(message: str) -> KeyValueOutcomeUnknownError:
    return KeyValueOutcomeUnknownError(message, step="claim", peer=PLATFORM)


def _size(record: ClaimRecord) -> int:
    return ROW_BYTES + len(record.outcome or b"")


def _same_state(first: ClaimRecord, second: ClaimRecord) -> bool:
    return (first.request_id, first.state) == (second.request_id, second.state)
