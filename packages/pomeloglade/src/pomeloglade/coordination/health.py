"""Notices which backend servers are down, and polls their load reports."""

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.placement import Placement

from ..errors import BackendError
from ..state.deployment import BackendServer
from ..state.metrics import Metrics
from .engine import Engines
from .in_force import InForce

POLL_SECONDS = 1.0
SERVICE_RETRY_SECONDS = 2.0
"""How long a plain service, which has no load report, is left alone."""


class Health:
    """Keeps this instance's placement away from servers that do not answer.

    Each engine is polled by the instance that places requests on it, and by every
    instance that takes it for failed, until it answers.

    Parameters
    ----------
    clock : IReactorTime
        Times the polls.
    in_force : InForce
        Names the backend servers.
    engines : Engines
        Reports the load.
    placement : Placement
        Takes load reports, failures and recoveries.
    metrics : Metrics
        Counts failures and recoveries.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: InForce,
        engines: Engines,
        placement: Placement,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._engines = engines
        self._placement = placement
        self._metrics = metrics
        self._failed: set[str] = set()
        self._loop = LoopingCall(self._poll)
        self._loop.clock = clock

    def start(self) -> None:
        """Poll now and then every ``POLL_SECONDS``."""
        self._loop.start(POLL_SECONDS)

    def stop(self) -> None:
        """Stop polling."""
        if self._loop.running:
            self._loop.stop()

    def failed(self, name: str) -> None:
        """Note that a backend server could not be reached, or crashed."""
        server = self._in_force.deployment.backend_servers_by_name.get(name)
        if server is None or name in self._failed:
            return
        self._failed.add(name)
        self._metrics.event("health", "failed")
        self._placement.replica_failed(name)
        if server.role == "plain":
            self._clock.callLater(SERVICE_RETRY_SECONDS, self._recovered, name)

    def is_failed(self, name: str) -> bool:
        """Return whether this instance takes a backend server for failed."""
        return name in self._failed

    async def crashed(self, name: str) -> bool:
        """Ask a server that broke a connection; return whether it is down."""
        server = self._in_force.deployment.backend_servers_by_name.get(name)
        if server is None:
            return False
        try:
            await self._engines.load(server)
        except BackendError:
            self.failed(name)
            return True
        return False

    def _recovered(self, name: str) -> None:
        if name in self._failed:
            self._failed.discard(name)
            self._metrics.event("health", "recovered")
            self._placement.replica_recovered(name)

    def _poll(self) -> "Deferred[list[None]]":
        servers = self._in_force.deployment.backend_servers_by_name.values()
        polled = [self._ask(server) for server in servers if self._polls(server)]
        return gatherResults([Deferred.fromCoroutine(each) for each in polled])

    def _polls(self, server: BackendServer) -> bool:
        if server.role == "plain":
            return False
        if server.name in self._failed:
            return True
        return self._placement.places(server.name)

    async def _ask(self, server: BackendServer) -> None:
        asked = self._clock.seconds()
        try:
            load = await self._engines.load(server)
        except BackendError:
            self.failed(server.name)
            return
        self._recovered(server.name)
        self._placement.observe_load(server.name, load.held, load.waiting, asked)
