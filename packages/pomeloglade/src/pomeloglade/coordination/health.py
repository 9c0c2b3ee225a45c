"""Detects failed backend servers and polls engines for load reports."""

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.lasting_tasks import guarded
from pomeloglade_coordination.placement import Placement

from ..errors import BackendError
from ..state.deployment import BackendServer
from ..state.metrics import Metrics
from .current_configuration import CurrentConfiguration
from .engine import Engines

POLL_SECONDS = 1.0
SERVICE_RETRY_SECONDS = 2.0
"""How long a failed plain service gets no requests.

Plain services have no load report that could show their recovery.
"""


class HealthMonitor:
    """Excludes backend servers that don't answer from this instance's placement.

    Each engine is polled by the instance that places requests on it, and by every
    instance that has marked it failed, until it answers.

    Parameters
    ----------
    clock : IReactorTime
        Times the polls.
    in_force : CurrentConfiguration
        Names the backend servers.
    engines : Engines
        Reports the load.
    placement : Placement
        Receives load reports, failures and recoveries.
    metrics : Metrics
        Counts failures and recoveries.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: CurrentConfiguration,
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
        self._loop = LoopingCall(guarded("health", self._poll))
        self._loop.clock = clock

    def start(self) -> None:
        """Poll now, and then every ``POLL_SECONDS``."""
        self._loop.start(POLL_SECONDS)

    def stop(self) -> None:
        """Stop polling."""
        if self._loop.running:
            self._loop.stop()

    def mark_failed(self, name: str) -> None:
        """Record that a backend server could not be reached, or crashed."""
        server = self._in_force.deployment.backend_servers_by_name.get(name)
        if server is None or name in self._failed:
            return
        self._failed.add(name)
        self._metrics.event("health", "failed")
        self._placement.replica_failed(name)
        if server.role == "plain":
            self._clock.callLater(SERVICE_RETRY_SECONDS, self._mark_recovered, name)

    def is_failed(self, name: str) -> bool:
        """Return whether this instance has marked a backend server failed."""
        return name in self._failed

    async def confirm_down(self, name: str) -> bool:
        """Return whether an engine that lost a connection can't be polled either.

        If its load report can't be read, it is marked failed.
        """
        server = self._in_force.deployment.backend_servers_by_name.get(name)
        if server is None:
            return False
        try:
            await self._engines.read_load(server)
        except BackendError:
            self.mark_failed(name)
            return True
        return False

    def _mark_recovered(self, name: str) -> None:
        if name in self._failed:
            self._failed.discard(name)
            self._metrics.event("health", "recovered")
            self._placement.replica_recovered(name)

    def _poll(self) -> "Deferred[list[None]]":
        servers = self._in_force.deployment.backend_servers_by_name.values()
        polls = [
            self._poll_server(server) for server in servers if self._is_polled(server)
        ]
        return gatherResults([Deferred.fromCoroutine(each) for each in polls])

    def _is_polled(self, server: BackendServer) -> bool:
        if server.role == "plain":
            return False
        if server.name in self._failed:
            return True
        return self._placement.is_owner_of(server.name)

    async def _poll_server(self, server: BackendServer) -> None:
        requested_at = self._clock.seconds()
        try:
            load = await self._engines.read_load(server)
        except BackendError:
            self.mark_failed(server.name)
            return
        self._mark_recovered(server.name)
        self._placement.observe_load(server.name, load.held, load.waiting, requested_at)
