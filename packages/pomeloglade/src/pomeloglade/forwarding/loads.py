"""The calls that all instances together have running at each backend server."""

from collections.abc import Iterable
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .calls import EngineReport, ServerLoad

PEER_LOAD_MAX_AGE_SECONDS = 3.0
"""Age at which a peer's report is dropped. Most calls are shorter, and an instance
with running calls reports more often."""

EXPIRY_CHECK_SECONDS = 0.25
"""Interval of the check for old reports."""

ENGINE_REPORT_AGE_SECONDS = 0.9
"""Age of the figures in an engine's report when it is sent."""

ENGINE_REPORT_MAX_AGE_SECONDS = 3.0
"""Age at which an engine's report counts no more. Until then the part of its requests
that counts falls evenly, as streams of about this length end."""

LOCAL_PREFILL_PREFIX = "reading/"
"""Prefix of the keys that count local prefills at decode engines. With it they are
reported to peers in the same way as calls."""


@dataclass(frozen=True, slots=True)
class ServerCalls:
    """Running calls at a backend server, and the tokens that they hold there."""

    calls: int = 0
    tokens: int = 0

    def plus(self, other: "ServerCalls") -> "ServerCalls":
        """Return the sum of both."""
        return ServerCalls(self.calls + other.calls, self.tokens + other.tokens)

    def minus(self, other: "ServerCalls") -> "ServerCalls":
        """Return the difference."""
        return ServerCalls(self.calls - other.calls, self.tokens - other.tokens)


NO_CALLS = ServerCalls()


def still_running(reported: ServerCalls, age: float) -> ServerCalls:
    """Return which of an engine's reported calls run still, after ``age`` seconds.

    >>> still_running(ServerCalls(12, 60_000), 1.5)
    ServerCalls(calls=6, tokens=30000)
    """
    part = max(0.0, 1.0 - age / ENGINE_REPORT_MAX_AGE_SECONDS)
    return ServerCalls(round(part * reported.calls), round(part * reported.tokens))


