"""Limits on requests that backend servers in need name, kept by all instances."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from twisted.internet.interfaces import IReactorTime

from .event_log import EventLog
from .report_scope import ReportScope
from .tally import Tally, add_tallies

MIN_RATE = 0.1
"""Lowest limit in requests a second. Only answers tell that a limit has ended, so a
server that names a limit of 0 is still asked now and then."""

BURST_SECONDS = 0.5
"""Time in which unused requests are saved up; at least one can be."""

MAX_DEBT_SECONDS = 2.0
"""Time that requests in excess of a limit are made up for, at most."""

SPREAD_SECONDS = 0.15
"""Time until most instances know of a request that another one has sent: its report
passes two contacts, with their shortest intervals."""

MAX_OPENING_FACTOR = 1.25
"""Requests let through while a limit has room, relative to the limit."""

ASK_SECONDS = 0.05
"""Time for which an instance that was not let through does not ask again."""

DEMAND_HALF_LIFE_SECONDS = 0.7
"""Half-life of the demand for a limited server, which averages it over a second."""

ASKS_INTERVAL_SECONDS = 0.25
"""Interval of reports of the demand; requests are reported at once."""

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 5.0

REPORTED_SECONDS = 0.75
REPEAT_SECONDS = 0.5
"""For how long and how often reports repeat a limit, as datagrams may be lost."""

REFRESH_SECONDS = 2.0
"""Age of what is known of a limit at which an answer with it is reported again."""

MAX_LIMITS = 1_000
"""Limit on the server runs whose limits are kept, and on those whose limits ended."""

MAX_REPORTED_LIMITS = 50
"""Limit on the limits that reports have within ``REPEAT_SECONDS``: some 4 KB/s."""

ServerRun = tuple[str, int]
"""The id of a backend server and the start of its run."""

ReportedLimits = list[tuple[str, int, float | None, float]]
"""Servers' ids and starts, each with its limit, or ``None`` once that has ended, and
the seconds since then."""


@dataclass(slots=True)
class _Limit:
    """A server's limit in requests a second, and what is left of it.

    ``level`` is the number of requests that may be sent; it is negative after more
    were. ``rate`` is ``None`` after the limit has ended. ``learned_at`` and ``scope``
    tell since when this is known, and whence.
    """

    rate: float | None
    seen_at: float
    learned_at: float
    scope: ReportScope
    serial: int
    level: float = 0.0
    leveled_at: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    asked_at: float = float("-inf")


@dataclass(slots=True)
class _Progress:
    """What reports of one scope have had since the last time that all was due."""

    all_due_at: float = float("-inf")
    left: int = 0
    reported_serial: int = 0


class ServerLimits:
    """Keeps the requests of all instances within the limits that servers name.

    The instances share one bucket for each limited server: it fills at the server's
    limit, and each request that any of them sends, as reports tell, takes one. No
    instance has a part of its own, since a limit may be far smaller than their number
    and their callers may come to a few of them. For the moment until its report
    arrives, others don't know of a request. So that not all instances with waiting
    calls send at once when the bucket has one request again, each is let through with
    a probability that lets some one of them through in that time. What was sent too
    much is made up for afterwards.

    An instance that is not covered by the others' reports keeps to an even part of
    each limit, and a group of instances to its parts.

    A limit holds for a run of a server until an answer without it to a request that was
    sent after it was named last. Instances tell each other of limits and their ends.

    Parameters
    ----------
    random : random.Random
        Decides which of the instances are let through.

    Attributes
    ----------
    coverage : callable
        Returns how many instances the reports cover, with this one, and how many there
        are.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> limits = ServerLimits(clock, EventLog(clock, 2), Random(1))
    >>> limits.try_take(("a", 0))
    True
    >>> limits.record_answer(("a", 0), 2.0, clock.seconds())
    True
    >>> limits.try_take(("a", 0)), limits.retry_after([("a", 0)])
    (False, 0.5)
    >>> clock.advance(0.5)
    >>> limits.try_take(("a", 0)), limits.try_take(("a", 0))
    (True, False)
    """

    def __init__(self, clock: IReactorTime, log: EventLog, random: Random) -> None:
        self._clock = clock
        self._log = log
        self._random = random
        self._limits_by_run: dict[ServerRun, _Limit] = {}
        self._run_by_server: dict[str, ServerRun] = {}
        self._unreported_by_server: dict[str, Tally] = {}
        self._asks_reported_at = float("-inf")
        self._last_serial = 0
        self._progress_by_scope: dict[ReportScope, _Progress] = defaultdict(_Progress)
        self._was_alone = True
        self.coverage: Callable[[], tuple[int, int]] = lambda: (1, 1)

    def count(self) -> int:
        """Return the number of server runs with a limit."""
        return sum(each.rate is not None for each in self._limits_by_run.values())

    def limited(self, run: ServerRun) -> bool:
        """Return whether a server run names a limit."""
        return self._in_force(run) is not None

    def rate(self, run: ServerRun) -> float:
        """Return the requests a second that this instance and others may send."""
        limit = self._in_force(run)
        return float("inf") if limit is None else self._rate(limit)

    def has_room(self, run: ServerRun) -> bool:
        """Return whether a request may be sent, as far as this instance knows."""
        limit = self._in_force(run)
        return limit is None or self._level(limit) >= 1.0

    def try_take(self, run: ServerRun) -> bool:
        """Count a request to a server, or return ``False`` if it must not be sent now.

        Returns ``True`` for a server without a limit.
        """
        limit = self._in_force(run)
        if limit is None:
            return True
        now = self._clock.seconds()
        has_room = self._level(limit) >= 1.0
        chance = self._chance(limit)
        if now - limit.asked_at >= ASK_SECONDS or chance >= 1.0:
            limit.asked_at = now
            self._ask(run, limit)
            if has_room and self._random.random() < chance:
                self._take(run, limit)
                return True
        return False

    def record_send(self, run: ServerRun) -> None:
        """Count a request that is sent whether the limit has room or not."""
        limit = self._in_force(run)
        if limit is not None:
            self._level(limit)
            self._take(run, limit)

    def retry_after(self, runs: Iterable[ServerRun]) -> float:
        """Return in how many seconds limited servers may take a further request.

        By then the servers have taken as many as are now asked for in the time between
        two that they take.
        """
        limits = [self._in_force(run) for run in runs]
        limits = [each for each in limits if each is not None]
        if not limits:
            return 0.0
        rate = sum(map(self._rate, limits))
        soonest = min((1.0 - self._level(each)) / self._rate(each) for each in limits)
        backlog = max(map(self._demand, limits)) / rate / rate
        wait = max(soonest, backlog, MIN_RETRY_AFTER_SECONDS)
        return round(min(wait, MAX_RETRY_AFTER_SECONDS), 3)

    def record_answer(self, run: ServerRun, rate: float | None, sent_at: float) -> bool:
        """Record the limit in an answer to a request sent at ``sent_at``, if any.

        Answers on different connections may overtake each other. Returns whether this
        is news for the other instances.
        """
        known = self._limits_by_run.get(run)
        now = self._clock.seconds()
        if rate is not None:
            rate = max(rate, MIN_RATE)
            if known is not None and known.rate == rate:
                known.seen_at = now
                if now - known.learned_at >= REFRESH_SECONDS:
                    self._learn(known, ReportScope.OWN)
                return False
            self._set(run, rate, now, ReportScope.OWN)
        elif known is None or known.rate is None or sent_at <= known.seen_at:
            return False
        else:
            self._set(run, None, sent_at, ReportScope.OWN)
        self._log_change(run, "answer")
        return True

    def apply_reported(
        self, limits: ReportedLimits, scope: ReportScope, source: str
    ) -> None:
        """Learn the limits, and ends of limits, that another instance reported."""
        now = self._clock.seconds()
        for server, started_ms, rate, age in limits:
            run, seen_at = (server, started_ms), now - age
            known = self._limits_by_run.get(run)
            if known is None and rate is None:
                continue
            if known is not None and known.rate == rate:
                known.seen_at = max(known.seen_at, seen_at)
                if now - known.learned_at >= REFRESH_SECONDS and age < REFRESH_SECONDS:
                    self._learn(known, scope)
                continue
            if known is not None and seen_at <= known.seen_at:
                continue
            self._set(run, rate, seen_at, scope)
            self._log_change(run, source)

    def apply_sends(self, sends_by_server: Mapping[str, Tally]) -> None:
        """Count the requests that other instances sent to limited servers."""
        for server, (sends, asks) in sends_by_server.items():
            run = self._run_by_server.get(server)
            limit = self._in_force(run) if run is not None else None
            if limit is not None:
                self._add_demand(limit, asks)
                self._level(limit)
                self._lower(limit, sends)

    def take_unreported(self) -> dict[str, Tally]:
        """Return this instance's requests, and tries, since the last such call."""
        now = self._clock.seconds()
        unreported, self._unreported_by_server = self._unreported_by_server, {}
        if now - self._asks_reported_at >= ASKS_INTERVAL_SECONDS:
            self._asks_reported_at = now
            return unreported
        due = {}
        for server, tally in unreported.items():
            kept = due if tally.events else self._unreported_by_server
            kept[server] = tally
        return due

    def take_due(self, widest: ReportScope) -> ReportedLimits:
        """Return the limits for the next report of a scope.

        These are the ones that were not reported yet, and now and then all recent ones.
        """
        now = self._clock.seconds()
        progress = self._progress_by_scope[widest]
        after = progress.reported_serial
        if now - progress.all_due_at >= REPEAT_SECONDS:
            progress.all_due_at = now
            progress.left = MAX_REPORTED_LIMITS
            after = 0
        progress.reported_serial = self._last_serial
        due = [
            (run, each)
            for run, each in self._limits_by_run.items()
            if each.serial > after
            and each.scope <= widest
            and now - each.learned_at <= REPORTED_SECONDS
        ]
        # All have their turn: what is learned again goes to the end.
        due.sort(key=lambda each: each[1].serial)
        due = due[: progress.left]
        progress.left -= len(due)
        return self._rows(due)

    def everything(self) -> ReportedLimits:
        """Return the limits for an instance that may have missed some."""
        return self._rows(
            [
                (run, each)
                for run, each in self._limits_by_run.items()
                if each.rate is not None
            ][:MAX_REPORTED_LIMITS]
        )

    def _rows(self, limits: Sequence[tuple[ServerRun, _Limit]]) -> ReportedLimits:
        now = self._clock.seconds()
        return [
            (server, started_ms, each.rate, round(now - each.seen_at, 3))
            for (server, started_ms), each in limits
        ]

    def _in_force(self, run: ServerRun) -> _Limit | None:
        limit = self._limits_by_run.get(run)
        return None if limit is None or limit.rate is None else limit

    def _set(
        self, run: ServerRun, rate: float | None, seen_at: float, scope: ReportScope
    ) -> None:
        """Put a limit or its end; the bucket of a new one is empty."""
        now = self._clock.seconds()
        known = self._limits_by_run.pop(run, None)
        if known is None or known.rate is None:
            known = _Limit(rate, seen_at, now, scope, 0, leveled_at=now, demand_at=now)
            known.level = self._first_level()
        if len(self._limits_by_run) >= MAX_LIMITS:
            oldest = next(iter(self._limits_by_run))
            del self._limits_by_run[oldest]
            if self._run_by_server.get(oldest[0]) == oldest:
                del self._run_by_server[oldest[0]]
        known.rate, known.seen_at = rate, seen_at
        self._limits_by_run[run] = known
        self._run_by_server[run[0]] = run
        self._learn(known, scope)

    def _learn(self, limit: _Limit, scope: ReportScope) -> None:
        self._last_serial += 1
        limit.serial = self._last_serial
        limit.learned_at = self._clock.seconds()
        limit.scope = scope

    def _log_change(self, run: ServerRun, source: str) -> None:
        rate = self._limits_by_run[run].rate
        if rate is None:
            self._log.event("server_limit_ended", server=run[0], source=source)
        else:
            self._log.event("server_limit", server=run[0], rate=rate, source=source)

    def _rate(self, limit: _Limit) -> float:
        """Return the part of a limit that the covered instances share."""
        covered, instances = self.coverage()
        return limit.rate * min(1.0, covered / max(1, instances))

    def _level(self, limit: _Limit) -> float:
        """Return how many requests a bucket has, after filling it."""
        self._check_coverage()
        now = self._clock.seconds()
        rate = self._rate(limit)
        limit.level += rate * (now - limit.leveled_at)
        limit.leveled_at = now
        limit.level = min(limit.level, max(1.0, BURST_SECONDS * rate))
        # Sums of fractions may fall short of the request by a rounding error.
        return limit.level + 1e-9

    def _check_coverage(self) -> None:
        """Empty the buckets when this instance is left alone, or no longer is.

        What was saved up belongs to all instances, each of which may be left alone.
        """
        covered, _ = self.coverage()
        alone = covered == 1
        if alone is not self._was_alone:
            self._was_alone = alone
            for each in self._limits_by_run.values():
                each.level = min(each.level, self._first_level())
                each.leveled_at = self._clock.seconds()

    def _first_level(self) -> float:
        """Return the level to begin with.

        Instances that don't hear of each other are spread over the time in which each
        may send one request.
        """
        covered, instances = self.coverage()
        return self._random.random() if covered == 1 < instances else 0.0

    def _chance(self, limit: _Limit) -> float:
        """Return the probability with which a request is let through."""
        demand = self._demand(limit)
        wanted = max(1.0 / SPREAD_SECONDS, MAX_OPENING_FACTOR * limit.rate)
        return 1.0 if demand <= wanted else wanted / demand

    def _demand(self, limit: _Limit) -> float:
        """Return how often the instances ask to send a request, a second."""
        self._add_demand(limit, 0)
        return limit.demand * math.log(2) / DEMAND_HALF_LIFE_SECONDS

    def _add_demand(self, limit: _Limit, asks: int) -> None:
        """Add to the demand, a sum in which each ask counts less as it ages."""
        now = self._clock.seconds()
        limit.demand *= 0.5 ** ((now - limit.demand_at) / DEMAND_HALF_LIFE_SECONDS)
        limit.demand += asks
        limit.demand_at = now

    def _ask(self, run: ServerRun, limit: _Limit) -> None:
        self._add_demand(limit, 1)
        add_tallies(self._unreported_by_server, {run[0]: Tally(0, 1)})

    def _take(self, run: ServerRun, limit: _Limit) -> None:
        self._lower(limit, 1)
        add_tallies(self._unreported_by_server, {run[0]: Tally(1, 0)})

    def _lower(self, limit: _Limit, sends: int) -> None:
        limit.level = max(
            limit.level - sends, -1.0 - MAX_DEBT_SECONDS * self._rate(limit)
        )
