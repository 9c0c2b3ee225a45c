"""When refused callers are told to come back, so that they do not come together."""

from collections import defaultdict
from collections.abc import Iterable
from random import Random
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .fleet_news import FleetNews, NewsTopic

INTERVAL_SECONDS = 0.1
MAX_INTERVALS = 50
"""Intervals, from the present one on, to which callers are told to come back. Most
callers don't wait longer than this for a plain service."""

RETURN_FRACTION = 0.5
"""Part of what a service finishes that is promised to returning callers; new ones get
the rest."""

LONGEST_SECONDS = 10.0
"""How long the longest promised time of a service is remembered."""

REPORT_INTERVAL_SECONDS = 1.0
"""Shortest interval of an instance's rows, which come from all instances at once."""

TOPIC = NewsTopic(
    "returns", max_age=5.0, repeat_for=0.05, max_rows=1_000, max_reported=4
)
"""Four rows of about 40 bytes in half a second are a tenth of the control traffic
that an instance may cause."""


class ReturnTimes:
    """Counts how many callers of each service were told to come back in which interval.

    Counts of the other instances come as rows: the service, an offset from the interval
    of the observation, and the callers in each interval from there on. Without them an
    instance spreads its own callers only.

    Parameters
    ----------
    instance : str
        The name of this instance, which is the key of its rows.
    """

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        news: FleetNews,
        instance: str,
    ) -> None:
        self._clock = clock
        self._random = random
        self._news = news
        self._instance = instance
        self._counts_by_service: dict[str, dict[int, int]] = {}
        self._longest_by_service: dict[str, tuple[float, float]] = {}
        self._reported_at_by_service: dict[str, float] = {}
        news.add_topic(TOPIC)

    def promise(self, service: str, earliest: float, rate: float) -> float:
        """Return the seconds after which a refused caller is to come back.

        That is within the first interval with room that ends later than ``earliest``
        seconds from now. ``rate`` is the number of calls a second that the service
        finishes.
        """
        now = self._clock.seconds()
        present = int(now / INTERVAL_SECONDS)
        counts = self._counts_by_service.setdefault(service, {})
        for index in [each for each in counts if each < present]:
            del counts[index]
        known = self._reported_counts(service)
        for index, count in counts.items():
            known[index] += count
        room = max(1.0, rate * RETURN_FRACTION * INTERVAL_SECONDS)
        last = present + MAX_INTERVALS - 1
        first = min(last, int((now + earliest) / INTERVAL_SECONDS))
        intervals = range(first, last + 1)
        chosen = next(
            (each for each in intervals if known[each] + 1 <= room),
            min(intervals, key=lambda each: known[each]),
        )
        counts[chosen] = counts.get(chosen, 0) + 1
        begin = max(chosen * INTERVAL_SECONDS, now + earliest)
        end = max(begin, (chosen + 1) * INTERVAL_SECONDS)
        seconds = self._random.uniform(begin, end) - now
        if seconds >= self._longest(service):
            self._longest_by_service[service] = (now, seconds)
        self._report(service, counts, present)
        return seconds

    def longest(self, service: str) -> float:
        """Return the longest time for which callers were told to wait lately.

        It bounds the age that a returning caller is credited with.
        """
        reported = self._reported_counts(service)
        latest = max(reported, default=0) + 1
        own = self._longest(service)
        return max(own, latest * INTERVAL_SECONDS - self._clock.seconds(), 0.0)

    def count(self) -> int:
        """Return how many callers this instance expects back."""
        present = int(self._clock.seconds() / INTERVAL_SECONDS)
        return sum(
            count
            for counts in self._counts_by_service.values()
            for index, count in counts.items()
            if index >= present
        )

    def _longest(self, service: str) -> float:
        promised_at, seconds = self._longest_by_service.get(service, (0.0, 0.0))
        recent = self._clock.seconds() - promised_at <= LONGEST_SECONDS
        return seconds if recent else 0.0

    def _report(self, service: str, counts: dict[int, int], present: int) -> None:
        now = self._clock.seconds()
        reported_at = self._reported_at_by_service.get(service, float("-inf"))
        if now - reported_at < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at_by_service[service] = now
        first = min(counts)
        row = [counts.get(each, 0) for each in range(first, max(counts) + 1)]
        value = [service, first - present, row]
        # Rows go out beside the next report, which is soon while calls are refused.
        self._news.put(TOPIC.name, f"{self._instance}/{service}", value)

    def _reported_counts(self, service: str) -> dict[int, int]:
        """Return the callers that other instances expect, by interval."""
        counts: dict[int, int] = defaultdict(int)
        own_key = f"{self._instance}/{service}"
        for key, row in self._news.rows(TOPIC.name).items():
            if key == own_key:
                continue
            observed = int(row.observed_at / INTERVAL_SECONDS)
            for offset, count in _counts_in(row.value, service):
                counts[observed + offset] += count
        return counts


def _counts_in(value: Any, service: str) -> Iterable[tuple[int, int]]:
    """Return the counts in a row for a service, with their intervals' offsets.

    A row of another shape has none.
    """
    match value:
        case [str(name), int(first), list(counts)] if name == service:
            sound = all(type(each) is int and each >= 0 for each in counts)
            if sound and 0 <= first < MAX_INTERVALS:
                return enumerate(counts[:MAX_INTERVALS], first)
    return ()