class Loads:
    """Adds this instance's calls to those that the other instances report.

    >>> from twisted.internet.task import Clock
    >>> loads = Loads(Clock())
    >>> loads.begin("engine-1", 5200)
    >>> loads.apply_report("entry-b-1", {"engine-1": ServerCalls(2, 9000)})
    >>> loads.total("engine-1")
    ServerCalls(calls=3, tokens=14200)
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._own_by_server: dict[str, ServerCalls] = {}
        self._peers_by_instance: dict[str, tuple[float, dict[str, ServerCalls]]] = {}
        # Sums over all peers, kept up to date: adding them up on each look-up is too
        # slow in a fleet of many instances.
        self._peers_by_server: dict[str, ServerCalls] = {}
        self._last_expiry_check = clock.seconds()
        self._reported_by_server: dict[str, tuple[float, ServerLoad]] = {}
        self._engine_reports_by_server: dict[str, tuple[float, ServerCalls]] = {}

    def begin(self, server: str, tokens: int) -> None:
        """Count a call that is placed at a server."""
        known = self._own_by_server.get(server, NO_CALLS)
        self._own_by_server[server] = known.plus(ServerCalls(1, tokens))

    def end(self, server: str, tokens: int) -> None:
        """Remove a call counted by ``begin``."""
        left = self._own_by_server[server].plus(ServerCalls(-1, -tokens))
        if left.calls:
            self._own_by_server[server] = left
        else:
            del self._own_by_server[server]

    def own(self) -> dict[str, ServerCalls]:
        """Return this instance's calls by backend server."""
        return dict(self._own_by_server)

    def apply_report(
        self, instance: str, calls_by_server: dict[str, ServerCalls]
    ) -> None:
        """Replace the calls of another instance, by backend server."""
        self.remove_instance(instance)
        self._peers_by_instance[instance] = (self._clock.seconds(), calls_by_server)
        for server, calls in calls_by_server.items():
            known = self._peers_by_server.get(server, NO_CALLS)
            self._peers_by_server[server] = known.plus(calls)

    def reported_by(self, instance: str) -> dict[str, ServerCalls]:
        """Return what another instance reported last, by backend server."""
        return self._peers_by_instance.get(instance, (0.0, {}))[1]

    def sum_with(self, instances: Iterable[str]) -> dict[str, ServerCalls]:
        """Return the calls of this instance and of some others, by backend server."""
        sums = dict(self._own_by_server)
        for instance in instances:
            for server, calls in self.reported_by(instance).items():
                sums[server] = sums.get(server, NO_CALLS).plus(calls)
        return sums

    def sum_without(self, instance: str) -> dict[str, ServerCalls]:
        """Return the calls of all instances but one, by backend server."""
        sums = dict(self._peers_by_server)
        for server, calls in self._own_by_server.items():
            sums[server] = sums.get(server, NO_CALLS).plus(calls)
        for server, calls in self.reported_by(instance).items():
            sums[server] = sums.get(server, NO_CALLS).minus(calls)
        return {server: calls for server, calls in sums.items() if calls != NO_CALLS}

    def remove_instance(self, instance: str) -> None:
        """Drop the calls of an instance that has left."""
        _, calls_by_server = self._peers_by_instance.pop(instance, (0.0, {}))
        for server, calls in calls_by_server.items():
            known = self._peers_by_server.pop(server, NO_CALLS)
            left = known.minus(calls)
            if left != NO_CALLS:
                self._peers_by_server[server] = left

    def record_reported_load(self, server: str, load: ServerLoad) -> None:
        """Record the load that a backend server reported with an answer just now."""
        self._reported_by_server[server] = (self._clock.seconds(), load)

    def record_engine_report(self, server: str, report: EngineReport) -> None:
        """Record the calls in a report that an engine has sent just now, if any."""
        if report.running is None:
            return
        reported = ServerCalls(
            report.running + (report.waiting or 0), report.kv_used or 0
        )
        observed_at = self._clock.seconds() - ENGINE_REPORT_AGE_SECONDS
        self._engine_reports_by_server[server] = (observed_at, reported)

    def engine_calls(self, server: str) -> ServerCalls:
        """Return the calls at an engine, at least those of its last report.

        The report counts calls of which this instance does not know, such as those of
        an instance that ended or is cut off.
        """
        known = self.total(server)
        if server not in self._engine_reports_by_server:
            return known
        observed_at, reported = self._engine_reports_by_server[server]
        age = self._clock.seconds() - observed_at
        if age >= ENGINE_REPORT_MAX_AGE_SECONDS:
            del self._engine_reports_by_server[server]
            return known
        least = still_running(reported, age)
        return ServerCalls(
            max(known.calls, least.calls), max(known.tokens, least.tokens)
        )

    def reports_pace(self, server: str) -> bool:
        """Return whether a backend server last reported its load with its pace."""
        reported = self._reported_by_server.get(server)
        return reported is not None and reported[1].pace is not None

    def total(self, server: str) -> ServerCalls:
        """Return the calls of all instances at a backend server, with their tokens."""
        self._expire()
        own = self._own_by_server.get(server, NO_CALLS)
        return own.plus(self._peers_by_server.get(server, NO_CALLS))

    def _expire(self) -> None:
        """Drop reports older than ``PEER_LOAD_MAX_AGE_SECONDS``."""
        now = self._clock.seconds()
        if now - self._last_expiry_check < EXPIRY_CHECK_SECONDS:
            return
        self._last_expiry_check = now
        oldest = now - PEER_LOAD_MAX_AGE_SECONDS
        for instance, (reported_at, _) in list(self._peers_by_instance.items()):
            if reported_at < oldest:
                self.remove_instance(instance)

    def begin_local_prefill(self, server: str, tokens: int) -> None:
        """Count a prompt that a decode engine prefills itself."""
        self.begin(LOCAL_PREFILL_PREFIX + server, tokens)

    def end_local_prefill(self, server: str, tokens: int) -> None:
        """Remove a prompt counted by ``begin_local_prefill``."""
        self.end(LOCAL_PREFILL_PREFIX + server, tokens)

    def local_prefills(self, server: str) -> ServerCalls:
        """Return the local prefills of all instances at a decode engine."""
        return self.total(LOCAL_PREFILL_PREFIX + server)

    def calls(self, server: str, max_age: float) -> int:
        """Return the number of calls at a backend server.

        The load that the server reported itself counts instead if it is higher and
        at most ``max_age`` seconds old.
        """
        calls = self.total(server).calls
        reported = self._reported_by_server.get(server)
        if reported is None or self._clock.seconds() - reported[0] > max_age:
            return calls
        return max(calls, reported[1].running + reported[1].waiting)
