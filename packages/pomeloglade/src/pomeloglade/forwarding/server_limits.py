"""Limits on the requests to a backend server, which all instances keep together."""

from collections.abc import Callable, Iterable, Mapping
from random import Random

from twisted.internet.interfaces import IReactorTime

from .cold_rate import ColdLimit
from .event_log import EventLog
from .named_limits import NamedLimits, ReportedLimits, ServerRun
from .report_scope import ReportScope
from .request_bucket import RequestBucket
from .tally import Tally, add_tallies

BURST_SECONDS = 0.5
"""Time in which unused requests of a named limit are saved up; at least one can be."""

ASK_SECONDS = 0.05
"""Time for which an instance that was not let through does not ask again."""

ASKS_INTERVAL_SECONDS = 0.25
"""Interval of reports of the demand; requests are reported at once."""

MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 5.0

MAX_COLD_RUNS = 1_000
"""Limit on the server runs that are kept as cold."""

NO_SENDS = Tally(0, 0)


class ServerLimits:
    """Keeps the requests of all instances within the limits of each server.

    The rate of a server run is the lower of the limit that it names (``NamedLimits``)
    and its rate while it is cold (``ColdServers``). Either may end without the other.

    The instances share one bucket for each limited server: it fills at the server's
    rate, and each request that any of them sends, as reports tell, takes one. No
    instance has a part of its own, since a limit may be far smaller than their number
    and their callers may come to a few of them. For the moment until its report
    arrives, others don't know of a request. So that not all instances with waiting
    calls send at once when the bucket has one request again, each is let through with
    a probability that lets some one of them through in that time. What was sent too
    much is made up for afterwards.

    An instance that is not covered by the others' reports keeps to an even part of
    each limit, and a group of instances to its parts.

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
        self._now = clock.seconds
        self._random = random
        self._named = NamedLimits(clock, log)
        self._cold_by_run: dict[ServerRun, ColdLimit] = {}
        self._buckets_by_run: dict[ServerRun, RequestBucket] = {}
        self._run_by_server: dict[str, ServerRun] = {}
        self._unreported_by_server: dict[str, Tally] = {}
        self._asks_reported_at = float("-inf")
        self._was_alone = True
        self.coverage: Callable[[], tuple[int, int]] = lambda: (1, 1)

    def count(self) -> int:
        """Return the number of server runs that name a limit."""
        return self._named.count()

    def count_cold(self) -> int:
        """Return the number of cold server runs."""
        return sum(map(self.cold, list(self._cold_by_run)))

    def cold(self, run: ServerRun) -> bool:
        """Return whether a server run is cold."""
        return self._cold_limit(run) is not None

    def limited(self, run: ServerRun) -> bool:
        """Return whether a server run names a limit or is cold."""
        return self._whole_rate(run) is not None

    def rate(self, run: ServerRun) -> float:
        """Return the requests a second that this instance and others may send."""
        rate = self._whole_rate(run)
        return float("inf") if rate is None else rate * self._part(run)

    def has_room(self, run: ServerRun) -> bool:
        """Return whether a request may be sent, as far as this instance knows."""
        return self._in_force(run) is None or self._level(run) >= 1.0

    def try_take(self, run: ServerRun) -> bool:
        """Count a request to a server, or return ``False`` if it must not be sent now.

        Returns ``True`` for a server without a limit.
        """
        bucket = self._in_force(run)
        if bucket is None:
            return True
        now = self._now()
        has_room = self._level(run) >= 1.0
        chance = self._chance(run, bucket)
        if now - bucket.asked_at >= ASK_SECONDS or chance >= 1.0:
            bucket.asked_at = now
            bucket.add_own_ask(now)
            add_tallies(self._unreported_by_server, {run[0]: Tally(0, 1)})
            if has_room and self._random.random() < self._chance(run, bucket):
                self._take(run, bucket)
                return True
        return False

    def record_send(self, run: ServerRun) -> None:
        """Count a request that is sent whether the limit has room or not."""
        bucket = self._in_force(run)
        if bucket is not None:
            self._level(run)
            self._take(run, bucket)

    def retry_after(self, runs: Iterable[ServerRun]) -> float:
        """Return in how many seconds limited servers may take a further request.

        By then the servers have taken as many as are now asked for in the time between
        two that they take.
        """
        runs = [run for run in runs if self._in_force(run) is not None]
        if not runs:
            return 0.0
        now = self._now()
        rate = sum(map(self.rate, runs))
        soonest = min((1.0 - self._level(run)) / self.rate(run) for run in runs)
        demand = max(self._buckets_by_run[run].demand(now) for run in runs)
        wait = max(soonest, demand / rate / rate, MIN_RETRY_AFTER_SECONDS)
        if all(map(self.cold, runs)):
            wait = self._cold_wait(runs, wait, demand / rate)
        return round(min(wait, MAX_RETRY_AFTER_SECONDS), 3)

    def record_answer(self, run: ServerRun, rate: float | None, sent_at: float) -> bool:
        """Record the limit in an answer to a request sent at ``sent_at``, if any.

        Answers on different connections may overtake each other. Returns whether this
        is news for the other instances.
        """
        news = self._named.record_answer(run, rate, sent_at)
        if news:
            self._in_force(run)
        return news

    def set_cold(self, run: ServerRun, limit: ColdLimit | None) -> None:
        """Limit a server run until its time as a cold server ends; ``None`` ends it."""
        now = self._now()
        for each, known in list(self._cold_by_run.items()):
            if known.until <= now:
                del self._cold_by_run[each]
        self._cold_by_run.pop(run, None)
        if limit is not None and limit.until > now:
            while len(self._cold_by_run) >= MAX_COLD_RUNS:
                del self._cold_by_run[next(iter(self._cold_by_run))]
            self._cold_by_run[run] = limit
        self._in_force(run)

    def apply_reported(
        self, limits: ReportedLimits, scope: ReportScope, source: str
    ) -> None:
        """Learn the limits, and ends of limits, that another instance reported."""
        self._named.apply_reported(limits, scope, source)
        for server, started_ms, _, _ in limits:
            self._in_force((server, started_ms))

    def apply_sends(self, sends_by_server: Mapping[str, Tally]) -> None:
        """Count the requests that other instances sent to limited servers."""
        now = self._now()
        for server, run in self._run_by_server.items():
            bucket = self._in_force(run)
            if bucket is None:
                continue
            bucket.record_report(now)
            sends, asks = sends_by_server.get(server, NO_SENDS)
            if sends or asks:
                bucket.add_reported_asks(asks, now)
                self._level(run)
                bucket.take(sends, self.rate(run))

    def take_unreported(self) -> dict[str, Tally]:
        """Return this instance's requests, and tries, since the last such call."""
        now = self._now()
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
        """Return the named limits for the next report of a scope."""
        return self._named.take_due(widest)

    def everything(self) -> ReportedLimits:
        """Return the named limits for an instance that may have missed some."""
        return self._named.everything()

    def _cold_limit(self, run: ServerRun) -> ColdLimit | None:
        limit = self._cold_by_run.get(run)
        if limit is None or limit.until <= self._now():
            return None
        return limit

    def _whole_rate(self, run: ServerRun) -> float | None:
        """Return the limit that all instances share, or ``None``."""
        named, cold = self._named.rate(run), self._cold_limit(run)
        if cold is None:
            return named
        return cold.rate if named is None else min(named, cold.rate)

    def _in_force(self, run: ServerRun) -> RequestBucket | None:
        """Return the bucket of a limited server; the one of a new limit is empty."""
        limited = self._whole_rate(run) is not None
        bucket = self._buckets_by_run.get(run)
        if limited and bucket is None:
            bucket = RequestBucket(self._now(), self._first_level())
            self._buckets_by_run[run] = bucket
            self._run_by_server[run[0]] = run
            self._drop_ended()
        elif bucket is not None and not limited:
            del self._buckets_by_run[run]
            bucket = None
        return bucket

    def _drop_ended(self) -> None:
        """Drop the buckets of limits that have ended without a request since then."""
        for run in list(self._buckets_by_run):
            if self._whole_rate(run) is None:
                del self._buckets_by_run[run]
        for server, run in list(self._run_by_server.items()):
            if run not in self._buckets_by_run:
                del self._run_by_server[server]

    def _part(self, run: ServerRun) -> float:
        """Return the part of a limit that the covered instances share.

        For a cold server, which crashes within a second of too many requests, it is
        this instance's own part before the others count as not covered.
        """
        covered, instances = self.coverage()
        bucket = self._buckets_by_run.get(run)
        if bucket is not None and self.cold(run) and bucket.silent(self._now()):
            covered = 1
        return min(1.0, covered / max(1, instances))

    def _level(self, run: ServerRun) -> float:
        """Return how many requests a bucket has, after filling it."""
        self._check_coverage()
        covered, instances = self.coverage()
        rate = self.rate(run)
        burst = BURST_SECONDS * rate
        cold = self._cold_limit(run)
        if cold is not None:
            burst = min(burst, cold.burst * self._part(run))
        level = self._buckets_by_run[run].fill(
            self._now(),
            rate=rate,
            burst=burst,
            lapsing=cold is not None and covered == 1 < instances,
        )
        # Sums of fractions may fall short of the request by a rounding error.
        return level + 1e-9

    def _check_coverage(self) -> None:
        """Empty the buckets when this instance is left alone, or no longer is.

        What was saved up belongs to all instances, each of which may be left alone.
        """
        covered, _ = self.coverage()
        alone = covered == 1
        if alone is not self._was_alone:
            self._was_alone = alone
            for run, each in self._buckets_by_run.items():
                # A bucket that was not asked for a while is filled only now.
                rate = self._whole_rate(run) or 0.0
                each.fill(self._now(), rate=rate, burst=1.0)
                each.empty(self._first_level())

    def _first_level(self) -> float:
        """Return the level to begin with.

        Instances that don't hear of each other are spread over the time in which each
        may send one request.
        """
        covered, instances = self.coverage()
        return self._random.random() if covered == 1 < instances else 0.0

    def _chance(self, run: ServerRun, bucket: RequestBucket) -> float:
        """Return the probability with which a request is let through.

        An instance that has its own part of the limit sends all of that.
        """
        covered, instances = self.coverage()
        if covered == 1 < instances:
            return 1.0
        return bucket.chance(self._whole_rate(run), covered, self._now())

    def _cold_wait(self, runs: list[ServerRun], soonest: float, excess: float) -> float:
        """Return the seconds until cold servers take a call that is refused now.

        ``excess`` is the demand relative to the rate. What is refused within a second
        takes so long to serve, and returns are spread over this time. A server that
        is no longer cold takes more at once.
        """
        wait = soonest + self._random.random() * max(0.0, excess - 1.0)
        now = self._now()
        warm_in = min(self._cold_by_run[run].until - now for run in runs)
        return max(min(wait, warm_in), MIN_RETRY_AFTER_SECONDS)

    def _take(self, run: ServerRun, bucket: RequestBucket) -> None:
        bucket.take(1, self.rate(run))
        add_tallies(self._unreported_by_server, {run[0]: Tally(1, 0)})
