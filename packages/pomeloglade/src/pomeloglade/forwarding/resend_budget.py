"""The fleet's retry budget, which all instances spend together."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .tally import NO_CALLS, Tally, add_tallies

USABLE_FRACTION = 0.8
"""Fraction of the budget that is used, since instances may disagree for a while about
their number, the start of the window and the latest retries."""

POOLED_FRACTION = 0.3
"""Fraction of the budget that any instance may use beyond its even share."""

UNCOVERED_FRACTION = 0.65
"""Fraction of its even share that an instance uses while it does not know of all the
others: these may have used what is pooled before."""


@dataclass(frozen=True, slots=True)
class ResendLimit:
    """The fleet's limit on retries to a service within ``window`` seconds.

    It is ``ratio`` of the calls to the service, plus ``slack``.
    """

    ratio: float
    slack: float
    window: float


@dataclass(slots=True)
class _Window:
    """Tallies of the last seconds, and their sum."""

    tallies: deque[tuple[float, Tally]] = field(default_factory=deque)
    sum: Tally = NO_CALLS

    def add(self, now: float, tally: Tally) -> None:
        self.tallies.append((now, tally))
        self.sum += tally

    def since(self, oldest: float) -> Tally:
        """Return the sum after dropping what is older than ``oldest``."""
        while self.tallies and self.tallies[0][0] < oldest:
            _, (events, calls) = self.tallies.popleft()
            self.sum = Tally(self.sum.events - events, self.sum.calls - calls)
        return self.sum


class ResendBudget:
    """Counts calls and retries by service over a sliding window.

    Each instance may use an even share of the slack. What the others report lets it use
    more while the fleet has used little: the calls that need a retry are few, and in a
    large fleet an even share is less than one or two. Once the fleet has used up the
    budget, no instance uses the rest of its share.

    ``covers_all`` tells whether the reports cover all ``instances``; without that, an
    instance keeps to a part of its share.

    >>> from twisted.internet.task import Clock
    >>> budget = ResendBudget(Clock(), ResendLimit(0.2, 5.0, 10.0))
    >>> budget.instances = 2
    >>> budget.covers_all = lambda: True
    >>> [budget.try_spend("app") for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, clock: IReactorTime, limit: ResendLimit) -> None:
        self._clock = clock
        self._limit = limit
        self._own_by_service: dict[str, _Window] = {}
        self._others_by_service: dict[str, _Window] = {}
        self._unreported_by_service: dict[str, Tally] = {}
        self.instances = 1
        self.covers_all: Callable[[], bool] = lambda: self.instances == 1

    def record_call(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._record(service, Tally(0, 1))

    def remaining(self, service: str) -> int:
        """Return how many retries to a service are left."""
        own, others = self._recent(service)
        if not self.covers_all():
            return self._share_left(own)
        fleet = self._limit.ratio * (own.calls + others.calls) + self._limit.slack
        used = own.events + others.events
        left = max(self._share_left(own), int(POOLED_FRACTION * fleet) - used)
        return min(left, int(USABLE_FRACTION * fleet) - used)

    def remaining_share(self, service: str) -> int:
        """Return how many of the retries left are within this instance's even share.

        Retries of calls that may only be slow keep to it: when servers are overloaded,
        more of them would add to the load.
        """
        own, _ = self._recent(service)
        return min(self._share_left(own), self.remaining(service))

    def plentiful(self, service: str) -> bool:
        """Return whether this instance has used less than half of its even share.

        Retries that help less often than others are made only then.
        """
        own, _ = self._recent(service)
        return self._share_left(own) > own.events and self.remaining(service) > 0

    def try_spend(self, service: str) -> bool:
        """Count a retry, or return ``False`` if the budget is exhausted."""
        if self.remaining(service) <= 0:
            return False
        self._record(service, Tally(1, 0))
        return True

    def take_unreported(self) -> dict[str, Tally]:
        """Return this instance's calls and retries since the last such call."""
        unreported, self._unreported_by_service = self._unreported_by_service, {}
        return unreported

    def apply_reported(self, tallies_by_service: Mapping[str, Tally]) -> None:
        """Add the calls and retries of other instances."""
        now = self._clock.seconds()
        for service, tally in tallies_by_service.items():
            window = self._others_by_service.setdefault(service, _Window())
            window.add(now, Tally(*tally))
            window.since(now - self._limit.window)

    def _recent(self, service: str) -> tuple[Tally, Tally]:
        """Return this instance's and the others' tallies within the window."""
        oldest = self._clock.seconds() - self._limit.window
        own = self._own_by_service.get(service, _Window()).since(oldest)
        others = self._others_by_service.get(service, _Window()).since(oldest)
        return own, others

    def _share_left(self, own: Tally) -> int:
        share = self._limit.ratio * own.calls
        share += self._limit.slack / max(1, self.instances)
        usable = USABLE_FRACTION if self.covers_all() else UNCOVERED_FRACTION
        return int(usable * share) - own.events

    def _record(self, service: str, tally: Tally) -> None:
        now = self._clock.seconds()
        window = self._own_by_service.setdefault(service, _Window())
        window.add(now, tally)
        window.since(now - self._limit.window)
        add_tallies(self._unreported_by_service, {service: tally})
