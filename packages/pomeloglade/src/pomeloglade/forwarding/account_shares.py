"""How much of each service the client accounts have used lately."""

import math
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

DECAY_SECONDS = 6.0
"""Time in which a counted call decays to 1/e. An instance gets one or two calls a
second, so a shorter time would leave nothing to compare."""

MAX_ACCOUNTS = 1_000
"""Limit on the accounts kept for each service; the least recent are dropped."""

MIN_COUNT = 0.25
"""Decayed count below which an account is not among those that share a service."""

OVERUSE = 1.5
"""Multiple of its equal share above which an account goes behind others. An instance
sees a small sample of an account's calls, which varies by chance."""

MIN_OVERUSE_CALLS = 3.0
MAX_STEP = 3


@dataclass(slots=True)
class _Use:
    count: float
    counted_at: float


class AccountShares:
    """Compares the accounts' use of each service with their equal shares.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> shares = AccountShares(Clock())
    >>> for account in ("club", "club", "club", "club", "club", "club", "gym"):
    ...     shares.record("lookup", account)
    >>> shares.step("lookup", "club"), shares.step("lookup", "gym")
    (1, 0)
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._uses_by_service: dict[str, dict[str, _Use]] = {}

    def record(self, service: str, account: str) -> None:
        """Count a call of an account that is sent to a server of the service."""
        uses = self._uses_by_service.setdefault(service, {})
        count = self._count(uses.pop(account, None)) + 1.0
        uses[account] = _Use(count, self._clock.seconds())
        if len(uses) > MAX_ACCOUNTS:
            del uses[next(iter(uses))]

    def step(self, service: str, account: str) -> int:
        """Return how far an account is above its equal share, from 0 to ``MAX_STEP``.

        Each step is twice the use of the one before it. An account that is alone, or
        has sent only a few calls, is not above its share.
        """
        uses = self._uses_by_service.get(service, {})
        own = self._count(uses.get(account))
        if own < MIN_OVERUSE_CALLS:
            return 0
        counts = [self._count(each) for each in uses.values()]
        active = [count for count in counts if count >= MIN_COUNT]
        allowed = OVERUSE * sum(active) / len(active)
        if own <= allowed:
            return 0
        return min(MAX_STEP, 1 + int(math.log2(own / allowed)))

    def _count(self, use: _Use | None) -> float:
        if use is None:
            return 0.0
        age = self._clock.seconds() - use.counted_at
        return use.count * math.exp(-age / DECAY_SECONDS)
