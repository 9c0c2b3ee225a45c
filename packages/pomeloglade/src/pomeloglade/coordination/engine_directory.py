"""Engines by name, as the library's recovery asks for them."""

from collections.abc import Mapping

from twisted.internet.defer import Deferred, succeed

from pomeloglade_coordination.recovery import HeldRequest

from ..state.deployment import BackendServer
from .engine import Engines
from .in_force import InForce


class EngineDirectory:
    """Finds an engine in the configuration in force and calls it.

    A server that has left the configuration holds nothing that this instance
    could ask for.
    """

    def __init__(self, in_force: InForce, engines: Engines) -> None:
        self._in_force = in_force
        self._engines = engines

    def availability_zones_by_server(self) -> Mapping[str, str]:
        """Return the zone of each backend server that may hold requests."""
        return {
            server.name: server.availability_zone
            for server in self._servers_by_name.values()
            if server.role != "plain"
        }

    def list_held(self, server: str) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests for which ``server`` holds memory."""
        found = self._servers_by_name.get(server)
        return self._engines.held(found) if found else succeed(())

    def cancel(self, server: str, request_id: str) -> "Deferred[None]":
        """Release a request's memory; an unknown request is no error."""
        found = self._servers_by_name.get(server)
        return self._engines.cancel(found, request_id) if found else succeed(None)

    @property
    def _servers_by_name(self) -> Mapping[str, BackendServer]:
        return self._in_force.deployment.backend_servers_by_name
