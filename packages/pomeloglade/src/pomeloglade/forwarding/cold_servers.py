"""Backend servers that are cold, as told by them or seen by some instance."""

import enum
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .backends import Backends, BackendServer
from .cold_rate import ColdBound, ColdLimit
from .deployment import Deployment, Service
from .event_log import EventLog
from .fleet_news import FleetNews, NewsTopic
from .named_limits import ServerRun
from .server_limits import ServerLimits

MAX_COLD_SECONDS = 60.0
"""Longest time as a cold server that is believed at once."""

MAX_RUNS = 2_000
"""Limit on the server runs of which it is remembered what they registered."""

STORE_LAG_SECONDS = 4.0
"""Time after which a change of the store has reached all instances: they are up to 3 s
apart. Until then, a registration may be one that another instance has told of."""

SAME_END_SECONDS = 0.5
"""Difference of two ends up to which an answer tells nothing new. Each answer of a cold
server may name the time left, and not all of them are worth a report."""

COLD_COST = 1.5
"""Placement cost of a cold server relative to a warm one. It works slower, and is
chosen somewhat less often than it could take calls when the whole service is cold."""

COLD_COST_BESIDE_WARM = 3.0
"""The same while other servers of the service are warm, which finish calls sooner."""

COLD_TOPIC = NewsTopic(
    "cold", max_age=MAX_COLD_SECONDS, repeat_for=2.0, max_rows=1_000, max_reported=60
)
"""Rows by source and server run, each with the seconds left when it was observed."""


class ColdSource(enum.Enum):
    """How a cold server is known."""

    REGISTRATION = "registration"
    ANSWER = "answer"
    START = "start"


