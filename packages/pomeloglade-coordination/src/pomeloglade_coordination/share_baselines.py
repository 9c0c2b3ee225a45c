"""Simpler ways to share a rate, as baselines for the benchmarks."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from .bucket import NANOSECONDS_PER_SECOND, Bucket, Limit, to_nanoseconds
from .clock import Clock, nonnegative_timedelta
from .errors import KeyValueError, RevisionConflictError
from .key_value import ABSENT, KeyValueStore
from .members import MembershipView
from .refusals import Reason, Refusal, Step

MAX_WRITE_ATTEMPTS = 4
"""Most attempts to write a central bucket that other instances write as well."""


@dataclass(slots=True)
class PlainGrant:
    """A grant without a lease."""

    account: str
    tokens: int
    refunded: bool = False


class StaticShares:
    """Divides each limit evenly over all instances, without loans.

    Parameters
    ----------
    clock : IReactorTime
        Refills the buckets.
    index, count : int
        Index of this instance's part, and the number of parts.
    """

    def __init__(self, *, clock: Clock, index: int, count: int) -> None:
        self._clock = clock
        self._index = index
        self._count = count
        self._limits_by_account: Mapping[str, Limit] = {}
        self._buckets_by_account: dict[str, Bucket] = {}

    def configure(self, limits_by_account: Mapping[str, Limit], revision: int) -> None:
        """Apply limits."""
        now = self._clock.seconds()
        self._limits_by_account = dict(limits_by_account)
        for account, limit in limits_by_account.items():
            part = limit.part(self._index, self._count)
            bucket = self._buckets_by_account.get(account)
            if bucket is None:
                self._buckets_by_account[account] = Bucket(part, now)
            else:
                bucket.set_limit(part, now)

    def acquire(
        self, account: str, tokens: int, timeout: timedelta
    ) -> "Deferred[PlainGrant | Refusal]":
        """Return a grant or a refusal without waiting."""
        limit = self._limits_by_account[account]
        bucket = self._buckets_by_account[account]
        if tokens > limit.burst:
            return succeed(Refusal(Reason.OVER_BURST, Step.ADMIT))
        available = bucket.available(self._clock.seconds())
        if available < tokens:
            wait = nonnegative_timedelta(
                (tokens - available) / max(1, bucket.limit.rate)
            )
            return succeed(Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=wait))
        bucket.reserve(tokens)
        return succeed(PlainGrant(account, tokens))

    def confirm(self, grant: PlainGrant) -> bool:
        """Mark the tokens of the grant as spent."""
        bucket = self._buckets_by_account[grant.account]
        bucket.release(self._clock.seconds(), spent=grant.tokens)
        return True

    def refund(self, grant: PlainGrant, unused: int) -> None:
        """Return the unused tokens; only the first call has an effect."""
        if grant.refunded:
            return
        grant.refunded = True
        bucket = self._buckets_by_account[grant.account]
        bucket.refill(self._clock.seconds())
        bucket.add(min(unused, grant.tokens))

    def tick(self) -> None:
        """Do nothing; there is nothing to report."""


class CentralShares:
    """Keeps one bucket per account in the key-value store, by compare-and-swap.

    Each request costs a read and a write of the store, and is refused while the
    store is unavailable. Buckets are refilled by the instances' own clocks, so the
    limits hold only while these agree.
    """

    def __init__(
        self, *, clock: Clock, members: MembershipView, store: KeyValueStore
    ) -> None:
        self._clock = clock
        self._members = members
        self._store = store
        self._limits_by_account: Mapping[str, Limit] = {}

    def configure(self, limits_by_account: Mapping[str, Limit], revision: int) -> None:
        """Apply limits."""
        self._limits_by_account = dict(limits_by_account)

    @inlineCallbacks
    def acquire(
        self, account: str, tokens: int, timeout: timedelta
    ) -> "Deferred[PlainGrant | Refusal]":
        """Return a grant or a refusal after updating the bucket in the store."""
        if tokens > self._limits_by_account[account].burst:
            return Refusal(Reason.OVER_BURST, Step.ADMIT)
        refusal = yield self._update_bucket(account, tokens)
        return refusal or PlainGrant(account, tokens)

    def confirm(self, grant: PlainGrant) -> bool:
        """Return true; there is no lease to lapse."""
        return True

    def refund(self, grant: PlainGrant, unused: int) -> None:
        """Return the unused tokens once; they are lost if the store is unavailable."""
        if not grant.refunded and unused > 0:
            self._update_bucket(grant.account, -min(unused, grant.tokens))
        grant.refunded = True

    def tick(self) -> None:
        """Do nothing; there is nothing to report."""

    @inlineCallbacks
    def _update_bucket(self, account: str, tokens: int) -> "Deferred[Refusal | None]":
        limit = self._limits_by_account[account]
        key = f"shares/{account}"
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                entry = yield self._store.get(key)
                now = to_nanoseconds(self._clock.seconds())
                full = limit.burst * NANOSECONDS_PER_SECOND
                level, refilled_at = (
                    (full, now) if entry is None else _parse_bucket(entry.value)
                )
                earned = limit.rate * max(0, now - refilled_at)
                level = min(limit.burst * NANOSECONDS_PER_SECOND, level + earned)
                if level < tokens * NANOSECONDS_PER_SECOND:
                    missing = tokens - level / NANOSECONDS_PER_SECOND
                    wait = nonnegative_timedelta(missing / limit.rate)
                    return Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=wait)
                level = min(
                    limit.burst * NANOSECONDS_PER_SECOND,
                    level - tokens * NANOSECONDS_PER_SECOND,
                )
                revision = ABSENT if entry is None else entry.revision
                value = f"{level} {max(now, refilled_at)}".encode()
                yield self._store.put(key, value, expected=revision)
            except RevisionConflictError:
                continue
            except KeyValueError:
                break
            return None
        return Refusal(Reason.OVER_RATE, Step.ADMIT, peer="key-value service")


def _parse_bucket(value: bytes) -> tuple[int, int]:
    level, refilled_at = value.split()
    return int(level), int(refilled_at)
