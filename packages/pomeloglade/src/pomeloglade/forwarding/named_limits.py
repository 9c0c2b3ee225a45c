"""The limits on requests that backend servers in need name in their answers."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .event_log import EventLog
from .report_progress import ReportProgress
from .report_scope import ReportScope

MIN_RATE = 0.1
"""Lowest limit in requests a second. Only answers tell that a limit has ended, so a
server that names a limit of 0 is still asked now and then."""

REPORTED_SECONDS = 0.75
"""For how long reports repeat a limit, as datagrams may be lost."""

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
    """A server's limit in requests a second; ``rate`` is ``None`` after it has ended.

    ``learned_at`` and ``scope`` tell since when this is known, and whence.
    """

    rate: float | None
    seen_at: float
    learned_at: float
    scope: ReportScope
    serial: int


class NamedLimits:
    """Knows the limits that servers name, from answers and other instances' reports.

    A limit holds for a run of a server until an answer without it to a request that was
    sent after it was named last. Instances tell each other of limits and their ends.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> named = NamedLimits(clock, EventLog(clock, 2))
    >>> named.record_answer(("a", 0), 2.5, clock.seconds())
    True
    >>> named.rate(("a", 0)), named.rate(("bb", 0))
    (2.5, None)
    """

    def __init__(self, clock: IReactorTime, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._limits_by_run: dict[ServerRun, _Limit] = {}
        self._last_serial = 0
        self._progress_by_scope: dict[ReportScope, ReportProgress] = defaultdict(
            ReportProgress
        )

    def count(self) -> int:
        """Return the number of server runs with a limit."""
        return sum(each.rate is not None for each in self._limits_by_run.values())

    def rate(self, run: ServerRun) -> float | None:
        """Return the limit of a server run in requests a second, or ``None``."""
        limit = self._limits_by_run.get(run)
        return None if limit is None else limit.rate

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

    def take_due(self, widest: ReportScope) -> ReportedLimits:
        """Return the limits for the next report of a scope.

        These are the ones that were not reported yet, and now and then all recent ones.
        """
        now = self._clock.seconds()
        progress = self._progress_by_scope[widest]
        after = progress.begin(
            now=now, last_serial=self._last_serial, limit=MAX_REPORTED_LIMITS
        )
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

    def _set(
        self, run: ServerRun, rate: float | None, seen_at: float, scope: ReportScope
    ) -> None:
        """Put a limit or its end."""
        self._limits_by_run.pop(run, None)
        if len(self._limits_by_run) >= MAX_LIMITS:
            del self._limits_by_run[next(iter(self._limits_by_run))]
        limit = _Limit(rate, seen_at, self._clock.seconds(), scope, 0)
        self._limits_by_run[run] = limit
        self._learn(limit, scope)

    def _learn(self, limit: _Limit, scope: ReportScope) -> None:
        self._last_serial += 1
        limit.serial = self._last_serial
        limit.learned_at = self._clock.seconds()
        limit.scope = scope

    def _log_change(self, run: ServerRun, source: str) -> None:
        rate = self.rate(run)
        if rate is None:
            self._log.event("server_limit_ended", server=run[0], source=source)
        else:
            self._log.event("server_limit", server=run[0], rate=rate, source=source)