class ColdServers:
    """Decides which server runs are cold, and tells ``ServerLimits`` and the others.

    A run is cold while one of its sources says so: what it registered, what it said in
    an answer, or its start while this instance was running. Each source has its own
    end, which a later statement of the same source replaces. What a registration says
    is as old as the registration, so reading it again changes nothing.

    The store's changes reach instances up to some seconds apart. The first one that
    reads of a cold server therefore tells the others by ``FleetNews``, as does the one
    that gets an answer. What this instance read when it started is not told: it may be
    of any age.

    Parameters
    ----------
    deployment : callable
        Returns the configuration, or ``None`` before the first one is known.
    bound : ColdBound
        What the platform allows for cold servers.

    Attributes
    ----------
    on_news : callable
        Called when the other instances should get a report soon.

    Examples
    --------
    A server that registers as cold is limited to the rate of its service.

    >>> from random import Random
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> log = EventLog(clock, 2)
    >>> limits = ServerLimits(clock, log, Random(1))
    >>> backends = Backends(clock, lambda server: None)
    >>> service = Service("api", 1, cold_per_second=40.0)
    >>> deployment = Deployment(1, (), (service,), ())
    >>> news = FleetNews(clock)
    >>> cold = ColdServers(clock, backends, limits, news, log, lambda: deployment)
    >>> server = BackendServer("a", "api", "10.0.0.1:80", "b", 6, cold_seconds=5.0)
    >>> backends.replace_all([server], lenient=False)
    >>> limits.cold(server.run), limits.rate(server.run)
    (True, 40.0)
    >>> clock.advance(5.0)
    >>> limits.cold(server.run)
    False
    """

    def __init__(
        self,
        clock: IReactorTime,
        backends: Backends,
        limits: ServerLimits,
        news: FleetNews,
        log: EventLog,
        deployment: Callable[[], Deployment | None],
        bound: ColdBound | None = None,
    ) -> None:
        self._clock = clock
        self._backends = backends
        self._limits = limits
        self._news = news
        self._log = log
        self._deployment = deployment
        self._bound = bound or ColdBound()
        self._ends_by_run: dict[ServerRun, dict[ColdSource, float]] = {}
        self._registered_by_run: dict[ServerRun, list[float]] = {}
        self._starts_by_run: dict[ServerRun, float] = {}
        self._known_cold: dict[ServerRun, ColdLimit] = {}
        self._timers_by_run: dict[ServerRun, Any] = {}
        self._applied_deployment: Deployment | None = None
        self.on_news: Callable[[], None] = lambda: None
        backends.on_registered = self.record_registrations
        news.add_topic(COLD_TOPIC, self._apply_row)

    def record_registrations(
        self, servers: Iterable[BackendServer], *, at_start: bool, restored: bool
    ) -> None:
        """Learn from registrations that were read from the store.

        ``at_start`` are those of this instance's first read, whose servers may have run
        for long. ``restored`` ones may be older than what is known: a value that the
        run registered before does not count again.
        """
        for server in servers:
            if not server.draining:
                self._record_registration(server, at_start, restored)

    def record_answer(self, server: BackendServer, seconds: float) -> None:
        """Learn from an answer for how many seconds the server stays cold, maybe 0."""
        seconds = min(seconds, MAX_COLD_SECONDS)
        now = self._clock.seconds()
        known = self._ends_by_run.get(server.run, {}).get(ColdSource.ANSWER, now)
        ends_now = seconds <= 0 < known - now
        if ends_now or abs(now + seconds - max(known, now)) > SAME_END_SECONDS:
            self._observe(server.run, ColdSource.ANSWER, seconds)

    def refresh(self) -> None:
        """Apply a new configuration, if there is one, to the known runs."""
        if self._deployment() is self._applied_deployment:
            return
        self._applied_deployment = self._deployment()
        for run in list(self._starts_by_run):
            self._observe_start(run)
        for run in list(self._ends_by_run):
            self._update(run, None)

    def _record_registration(
        self, server: BackendServer, at_start: bool, restored: bool
    ) -> None:
        run = server.run
        seen = self._registered_by_run.get(run)
        if seen is None:
            while len(self._registered_by_run) >= MAX_RUNS:
                del self._registered_by_run[next(iter(self._registered_by_run))]
            seen = self._registered_by_run[run] = []
            if not at_start:
                self._starts_by_run[run] = self._clock.seconds()
                self._observe_start(run)
        value = server.cold_seconds
        if (seen and seen[-1] == value) or (restored and value in seen):
            # News may have come before the registration, which names the service.
            self._update(run, None)
            return
        known = bool(seen)
        # A few values are enough to recognize those of an older copy of the store.
        seen[:] = [*(each for each in seen[-7:] if each != value), value]
        if self._told_by_others(run, value):
            self._update(run, None)
        elif value > 0 or known:
            self._observe(run, ColdSource.REGISTRATION, value, told=not at_start)
        else:
            self._update(run, None)

    def _told_by_others(self, run: ServerRun, seconds: float) -> bool:
        """Return whether another instance has just read the same registration."""
        key = _row_key(run, ColdSource.REGISTRATION)
        row = self._news.rows(COLD_TOPIC.name).get(key)
        return (
            row is not None
            and row.value == _row_value(seconds)
            and self._clock.seconds() - row.observed_at <= STORE_LAG_SECONDS
        )

    def _observe_start(self, run: ServerRun) -> None:
        """Count the time from a start on, once the service's configuration is known."""
        service = self._service(run)
        if service is None:
            return
        started = self._starts_by_run.pop(run)
        if ColdSource.START in self._ends_by_run.get(run, {}):
            return
        seconds = service.cold_start_seconds - (self._clock.seconds() - started)
        if seconds > 0:
            self._observe(run, ColdSource.START, seconds)

    def _observe(
        self, run: ServerRun, source: ColdSource, seconds: float, *, told: bool = True
    ) -> None:
        seconds = min(max(seconds, 0.0), MAX_COLD_SECONDS)
        self._set_end(run, source, seconds, source.value)
        key, value = _row_key(run, source), _row_value(seconds)
        if told and self._news.put(COLD_TOPIC.name, key, value):
            self.on_news()

    def _apply_row(self, key: str, value: Any, age: float) -> None:
        """Learn what another instance observed."""
        source, _, rest = key.partition(" ")
        started, _, server = rest.partition(" ")
        try:
            source, run = ColdSource(source), (server, int(started))
            seconds = min(max(float(value), 0.0), MAX_COLD_SECONDS)
        except (ValueError, TypeError):
            # An instance of another version has other rows.
            return
        self._set_end(run, source, seconds - age, "report")

    def _set_end(
        self, run: ServerRun, source: ColdSource, seconds: float, log_source: str
    ) -> None:
        now = self._clock.seconds()
        for each, ends in list(self._ends_by_run.items()):
            if max(ends.values()) <= now - MAX_COLD_SECONDS:
                del self._ends_by_run[each]
        while len(self._ends_by_run) >= MAX_RUNS:
            del self._ends_by_run[next(iter(self._ends_by_run))]
        self._ends_by_run.setdefault(run, {})[source] = now + seconds
        self._update(run, log_source)

    def _service(self, run: ServerRun) -> Service | None:
        deployment, server = self._deployment(), self._backends.get(run[0])
        if deployment is None or server is None or server.run != run:
            return None
        return deployment.services_by_name.get(server.service)

    def _update(self, run: ServerRun, source: str | None) -> None:
        """Set or end the limit of a run, by what all sources say."""
        now = self._clock.seconds()
        until = max(self._ends_by_run.get(run, {}).values(), default=now)
        service = self._service(run)
        limit = None
        if until > now and service is not None and service.cold_per_second > 0:
            per_second = service.cold_per_second
            limit = ColdLimit(
                self._bound.rate(per_second), self._bound.burst(per_second), until
            )
        known = self._known_cold.get(run)
        if limit == known:
            return
        self._limits.set_cold(run, limit)
        timer = self._timers_by_run.pop(run, None)
        if timer is not None and timer.active():
            timer.cancel()
        if limit is None:
            del self._known_cold[run]
            self._log.event("server_warm", server=run[0], source=source or "time")
            return
        self._known_cold[run] = limit
        self._timers_by_run[run] = self._clock.callLater(
            until - now, self._update, run, "time"
        )
        if known is None:
            self._log.event(
                "server_cold",
                server=run[0],
                rate=limit.rate,
                seconds=round(until - now, 3),
                source=source or "configuration",
            )


def _row_key(run: ServerRun, source: ColdSource) -> str:
    return f"{source.value} {run[1]} {run[0]}"


def _row_value(seconds: float) -> float:
    return round(min(seconds, MAX_COLD_SECONDS), 3)


def cold_cost(server: BackendServer, backends: Backends, limits: ServerLimits) -> float:
    """Return the factor of a server's placement cost, 1 unless it is cold."""
    if not limits.cold(server.run):
        return 1.0
    servers = backends.serving(server.service, server.stage)
    all_cold = all(limits.cold(each.run) for each in servers)
    return COLD_COST if all_cold else COLD_COST_BESIDE_WARM


def limited_reason(runs: Iterable[ServerRun], limits: ServerLimits) -> str:
    """Return the reason of a refusal by the limits of all servers of a service."""
    return "servers_cold" if all(map(limits.cold, runs)) else "servers_limited"
