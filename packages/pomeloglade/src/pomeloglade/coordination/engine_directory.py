"""Calls engines by name, for the recovery of memory held for lost requests."""

from collections.abc import Mapping

from twisted.internet.defer import Deferred, succeed

from pomeloglade_coordination.recovery import HeldRequest

from ..state.deployment import BackendServer
from .current_configuration import CurrentConfiguration
from .engine import Engines


class EngineDirectory:
    """Looks engines up by name in the configuration in force and calls them.

    A server that is not in the configuration can't be called, so it is reported
    as holding no requests.
    """

    def __init__(self, in_force: CurrentConfiguration, engines: Engines) -> None:
        self._in_force = in_force
        self._engines = engines

    def availability_zones_by_server(self) -> Mapping[str, str]:
        """Return the availability zone of each server that may hold requests."""
        return {
            server.name: server.availability_zone
            for server in self._servers_by_name.values()
            if server.role != "plain"
        }

    def list_held(self, server: str) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests for which ``server`` holds memory."""
        engine = self._servers_by_name.get(server)
        return self._engines.list_held(engine) if engine else succeed(())

    def cancel(self, server: str, request_id: str) -> "Deferred[None]":
        """Release a request's memory; an unknown request is not an error."""
        engine = self._servers_by_name.get(server)
        return self._engines.cancel(engine, request_id) if engine else succeed(None)

    @property
    def _servers_by_name(self) -> Mapping[str, BackendServer]:
        return self._in_force.deployment.backend_servers_by_name
