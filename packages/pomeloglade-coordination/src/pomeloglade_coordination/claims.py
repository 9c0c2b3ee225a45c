"""At-most-once claims of idempotency keys with group commit."""

import enum
import random
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from .claim_exchange import ClaimExchange
from .claim_log import COMMIT_INTERVAL, ClaimLog, LogCounter
from .claim_records import MAX_OUTCOME_BYTES, ClaimRecord, ClaimState, digest
from .clock import Clock
from .errors import KeyValueUnavailableError
from .key_value import KeyValueStore
from .members import Member, MembershipView
from .peer import PeerMessage, PeerSender
from .refusals import Reason, Refusal, Step
from .request_ids import RequestId

SHARDS = 1
CLAIM_KEEP = timedelta(hours=1)
OUTCOME_KEEP = timedelta(minutes=2)
CLAIM_TIMEOUT = timedelta(seconds=2)
DISPATCH_WITHIN = timedelta(seconds=60)
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to run one request once.

    ``sent`` is the clock's time just before the claim was sent to be recorded;
    the right to dispatch ends ``DISPATCH_WITHIN`` after it.
    """

    record: ClaimRecord
    shard: int
    sent: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is recorded, and only this caller may run the request."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Finished:
    """An earlier attempt has run; ``outcome`` is its recorded answer."""

    outcome: bytes


class ClaimCounter(enum.Enum):
    """What claims count, beside the refusals by reason."""

    CLAIMED = "claimed"
    REPLAYED = "replayed"
    TIMED_OUT = "timed_out"
    OUTCOME_TOO_LARGE = "outcome_too_large"


class Claims:
    """Grants each idempotency key of a client account to one attempt.

    A claim is recorded on the platform before the request is dispatched, and is
    never taken from its holder: when the holder dies, resends are refused with
    ``OUTCOME_UNKNOWN`` until the record expires.

    Parameters
    ----------
    clock : IReactorTime
        Times writes, timeouts and the expiry of records.
    store : KeyValueStore
        Where claims are recorded.
    own : Member
        This run of this instance.
    random : random.Random
        Spreads retries.
    members : MembershipView, optional
        With ``sender``, proposals go to one writer a shard. Without, this
        instance writes all shards itself.
    sender : PeerSender, optional
        Carries messages to the other instances.
    keep : timedelta
        How long a key stays claimed; a resend after that may run again.

    Examples
    --------
    >>> granted = claims.claim("club-7", "booking-1", body, "i1.3.17")  # doctest: +SKIP
    >>> granted.addCallback(run_if_claimed)  # doctest: +SKIP
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        own: Member,
        random: random.Random,
        members: MembershipView | None = None,
        sender: PeerSender | None = None,
        shards: int = SHARDS,
        keep: timedelta = CLAIM_KEEP,
        outcome_keep: timedelta = OUTCOME_KEEP,
        commit_interval: timedelta = COMMIT_INTERVAL,
        prefix: str = "claims/",
    ) -> None:
        self.counters: Counter[ClaimCounter] = Counter()
        self.refusals: Counter[Reason] = Counter()
        self._clock = clock
        self._own = own
        self._members = members
        self._logs = tuple(
            ClaimLog(
                clock=clock,
                store=store,
                prefix=f"{prefix}{shard:02d}/",
                random=random,
                keep=keep,
                outcome_keep=outcome_keep,
                commit_interval=commit_interval,
            )
            for shard in range(shards)
        )
        self._exchange: ClaimExchange | None = None
        if members is not None and sender is not None:
            self._exchange = ClaimExchange(
                clock=clock, members=members, sender=sender, logs=self._logs
            )
        self._dispatch_within = min(
            DISPATCH_WITHIN.total_seconds(), keep.total_seconds() / 2
        )

    def claim(
        self,
        account: str,
        key: str,
        body_digest: str,
        request_id: str,
        *,
        first_attempt: bool = False,
    ) -> "Deferred[Claimed | Finished | Refusal]":
        """Claim ``key`` for the attempt ``request_id``.

        ``request_id`` must be new with each attempt. Without the platform
        nothing excludes an earlier attempt elsewhere, so the refusal says "not
        run" only when the caller marks a ``first_attempt``.
        """
        record = ClaimRecord(
            digest(account, key), digest(body_digest), request_id, ClaimState.CLAIMED
        )
        shard = record.digest[0] % len(self._logs)
        claim = Claim(record, shard, self._clock.seconds())
        proposed = self._propose(shard, record)
        proposed.addTimeout(CLAIM_TIMEOUT.total_seconds(), self._clock)
        proposed.addCallback(self._answer, claim)
        proposed.addErrback(self._unavailable, claim, first_attempt)
        return proposed

    def may_dispatch(self, claim: Claim) -> bool:
        """Return whether the claim still stands; ask as the last step."""
        age = self._clock.seconds() - claim.sent
        return age < self._dispatch_within

    def finish(self, claim: Claim, outcome: bytes) -> "Deferred[None]":
        """Record that the request has run, with its answer for resends."""
        kept: bytes | None = outcome
        if len(outcome) > MAX_OUTCOME_BYTES:
            self.counters[ClaimCounter.OUTCOME_TOO_LARGE] += 1
            kept = None
        return self._advance(claim, ClaimState.FINISHED, kept)

    def abandon(self, claim: Claim) -> "Deferred[None]":
        """Free the key; only after proof that no byte was dispatched."""
        return self._advance(claim, ClaimState.ABANDONED)

    def unknown(self, claim: Claim) -> "Deferred[None]":
        """Record that bytes have left and no answer came."""
        return self._advance(claim, ClaimState.UNKNOWN)

    def platform_calls(self) -> int:
        """Return how many calls this instance made to the platform."""
        calls = (LogCounter.WRITES, LogCounter.READS)
        return sum(log.counters[each] for log in self._logs for each in calls)

    def counts(self) -> dict[str, int]:
        """Return all counters of claims by name, those of the shards summed."""
        total: Counter[enum.Enum] = Counter(self.counters)
        for log in self._logs:
            total.update(log.counters)
        if self._exchange is not None:
            total.update(self._exchange.counters)
        return {counter.value: count for counter, count in total.items()}

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Take a message of another instance."""
        if self._exchange is not None:
            self._exchange.receive(message, instance)

    def _propose(self, shard: int, record: ClaimRecord) -> "Deferred[ClaimRecord]":
        if self._exchange is not None:
            return self._exchange.propose(shard, record)
        return self._logs[shard].propose(record)

    def _advance(
        self, claim: Claim, state: ClaimState, outcome: bytes | None = None
    ) -> "Deferred[None]":
        record = claim.record.with_state(state, outcome)
        done = self._propose(claim.shard, record)
        done.addCallback(lambda _stands: None)
        return done

    def _answer(
        self, stands: ClaimRecord, claim: Claim
    ) -> Claimed | Finished | Refusal:
        own = stands.request_id == claim.record.request_id
        if own and stands.state is ClaimState.CLAIMED:
            self.counters[ClaimCounter.CLAIMED] += 1
            return Claimed(claim)
        if stands.body != claim.record.body:
            return self._refuse(Reason.IDEMPOTENCY_KEY_REUSED, retry_after=None)
        if stands.state is ClaimState.FINISHED and stands.outcome is not None:
            self.counters[ClaimCounter.REPLAYED] += 1
            return Finished(stands.outcome)
        if stands.state is ClaimState.CLAIMED and self._holder_lives(stands):
            return self._refuse(Reason.CLAIM_IN_PROGRESS, retry_after=RETRY_AFTER)
        return self._refuse(Reason.OUTCOME_UNKNOWN, retry_after=None)

    def _holder_lives(self, stands: ClaimRecord) -> bool:
        holder = RequestId.parse(stands.request_id)
        if self._members is None or holder is None:
            return True
        member = self._members.member(holder.instance)
        return member is not None and member.incarnation == holder.incarnation

    def _unavailable(
        self, failure: Failure, claim: Claim, first_attempt: bool
    ) -> Refusal:
        if not failure.check(KeyValueUnavailableError):
            self.abandon(claim)
        return self._refuse(
            Reason.CLAIM_UNAVAILABLE, retry_after=RETRY_AFTER, not_run=first_attempt
        )

    def _refuse(
        self, reason: Reason, *, retry_after: timedelta | None, not_run: bool = False
    ) -> Refusal:
        self.refusals[reason] += 1
        return Refusal(reason, Step.CLAIM, not_run=not_run, retry_after=retry_after)
