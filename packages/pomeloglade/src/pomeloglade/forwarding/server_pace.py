"""How long work takes at each backend server, relative to normal."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .backends import BackendServer
from .fleet_news import FleetNews, NewsTopic

Run = tuple[str, int]
"""A server's id and the start of its run, as in ``BackendServer.run``."""

NORMAL = 1.0
NORMAL_PERCENT = 100.0
MIN_RATIO = 0.25
MAX_RATIO = 8.0
"""Bounds of a ratio, so that one wrong figure neither draws all calls to a server nor
keeps them away from it for good."""

FRESH_SECONDS = 0.3
REPORTED_HALF_LIFE_SECONDS = 0.3
"""A reported figure counts fully while it is fresh; then its weight halves in each such
time. Phases in which a server is slow because it shares its machine last about 0.6 s,
so that half of them have ended at that age."""

REPORTED_MAX_AGE_SECONDS = 2.0
"""Age at which a reported figure, whose weight is below a fiftieth, is dropped."""

REPORTING_SECONDS = 10.0
"""Time for which a service counts as reporting its pace after the last report."""

SHARED_CHANGE = 0.1
"""An observation is told to the other instances if it differs by a larger fraction from
what they know."""

SHARED_ROWS_PER_SECOND = 4.0
"""Limit on the rows that an instance tells, so that figures that change many times a
second stay within the limit on control traffic."""

REPORTED_TOPIC = NewsTopic(
    "pace",
    max_age=REPORTED_MAX_AGE_SECONDS,
    repeat_for=0.25,
    max_rows=5_000,
    max_reported=10,
)
"""Reported figures. A row takes about 40 bytes, so that each instance receives less
than 1 KB of rows a second. A row that was lost is outdated soon."""

ESTIMATE_MAX_AGE_SECONDS = 30.0
"""Age at which an estimate is dropped, so that a server that got no calls because it
was slow is tried again."""

ESTIMATE_TOPIC = NewsTopic(
    "pace_estimate",
    max_age=ESTIMATE_MAX_AGE_SECONDS,
    repeat_for=1.0,
    max_rows=5_000,
    max_reported=5,
)
"""Estimates, which change slowly."""

ESTIMATE_WEIGHT = 0.03
"""Weight of the newest response in an estimate, which thus averages about 30 of them.
With 0.1, equal servers whose response times vary as much as their mean would seem to
differ by a quarter."""

MEAN_WEIGHT = 0.01
"""Weight of the newest response in the mean of a route or of a service."""

MIN_SAMPLES = 10
"""Number of responses from which on an estimate is used."""

DIFFERENCE = 1.25
"""The largest estimate of a service over the smallest one, above which they differ."""

DIFFERENCE_END = 1.15
"""The same, below which estimates that differed do so no longer."""

DIFFERENCE_SECONDS = 2.0
"""Time for which estimates must differ before they have an effect."""

DEFAULT_WORK_SECONDS = 0.05
"""Time of a response of a service that has not responded yet."""

MAX_RUNS = 5_000
MAX_ROUTES = 1_000


def bounded(ratio: float) -> float:
    """Return a ratio to normal within ``MIN_RATIO`` and ``MAX_RATIO``."""
    return min(MAX_RATIO, max(MIN_RATIO, ratio))


def reported_weight(age: float) -> float:
    """Return the weight of a reported figure of an age in seconds, from 0 to 1.

    >>> reported_weight(0.1), reported_weight(0.6), reported_weight(2.5)
    (1.0, 0.5, 0.0)
    """
    if age >= REPORTED_MAX_AGE_SECONDS:
        return 0.0
    return 0.5 ** (max(0.0, age - FRESH_SECONDS) / REPORTED_HALF_LIFE_SECONDS)


def blend(reported: float, age: float, estimate: float) -> float:
    """Return the ratio expected now from a reported figure and an estimate.

    >>> blend(2.5, 0.0, 1.0), blend(2.5, 0.6, 1.0)
    (2.5, 1.75)
    """
    weight = reported_weight(age)
    return bounded(weight * reported + (1.0 - weight) * estimate)


def differing_since(
    estimates: Iterable[float], since: float | None, now: float
) -> float | None:
    """Return since when a service's estimates differ, or ``None`` if they do not.

    ``since`` is the earlier result. The load pattern is one server that is slower than
    the others for minutes and does not report it.

    >>> differing_since([1.0, 1.3], None, 5.0)
    5.0
    >>> differing_since([1.0, 1.2], 5.0, 6.0)
    5.0
    >>> differing_since([1.0, 1.1], 5.0, 7.0)
    """
    values = list(estimates)
    if len(values) < 2:
        return None
    spread = max(values) / min(values)
    if spread > (DIFFERENCE if since is None else DIFFERENCE_END):
        return now if since is None else since
    return None


@dataclass(slots=True)
class _Mean:
    """A moving average; the first values count equally."""

    least_weight: float
    value: float = 0.0
    samples: int = 0

    def add(self, value: float) -> None:
        self.samples += 1
        weight = max(self.least_weight, 1.0 / self.samples)
        self.value += weight * (value - self.value)


