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

ESTIMATE_WEIGHT = 0.015
"""Weight of the newest response in an estimate, which thus averages about 70 of them.
With 0.03 and ten responses, three equal servers with exponential response times
differed by a quarter in 4% of the time; with these constants, in 0.8%."""

MAX_SAMPLE = 3.0
"""Limit on the ratio of one response, as a few calls may take very long anywhere."""

MEAN_WEIGHT = 0.01
"""Weight of the newest response in the mean of a route or of a service."""

MIN_SAMPLES = 40
"""Number of responses from which on an estimate is used."""

MIN_ROUTE_SAMPLES = 10
"""Number of responses of a route from which on others are compared with their mean."""

FIRST_BATCH = 5
LATER_BATCH = 20
"""Numbers of responses that an instance adds to the estimate of all instances at once,
before the estimate has ``MIN_SAMPLES`` and after that. One instance of many would need
a minute for so many responses of its own."""

DIFFERENCE = 1.25
"""The largest estimate of a service over the smallest one, above which they differ."""

DIFFERENCE_END = 1.15
"""The same, below which estimates that differed do so no longer."""

DIFFERENCE_SECONDS = 4.0
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


def changed(known: float, ratio: float) -> bool:
    """Return whether a ratio differs from a known one enough to be told.

    >>> changed(1.0, 1.05), changed(2.5, 1.0)
    (False, True)
    """
    return abs(ratio - known) > SHARED_CHANGE * known


@dataclass(slots=True)
class _Mean:
    """A moving average; the first values count equally."""

    least_weight: float
    value: float = 0.0
    samples: int = 0

    def add(self, value: float, count: int = 1) -> None:
        self.samples += count
        least_weight = 1.0 - (1.0 - self.least_weight) ** count
        weight = max(least_weight, count / self.samples)
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
        self._unadded_by_run: dict[Run, _Mean] = {}
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
        return self._reports(service) or self._estimates_differ(service)

    def work_seconds(self, service: str) -> float:
        """Return the average time of a service's responses at normal pace."""
        mean = self._mean_by_service.get(service)
        return DEFAULT_WORK_SECONDS if mean is None else mean.value

    def slowest(self) -> float:
        """Return the highest ratio of all known runs, or 1 if none is slow."""
        runs = {*self._reported_by_run, *self._estimates_by_run}
        return max([NORMAL, *map(self.ratio, runs)])

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
        percent = round(reported.ratio * NORMAL_PERCENT)
        if changed(known, reported.ratio) and self._share(
            REPORTED_TOPIC, server.run, percent
        ):
            _put(self._shared_by_run, server.run, reported)

    def record_work(self, server: BackendServer, route: str, seconds: float) -> None:
        """Record the time of a response, without its wait at the server."""
        if seconds <= 0:
            return
        mean = self._mean_by_route.get(route) or _Mean(MEAN_WEIGHT)
        mean.add(seconds)
        _put(self._mean_by_route, route, mean, MAX_ROUTES)
        of_service = self._mean_by_service.get(server.service) or _Mean(MEAN_WEIGHT)
        of_service.add(seconds / self.ratio(server.run))
        _put(self._mean_by_service, server.service, of_service, MAX_ROUTES)
        if mean.samples >= MIN_ROUTE_SAMPLES and not self._reports(server.service):
            self._add_sample(server, min(MAX_SAMPLE, bounded(seconds / mean.value)))

    def _add_sample(self, server: BackendServer, ratio: float) -> None:
        """Add the ratio of a response to a batch, and a full batch to the estimate."""
        now = self._clock.seconds()
        known = self._estimates_by_run.get(server.run)
        if known is None or now - known.observed_at > ESTIMATE_MAX_AGE_SECONDS:
            known = _Estimate(server.service, _Mean(ESTIMATE_WEIGHT), now)
        batch = self._unadded_by_run.pop(server.run, None) or _Mean(0.0)
        batch.add(ratio)
        is_first = known.mean.samples < MIN_SAMPLES
        if batch.samples < (FIRST_BATCH if is_first else LATER_BATCH):
            _put(self._unadded_by_run, server.run, batch)
            return
        known.mean.add(batch.value, batch.samples)
        known.observed_at = now
        _put(self._estimates_by_run, server.run, known)
        self._update_difference(server.service)
        value = [round(known.mean.value * NORMAL_PERCENT), known.mean.samples]
        self._share(ESTIMATE_TOPIC, server.run, value)

    def _reports(self, service: str) -> bool:
        reported_at = self._reported_at_by_service.get(service)
        if reported_at is None:
            return False
        return self._clock.seconds() - reported_at <= REPORTING_SECONDS

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

    def _share(self, topic: NewsTopic, run: Run, value: Any) -> bool:
        """Tell the other instances a value, unless too many rows were told lately."""
        if self._news is None:
            return False
        now = self._clock.seconds()
        added = (now - self._rows_counted_at) * SHARED_ROWS_PER_SECOND
        self._rows_left = min(SHARED_ROWS_PER_SECOND, self._rows_left + added)
        self._rows_counted_at = now
        if self._rows_left < 1.0:
            return False
        self._rows_left -= 1.0
        if self._news.put(topic.name, _key(run), value):
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
        if server is None or not _is_count(value):
            return
        observed_at = self._clock.seconds() - age
        reported = _Reported(bounded(value / NORMAL_PERCENT), observed_at)
        self._keep_reported(server, reported)
        _put(self._shared_by_run, server.run, reported)

    def _apply_estimate(self, key: str, value: Any, age: float) -> None:
        """Go on from the estimate of another instance.

        Responses that were not added yet are added to this one.
        """
        server = self._registered(key)
        is_pair = isinstance(value, list) and len(value) == 2
        if server is None or not is_pair or not all(map(_is_count, value)):
            return
        observed_at = self._clock.seconds() - age
        ratio = bounded(value[0] / NORMAL_PERCENT)
        mean = _Mean(ESTIMATE_WEIGHT, ratio, value[1])
        estimate = _Estimate(server.service, mean, observed_at)
        _put(self._estimates_by_run, server.run, estimate)
        self._update_difference(server.service)


def _key(run: Run) -> str:
    server, started_ms = run
    return f"{server}/{started_ms}"


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _put(table: dict, key: Any, value: Any, limit: int = MAX_RUNS) -> None:
    """Put a value at the end of a table, and drop the first ones above the limit."""
    table.pop(key, None)
    table[key] = value
    while len(table) > limit:
        del table[next(iter(table))]
