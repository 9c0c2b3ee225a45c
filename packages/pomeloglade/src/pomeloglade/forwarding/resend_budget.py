"""This instance's share of the fleet's retry budget."""

from collections import deque
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

USABLE_FRACTION = 0.8
"""Fraction of the budget that is used, since instances may disagree for a while about
their number and the start of the window."""


@dataclass(frozen=True, slots=True)
class ResendLimit:
    """The fleet's limit on retries to a service within ``window`` seconds.

    It is ``ratio`` of the calls to the service, plus ``slack``.
    """

    ratio: float
    slack: float
    window: float


class ResendBudget:
    """Counts calls and retries by service over a sliding window.

    The slack is divided evenly among the instances, so that together they keep the
    fleet's limit without coordination.

    >>> from twisted.internet.task import Clock
    >>> budget = ResendBudget(Clock(), ResendLimit(0.2, 5.0, 10.0))
    >>> budget.instances = 2
    >>> [budget.try_spend("app") for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, clock: IReactorTime, limit: ResendLimit) -> None:
        self._clock = clock
        self._limit = limit
        self._calls_by_service: dict[str, deque[float]] = {}
        self._resends_by_service: dict[str, deque[float]] = {}
        self.instances = 1

    def record_call(self, service: str) -> None:
        """Count a caller's request to a service."""
        calls = self._calls_by_service.setdefault(service, deque())
        calls.append(self._clock.seconds())
        self._count_recent(calls)

    def remaining(self, service: str) -> int:
        """Return how many retries to a service are left."""
        calls = self._count_recent(self._calls_by_service.get(service, deque()))
        resends = self._count_recent(self._resends_by_service.get(service, deque()))
        slack = self._limit.slack / max(1, self.instances)
        return int(USABLE_FRACTION * (self._limit.ratio * calls + slack)) - resends

    def try_spend(self, service: str) -> bool:
        """Count a retry, or return ``False`` if the budget is exhausted."""
        if self.remaining(service) <= 0:
            return False
        resends = self._resends_by_service.setdefault(service, deque())
        resends.append(self._clock.seconds())
        return True

    def _count_recent(self, instants: deque[float]) -> int:
        oldest = self._clock.seconds() - self._limit.window
        while instants and instants[0] < oldest:
            instants.popleft()
        return len(instants)
