"""Whether this instance has a way to the servers of each service."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall, IReactorTime

from .backends import Backends, BackendServer
from .event_log import EventLog

MIN_UNREACHABLE = 3
"""Servers of a service that must fail one after the other before it counts as out of
reach; of a service with fewer servers, all."""

FAILURE_SECONDS = 3.0
"""Time within which they must fail. Servers that crash one by one are not a cut."""

QUIET_SECONDS = 0.5
"""Time without an answer of a service after which a failure is looked into."""

LOOK_SECONDS = 1.0
"""Shortest time between two looks into failures of a service."""

PROBE_SECONDS = 0.5
"""Interval of the probes of a service that is out of reach."""


@dataclass(slots=True)
class _Failure:
    """When a server failed last, and the evidence since the last contact."""

    at: float
    evidence: int = 0


class ServerReach:
    """Tells an instance that is cut from a service's servers from single failures.

    A service is out of reach once several of its servers have failed, by refused or
    unanswered connections, or by as many lost or missing answers, and none has answered
    on a new connection since. Open connections may live on while new ones are refused,
    so their answers don't count. A service that is out of reach is probed until one of
    its servers answers. Servers that end together look the same from here; whether
    other instances reach them is for those to say.

    Parameters
    ----------
    probe : callable
        Asks a server whether it is there, and records the outcome here.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> backends = Backends(Clock(), lambda _: None)
    >>> servers = [BackendServer(n, "app", "", "zone-a", 1) for n in ("a", "b")]
    >>> backends.replace_all(servers, lenient=False)
    >>> reach = ServerReach(Clock(), backends, EventLog(Clock(), 2))
    >>> for each in servers:
    ...     reach.record_failure(each, connected=False)
    >>> reach.out_of_reach("app")
    True
    >>> reach.record_contact(servers[0], on_new_connection=True)
    >>> reach.out_of_reach("app")
    False
    """

    def __init__(
        self,
        clock: IReactorTime,
        backends: Backends,
        log: EventLog,
        probe: Callable[[BackendServer], None] = lambda server: None,
    ) -> None:
        self._clock = clock
        self._backends = backends
        self._log = log
        self.probe = probe
        self._failures_by_service: dict[str, dict[str, _Failure]] = {}
        self._answered_at_by_service: dict[str, float] = {}
        self._looked_at_by_service: dict[str, float] = {}
        self._probes_by_service: dict[str, int] = {}
        self._timers_by_service: dict[str, IDelayedCall] = {}
        self.on_change: Callable[[], None] = lambda: None

    def record_contact(self, server: BackendServer, *, on_new_connection: bool) -> None:
        """Record that a server has answered."""
        service = server.service
        self._answered_at_by_service[service] = self._clock.seconds()
        if not on_new_connection:
            return
        self._failures_by_service.pop(service, None)
        if service in self._probes_by_service:
            self._end_cut(service, server.id)

    def record_failure(
        self, server: BackendServer, *, connected: bool, look: bool = False
    ) -> None:
        """Record that no connection to a server was made, or that it did not answer.

        With ``look``, servers are probed unless one has answered a short time ago: the
        failure may be the server's own.
        """
        now, service = self._clock.seconds(), server.service
        failures = self._failures_by_service.setdefault(service, {})
        failure = failures.setdefault(server.id, _Failure(now))
        if now - failure.at > FAILURE_SECONDS:
            failure.evidence = 0
        failure.at = now
        # An answer may be lost for a reason of its own, a connection hardly.
        failure.evidence += 1 if connected else MIN_UNREACHABLE
        if service in self._probes_by_service:
            return
        servers = self._backends.registered(service)
        recent = {
            each.id: failures[each.id].evidence
            for each in servers
            if each.id in failures and now - failures[each.id].at <= FAILURE_SECONDS
        }
        needed = min(MIN_UNREACHABLE, len(servers))
        if 0 < needed <= len(recent) and sum(recent.values()) >= MIN_UNREACHABLE:
            self._probes_by_service[service] = 0
            self._log.event(
                "service_out_of_reach", service=service, servers=sorted(recent)
            )
            self.on_change()
            self._probe_next(service)
            for other in list(self._answered_at_by_service):
                self.look_into(other, though_answered=True)
        elif look:
            self.look_into(service)

    def out_of_reach(self, service: str) -> bool:
        """Return whether no server of a service can be reached, as far as is known."""
        return service in self._probes_by_service

    def services_out_of_reach(self) -> list[str]:
        """Return the services of which no server can be reached."""
        return sorted(self._probes_by_service)

    def look_into(self, service: str, *, though_answered: bool = False) -> None:
        """Probe as many servers as it takes to tell whether there is a way to them.

        Unless ``though_answered``, nothing is done if one has answered a short time
        ago.
        """
        if service in self._probes_by_service:
            return
        now, never = self._clock.seconds(), float("-inf")
        answered_at = self._answered_at_by_service.get(service, never)
        looked_at = self._looked_at_by_service.get(service, never)
        if now - looked_at < LOOK_SECONDS or (
            now - answered_at < QUIET_SECONDS and not though_answered
        ):
            return
        self._looked_at_by_service[service] = now
        failures = self._failures_by_service.get(service, {})
        servers = sorted(
            self._backends.registered(service),
            key=lambda each: failures[each.id].at if each.id in failures else never,
        )
        for server in servers[:MIN_UNREACHABLE]:
            self.probe(server)

    def _probe_next(self, service: str) -> None:
        """Probe one server after the other until one answers or all have left."""
        servers = self._backends.registered(service)
        if not servers:
            self._end_cut(service, None)
            return
        number = self._probes_by_service[service]
        self._probes_by_service[service] = number + 1
        self._timers_by_service[service] = self._clock.callLater(
            PROBE_SECONDS, self._probe_next, service
        )
        self.probe(servers[number % len(servers)])

    def _end_cut(self, service: str, server: str | None) -> None:
        del self._probes_by_service[service]
        timer = self._timers_by_service.pop(service)
        if timer.active():
            timer.cancel()
        self._log.event("service_in_reach", service=service, server=server)
        self.on_change()
