"""Which instances can take calls of others, as they report."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from twisted.internet.interfaces import IReactorTime

from .report_scope import ReportScope

UNAVAILABLE_SECONDS = 1.5
"""Time after which an instance that was reported as unavailable counts as available
again. Reports repeat it sooner."""

REPEAT_SECONDS = 0.5
NEWS_SECONDS = 0.1
"""Shortest interval of reports with names, and the one if any of them is new."""

PASS_ON_SECONDS = 0.6
"""Time for which a name is passed on after it was reported. With the full time, it
would live on from contact to contact."""

MAX_REPORTED_NAMES = 32
"""Limit on the names that reports have within ``REPEAT_SECONDS``. Of more, each report
has others."""


@dataclass(frozen=True, slots=True)
class _Mark:
    until: float
    scope: ReportScope


class InstanceAvailability:
    """Keeps the instances that have no way to servers themselves, or stop.

    Parameters
    ----------
    instance : str
        The name of this instance.

    Attributes
    ----------
    own_unavailable : callable
        Returns whether this instance can take no calls of others.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> availability = InstanceAvailability(clock, Random(1), "entry-1")
    >>> availability.apply_reported(["entry-2"], ReportScope.FLEET)
    >>> availability.available("entry-2"), availability.available("entry-3")
    (False, True)
    """

    def __init__(self, clock: IReactorTime, random: Random, instance: str) -> None:
        self._clock = clock
        self._random = random
        self._instance = instance
        self._marks_by_instance: dict[str, _Mark] = {}
        self._reported_at_by_scope: dict[ReportScope, float] = {}
        self._scopes_without_news: set[ReportScope] = set()
        self.own_unavailable: Callable[[], bool] = lambda: False

    def available(self, instance: str) -> bool:
        """Return whether another instance can take calls, as far as is known."""
        mark = self._marks_by_instance.get(instance)
        return mark is None or mark.until <= self._clock.seconds()

    def apply_reported(self, instances: Iterable[str], scope: ReportScope) -> None:
        """Learn which instances are unavailable."""
        until = self._clock.seconds() + UNAVAILABLE_SECONDS
        for instance in instances:
            known = self._marks_by_instance.get(instance)
            fresh = not self.available(instance)
            if not fresh:
                self._scopes_without_news.clear()
            nearest = min(scope, known.scope) if fresh else scope
            self._marks_by_instance[instance] = _Mark(until, nearest)

    def report_at_once(self) -> None:
        """Let the next reports have the names: this instance's own state is new."""
        self._scopes_without_news.clear()

    def take_due(self, widest: ReportScope) -> list[str]:
        """Return the names of unavailable instances for the next report of a scope."""
        now = self._clock.seconds()
        reported_at = self._reported_at_by_scope.get(widest, float("-inf"))
        known = widest in self._scopes_without_news
        if now - reported_at < (REPEAT_SECONDS if known else NEWS_SECONDS):
            return []
        self._scopes_without_news.add(widest)
        self._reported_at_by_scope[widest] = now
        for instance in list(self._marks_by_instance):
            if self.available(instance):
                del self._marks_by_instance[instance]
        names = [
            instance
            for instance, mark in self._marks_by_instance.items()
            if mark.scope <= widest
            and instance != self._instance
            and mark.until - now >= UNAVAILABLE_SECONDS - PASS_ON_SECONDS
        ]
        if len(names) > MAX_REPORTED_NAMES:
            names = self._random.sample(names, MAX_REPORTED_NAMES)
        if self.own_unavailable():
            names.append(self._instance)
        return names
