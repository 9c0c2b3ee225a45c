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
CLAIM_RETENTION = timedelta(hours=1)
OUTCOME_RETENTION = timedelta(minutes=2)
CLAIM_TIMEOUT = timedelta(seconds=2)
DISPATCH_TIMEOUT = timedelta(seconds=60)
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to run one request once.

    ``sent_at`` is the clock's time just before the claim was proposed. The right
    to dispatch ends ``DISPATCH_TIMEOUT`` after it, or after half the retention
    time if that is shorter.
    """

    record: ClaimRecord
    shard: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is recorded, and only this caller may run the request."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class Finished:
    """An earlier attempt has run; ``outcome`` is its recorded answer."""

    outcome: bytes


class ClaimCounter(enum.Enum):
    """Counters of claims; refusals are counted by reason."""

    CLAIMED = "claimed"
    REPLAYED = "replayed"
    TIMED_OUT = "timed_out"
    OUTCOME_TOO_LARGE = "outcome_too_large"


class Claims:
    """Grants each idempotency key of a client account to one attempt.

    A claim is recorded in the key-value store before the request is dispatched,
    and no other attempt can take it over. If its holder dies, resends are refused
    with ``OUTCOME_UNKNOWN`` until the record expires.

    Parameters
    ----------
    clock : IReactorTime
        Times writes, timeouts and the expiry of records.
    store : KeyValueStore
        Where claims are recorded.
    own : Member
        This run of this instance.
    random : random.Random
        Adds jitter to retries.
    members : MembershipView, optional
        With ``members`` and ``sender``, claims are forwarded to one writer per
        shard. If one is missing, this instance writes all shards itself.
    sender : PeerSender, optional
        Carries messages to the other instances.
    retention : timedelta
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
        retention: timedelta = CLAIM_RETENTION,
        outcome_retention: timedelta = OUTCOME_RETENTION,
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
                retention=retention,
                outcome_retention=outcome_retention,
                commit_interval=commit_interval,
            )
            for shard in range(shards)
        )
        self._exchange: ClaimExchange | None = None
        if members is not None and sender is not None:
            self._exchange = ClaimExchange(
                clock=clock, members=members, sender=sender, logs=self._logs
            )
        self._dispatch_timeout = min(
            DISPATCH_TIMEOUT.total_seconds(), retention.total_seconds() / 2
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

        ``request_id`` must be new for each attempt. While the key-value store is
        unavailable, an earlier attempt at another instance cannot be ruled out,
        so the refusal has ``not_run`` set only for a ``first_attempt``.
        """
        record = ClaimRecord(
            digest(account, key), digest(body_digest), request_id, ClaimState.CLAIMED
        )
        shard = record.digest[0] % len(self._logs)
        claim = Claim(record, shard, self._clock.seconds())
        proposed = self._propose(shard, record)
        proposed.addTimeout(CLAIM_TIMEOUT.total_seconds(), self._clock)
        proposed.addCallback(self._claim_result, claim)
        proposed.addErrback(self._refuse_unavailable, claim, first_attempt)
        return proposed

    def may_dispatch(self, claim: Claim) -> bool:
        """Return whether the claim is still valid; call right before dispatch."""
        age = self._clock.seconds() - claim.sent_at
        return age < self._dispatch_timeout

    def finish(self, claim: Claim, outcome: bytes) -> "Deferred[None]":
        """Record that the request has run, with its answer for resends."""
        stored: bytes | None = outcome
        if len(outcome) > MAX_OUTCOME_BYTES:
            self.counters[ClaimCounter.OUTCOME_TOO_LARGE] += 1
            stored = None
        return self._update_state(claim, ClaimState.FINISHED, stored)

    def abandon(self, claim: Claim) -> "Deferred[None]":
        """Release the key; call this only if certainly no byte was dispatched."""
        return self._update_state(claim, ClaimState.ABANDONED)

    def mark_unknown(self, claim: Claim) -> "Deferred[None]":
        """Record that the request was sent but its answer was not received."""
        return self._update_state(claim, ClaimState.UNKNOWN)

    def platform_calls(self) -> int:
        """Return how many calls this instance made to the key-value store."""
        calls = (LogCounter.WRITES, LogCounter.READS)
        return sum(log.counters[each] for log in self._logs for each in calls)

    def counts(self) -> dict[str, int]:
        """Return all counters by name, summed over the shards."""
        total: Counter[enum.Enum] = Counter(self.counters)
        for log in self._logs:
            total.update(log.counters)
        if self._exchange is not None:
            total.update(self._exchange.counters)
        return {counter.value: count for counter, count in total.items()}

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message from another instance."""
        if self._exchange is not None:
            self._exchange.receive(message, instance)

    def _propose(self, shard: int, record: ClaimRecord) -> "Deferred[ClaimRecord]":
        if self._exchange is not None:
            return self._exchange.propose(shard, record)
        return self._logs[shard].propose(record)

    def _update_state(
        self, claim: Claim, state: ClaimState, outcome: bytes | None = None
    ) -> "Deferred[None]":
        record = claim.record.with_state(state, outcome)
        done = self._propose(claim.shard, record)
        done.addCallback(lambda _recorded: None)
        return done

    def _claim_result(
        self, recorded: ClaimRecord, claim: Claim
    ) -> Claimed | Finished | Refusal:
        same_attempt = recorded.request_id == claim.record.request_id
        if same_attempt and recorded.state is ClaimState.CLAIMED:
            self.counters[ClaimCounter.CLAIMED] += 1
            return Claimed(claim)
        if recorded.body != claim.record.body:
            return self._refuse(Reason.IDEMPOTENCY_KEY_REUSED, retry_after=None)
        if recorded.state is ClaimState.FINISHED and recorded.outcome is not None:
            self.counters[ClaimCounter.REPLAYED] += 1
            return Finished(recorded.outcome)
        if recorded.state is ClaimState.CLAIMED and self._holder_is_live(recorded):
            return self._refuse(Reason.CLAIM_IN_PROGRESS, retry_after=RETRY_AFTER)
        return self._refuse(Reason.OUTCOME_UNKNOWN, retry_after=None)

    def _holder_is_live(self, recorded: ClaimRecord) -> bool:
        holder = RequestId.parse(recorded.request_id)
        if self._members is None or holder is None:
            return True
        member = self._members.member(holder.instance)
        return member is not None and member.incarnation == holder.incarnation

    def _refuse_unavailable(
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
