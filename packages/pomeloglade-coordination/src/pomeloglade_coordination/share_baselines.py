"""Simpler ways to share a rate, kept to measure against."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from .bucket import NANOSECONDS, Bucket, Limit, nanoseconds
from .clock import Clock, delay
from .errors import KeyValueError, RevisionConflictError
from .key_value import ABSENT, KeyValueStore
from .members import MembershipView
from .refusals import Reason, Refusal, Step

CENTRAL_RETRIES = 4
"""How often a lost race for the central bucket is run again."""


@dataclass(slots=True)
class PlainGrant:
    """A grant without a lease; ``finished`` once refunded."""

    account: str
    tokens: int
    finished: bool = False


class StaticShares:
    """Divides each limit once over all instances; none lends.

    Parameters
    ----------
    clock : IReactorTime
        Refills the buckets.
    index, count : int
        Which of how many parts this instance has.
    """

    def __init__(self, *, clock: Clock, index: int, count: int) -> None:
        self._clock = clock
        self._index = index
        self._count = count
        self._limits_by_account: Mapping[str, Limit] = {}
        self._buckets_by_account: dict[str, Bucket] = {}

    def configure(self, limits_by_account: Mapping[str, Limit], revision: int) -> None:
        """Put limits in force."""
        now = self._clock.seconds()
        self._limits_by_account = dict(limits_by_account)
        for account, limit in limits_by_account.items():
            part = limit.part(self._index, self._count)
            bucket = self._buckets_by_account.get(account)
            if bucket is None:
                self._buckets_by_account[account] = Bucket(part, now)
            else:
                bucket.change(part, now)

    def acquire(
        self, account: str, tokens: int, timeout: timedelta
    ) -> "Deferred[PlainGrant | Refusal]":
        """Return a grant or a refusal, always at once."""
        limit = self._limits_by_account[account]
        bucket = self._buckets_by_account[account]
        if tokens > limit.burst:
            return succeed(Refusal(Reason.OVER_BURST, Step.ADMIT))
        available = bucket.available(self._clock.seconds())
        if available < tokens:
            wait = delay((tokens - available) / max(1, bucket.limit.rate))
            return succeed(Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=wait))
        bucket.take(tokens)
        return succeed(PlainGrant(account, tokens))

    def confirm(self, grant: PlainGrant) -> bool:
        """Spend the grant."""
        bucket = self._buckets_by_account[grant.account]
        bucket.settle(self._clock.seconds(), spent=grant.tokens)
        return True

    def refund(self, grant: PlainGrant, unused: int) -> None:
        """Put back what was not used, once."""
        if grant.finished:
            return
        grant.finished = True
        bucket = self._buckets_by_account[grant.account]
        bucket.refill(self._clock.seconds())
        bucket.add(min(unused, grant.tokens))

    def tick(self) -> None:
        """Do nothing; there is nothing to report."""


class CentralShares:
    """One bucket per account in the key-value store, by compare-and-swap.

    Costs a read and a write of the platform for each request, and refuses when
    the platform is out. The bucket's instant is taken from the instances' own
    clocks, so the baseline is right only while these agree.
    """

    def __init__(
        self, *, clock: Clock, members: MembershipView, store: KeyValueStore
    ) -> None:
        self._clock = clock
        self._members = members
        self._store = store
        self._limits_by_account: Mapping[str, Limit] = {}

    def configure(self, limits_by_account: Mapping[str, Limit], revision: int) -> None:
        """Put limits in force."""
        self._limits_by_account = dict(limits_by_account)

    @inlineCallbacks
    def acquire(
        self, account: str, tokens: int, timeout: timedelta
    ) -> "Deferred[PlainGrant | Refusal]":
        """Return a grant or a refusal after asking the platform."""
        if tokens > self._limits_by_account[account].burst:
            return Refusal(Reason.OVER_BURST, Step.ADMIT)
        refusal = yield self._change(account, tokens)
        return refusal or PlainGrant(account, tokens)

    def confirm(self, grant: PlainGrant) -> bool:
        """Return true; there is no lease to lapse."""
        return True

    def refund(self, grant: PlainGrant, unused: int) -> None:
        """Put back what was not used, once, unless the platform is out."""
        if not grant.finished and unused > 0:
            self._change(grant.account, -min(unused, grant.tokens))
        grant.finished = True

    def tick(self) -> None:
        """Do nothing; there is nothing to report."""

    @inlineCallbacks
    def _change(self, account: str, tokens: int) -> "Deferred[Refusal | None]":
        limit = self._limits_by_account[account]
        key = f"shares/{account}"
        for _ in range(CENTRAL_RETRIES):
            try:
                entry = yield self._store.get(key)
                now = nanoseconds(self._clock.seconds())
                full = limit.burst * NANOSECONDS
                level, at = (full, now) if entry is None else _parsed(entry.value)
                earned = limit.rate * max(0, now - at)
                level = min(limit.burst * NANOSECONDS, level + earned)
                if level < tokens * NANOSECONDS:
                    missing = tokens - level / NANOSECONDS
                    wait = delay(missing / limit.rate)
                    return Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=wait)
                level = min(limit.burst * NANOSECONDS, level - tokens * NANOSECONDS)
                revision = ABSENT if entry is None else entry.revision
                value = f"{level} {max(now, at)}".encode()
                yield self._store.put(key, value, expected=revision)
            except RevisionConflictError:
                continue
            except KeyValueError:
                break
            return None
        return Refusal(Reason.OVER_RATE, Step.ADMIT, peer="key-value service")


def _parsed(value: bytes) -> tuple[int, int]:
    level, at = value.split()
    return int(level), int(at)