@dataclass(frozen=True, slots=True)
class _Reported:
    ratio: float
    observed_at: float


@dataclass(slots=True)
class _Estimate:
    service: str
    mean: _Mean
    observed_at: float


class ServerPace:
    """Keeps for each server run how long work takes there, relative to normal.

    A server reports the figure itself with its responses. For services whose servers
    do not, it is estimated from response times. Other instances' figures count by
    their age like the own ones.

    Parameters
    ----------
    clock : IReactorTime
        Gives the age of figures.
    news : FleetNews, optional
        Shares figures with the other instances.
    server_by_id : callable
        Returns the registered server with an id, or ``None``. Figures that other
        instances tell about servers that are not registered are ignored.
    on_news : callable
        Called when there is a row for the other instances.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> server = BackendServer("server-1", "api", "10.0.0.1:80", "zone-a", 6)
    >>> pace = ServerPace(Clock())
    >>> pace.ratio(server.run)
    1.0
    >>> pace.record_reported(server, 250)
    >>> pace.ratio(server.run)
    2.5
    """

    def __init__(
        self,
        clock: IReactorTime,
        news: FleetNews | None = None,
        *,
        server_by_id: Callable[[str], BackendServer | None] = lambda server: None,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._news = news
        self._server_by_id = server_by_id
        self._on_news = on_news
        self._reported_by_run: dict[Run, _Reported] = {}
        self._shared_by_run: dict[Run, _Reported] = {}
        self._estimates_by_run: dict[Run, _Estimate] = {}
        self._shared_estimates_by_run: dict[Run, _Reported] = {}
        self._mean_by_route: dict[str, _Mean] = {}
        self._mean_by_service: dict[str, _Mean] = {}
        self._reported_at_by_service: dict[str, float] = {}
        self._differing_since_by_service: dict[str, float] = {}
        self._rows_left = SHARED_ROWS_PER_SECOND
        self._rows_counted_at = clock.seconds()
        if news is not None:
            news.add_topic(REPORTED_TOPIC, self._apply_reported)
            news.add_topic(ESTIMATE_TOPIC, self._apply_estimate)

    def ratio(self, run: Run) -> float:
        """Return how long work takes at a run, relative to normal.

        It is 1 where nothing is known, and higher at a slower server.
        """
        estimate = self._effective_estimate(run)
        reported = self._reported_by_run.get(run)
        if reported is None:
            return estimate
        age = self._clock.seconds() - reported.observed_at
        return blend(reported.ratio, age, estimate)

    def affects(self, service: str) -> bool:
        """Return whether pace is known for a service's servers."""
        reported_at = self._reported_at_by_service.get(service)
        now = self._clock.seconds()
        if reported_at is not None and now - reported_at <= REPORTING_SECONDS:
            return True
        return self._estimates_differ(service)

    def work_seconds(self, service: str) -> float:
        """Return the average time of a service's responses at normal pace."""
        mean = self._mean_by_service.get(service)
        return DEFAULT_WORK_SECONDS if mean is None else mean.value

    def slowest(self) -> float:
        """Return the highest ratio of a run that is known to be slow, or else 1."""
        runs = {*self._reported_by_run, *self._estimates_by_run}
        return max(map(self.ratio, runs), default=NORMAL)

    def describe(self, server: BackendServer) -> str:
        """Return a server's pace for the log line of a call, or an empty text."""
        if not self.affects(server.service):
            return ""
        return f"pace {self.ratio(server.run):.2f}"

    def record_reported(self, server: BackendServer, percent: float) -> None:
        """Record what a server's response says, in percent of normal."""
        now = self._clock.seconds()
        reported = _Reported(bounded(percent / NORMAL_PERCENT), now)
        self._keep_reported(server, reported)
        shared = self._shared_by_run.get(server.run)
        known = self._effective_estimate(server.run)
        if shared is not None:
            known = blend(shared.ratio, now - shared.observed_at, known)
        if self._share(REPORTED_TOPIC, server.run, known, reported.ratio):
            _put(self._shared_by_run, server.run, reported)

    def record_work(self, server: BackendServer, route: str, seconds: float) -> None:
        """Record the time of a response, without its wait at the server."""
        if seconds <= 0:
            return
        now = self._clock.seconds()
        mean = self._mean_by_route.get(route) or _Mean(MEAN_WEIGHT)
        mean.add(seconds)
        _put(self._mean_by_route, route, mean, MAX_ROUTES)
        of_service = self._mean_by_service.get(server.service) or _Mean(MEAN_WEIGHT)
        of_service.add(seconds / self.ratio(server.run))
        _put(self._mean_by_service, server.service, of_service, MAX_ROUTES)
        known = self._estimates_by_run.get(server.run)
        if known is None or now - known.observed_at > ESTIMATE_MAX_AGE_SECONDS:
            known = _Estimate(server.service, _Mean(ESTIMATE_WEIGHT), now)
        known.mean.add(bounded(seconds / mean.value))
        known.observed_at = now
        _put(self._estimates_by_run, server.run, known)
        self._update_difference(server.service)
        if known.mean.samples < MIN_SAMPLES:
            return
        estimate = _Reported(known.mean.value, now)
        shared = self._shared_estimates_by_run.get(server.run)
        shared_ratio = shared.ratio if shared is not None else NORMAL
        if self._share(ESTIMATE_TOPIC, server.run, shared_ratio, estimate.ratio):
            _put(self._shared_estimates_by_run, server.run, estimate)

    def _effective_estimate(self, run: Run) -> float:
        """Return the estimate of a run if its service's estimates differ, or 1."""
        estimate = self._estimates_by_run.get(run)
        if estimate is None or not self._usable(estimate):
            return NORMAL
        if not self._estimates_differ(estimate.service):
            return NORMAL
        return bounded(estimate.mean.value)

    def _usable(self, estimate: _Estimate) -> bool:
        age = self._clock.seconds() - estimate.observed_at
        return estimate.mean.samples >= MIN_SAMPLES and age <= ESTIMATE_MAX_AGE_SECONDS

    def _estimates_differ(self, service: str) -> bool:
        since = self._differing_since_by_service.get(service)
        return since is not None and self._clock.seconds() - since > DIFFERENCE_SECONDS

    def _update_difference(self, service: str) -> None:
        oldest = self._clock.seconds() - ESTIMATE_MAX_AGE_SECONDS
        while self._estimates_by_run:
            first, estimate = next(iter(self._estimates_by_run.items()))
            if estimate.observed_at >= oldest:
                break
            del self._estimates_by_run[first]
        estimates = [
            each.mean.value
            for each in self._estimates_by_run.values()
            if each.service == service and self._usable(each)
        ]
        known = self._differing_since_by_service.pop(service, None)
        since = differing_since(estimates, known, self._clock.seconds())
        if since is not None:
            self._differing_since_by_service[service] = since

    def _keep_reported(self, server: BackendServer, reported: _Reported) -> None:
        known = self._reported_by_run.get(server.run)
        if known is not None and known.observed_at > reported.observed_at:
            return
        _put(self._reported_by_run, server.run, reported)
        last = self._reported_at_by_service.get(server.service, float("-inf"))
        latest = max(last, reported.observed_at)
        _put(self._reported_at_by_service, server.service, latest)

    def _share(self, topic: NewsTopic, run: Run, known: float, ratio: float) -> bool:
        """Tell the other instances a ratio unless they know one that is close to it."""
        if self._news is None or abs(ratio - known) <= SHARED_CHANGE * known:
            return False
        now = self._clock.seconds()
        added = (now - self._rows_counted_at) * SHARED_ROWS_PER_SECOND
        self._rows_left = min(SHARED_ROWS_PER_SECOND, self._rows_left + added)
        self._rows_counted_at = now
        if self._rows_left < 1.0:
            return False
        self._rows_left -= 1.0
        percent = round(ratio * NORMAL_PERCENT)
        if self._news.put(topic.name, _key(run), percent):
            self._on_news()
        return True

    def _registered(self, key: str) -> BackendServer | None:
        """Return the server of a row's key, if that run is registered."""
        server_id, _, started_ms = key.rpartition("/")
        server = self._server_by_id(server_id)
        if server is None or str(server.started_ms) != started_ms:
            return None
        return server

    def _apply_reported(self, key: str, value: Any, age: float) -> None:
        server = self._registered(key)
        if server is None or not _is_percent(value):
            return
        observed_at = self._clock.seconds() - age
        reported = _Reported(bounded(value / NORMAL_PERCENT), observed_at)
        self._keep_reported(server, reported)
        _put(self._shared_by_run, server.run, reported)

    def _apply_estimate(self, key: str, value: Any, age: float) -> None:
        """Go on from the estimate of another instance, as its responses are others."""
        server = self._registered(key)
        if server is None or not _is_percent(value):
            return
        observed_at = self._clock.seconds() - age
        ratio = bounded(value / NORMAL_PERCENT)
        shared = _Reported(ratio, observed_at)
        _put(self._shared_estimates_by_run, server.run, shared)
        known = self._estimates_by_run.get(server.run)
        samples = MIN_SAMPLES if known is None else known.mean.samples
        mean = _Mean(ESTIMATE_WEIGHT, ratio, max(MIN_SAMPLES, samples))
        estimate = _Estimate(server.service, mean, observed_at)
        _put(self._estimates_by_run, server.run, estimate)
        self._update_difference(server.service)


def _key(run: Run) -> str:
    server, started_ms = run
    return f"{server}/{started_ms}"


def _is_percent(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _put(table: dict, key: Any, value: Any, limit: int = MAX_RUNS) -> None:
    """Put a value at the end of a table, and drop the first ones above the limit."""
    table.pop(key, None)
    table[key] = value
    while len(table) > limit:
        del table[next(iter(table))]
