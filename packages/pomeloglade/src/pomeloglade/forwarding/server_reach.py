"""Whether this instance can open connections to the servers of each service."""

from collections.abc import Callable

from .backends import Backends, BackendServer
from .event_log import EventLog

MIN_UNREACHABLE = 3
"""Servers of a service that must fail one after the other before it counts as out of
reach; of a service with fewer servers, all."""


class ServerReach:
    """Tells an instance that is cut from a service's servers from single failures.

    A service is out of reach once connections to several of its servers have failed
    and none has been made since. Servers that end together look the same from here;
    whether other instances reach them is for those to say.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> backends = Backends(Clock(), lambda _: None)
    >>> servers = [BackendServer(n, "app", "", "zone-a", 1) for n in ("a", "b")]
    >>> backends.replace_all(servers, lenient=False)
    >>> reach = ServerReach(backends, EventLog(Clock(), 2))
    >>> for each in servers:
    ...     reach.record_unreachable(each)
    >>> reach.out_of_reach("app")
    True
    >>> reach.record_connected(servers[0])
    >>> reach.out_of_reach("app")
    False
    """

    def __init__(self, backends: Backends, log: EventLog) -> None:
        self._backends = backends
        self._log = log
        self._unreachable_by_service: dict[str, set[str]] = {}
        self._out_of_reach: set[str] = set()
        self.on_change: Callable[[], None] = lambda: None

    def record_connected(self, server: BackendServer) -> None:
        """Record that a new connection to a server was made."""
        self._unreachable_by_service.pop(server.service, None)
        self._update(server.service)

    def record_unreachable(self, server: BackendServer) -> None:
        """Record that a new connection to a server could not be made."""
        servers = self._unreachable_by_service.setdefault(server.service, set())
        servers.add(server.id)
        self._update(server.service)

    def out_of_reach(self, service: str) -> bool:
        """Return whether no server of a service can be reached, as far as is known."""
        self._update(service)
        return service in self._out_of_reach

    def services_out_of_reach(self) -> list[str]:
        """Return the services of which no server can be reached."""
        for service in list(self._out_of_reach):
            self._update(service)
        return sorted(self._out_of_reach)

    def _update(self, service: str) -> None:
        unreachable = self._unreachable_by_service.get(service, set())
        before = service in self._out_of_reach
        now = False
        if unreachable:
            servers = {each.id for each in self._backends.registered(service)}
            unreachable &= servers
            needed = min(MIN_UNREACHABLE, len(servers))
            now = bool(servers) and len(unreachable) >= needed
        if now is before:
            return
        if now:
            self._out_of_reach.add(service)
            self._log.event(
                "service_out_of_reach", service=service, servers=sorted(unreachable)
            )
        else:
            self._out_of_reach.discard(service)
            self._log.event("service_in_reach", service=service)
        self.on_change()
