"""The registered backend servers, and which of them may receive calls."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from twisted.internet.interfaces import IReactorTime

from ..errors import BackendNotServingError


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One run of a backend server, as it registered itself in the store.

    ``stage`` is ``"prefill"`` or ``"decode"`` for engines and empty otherwise.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool = False
    stage: str = ""
    started_ms: int = 0


class Backends:
    """Index of the backend servers by id and by service.

    Parameters
    ----------
    clock : IReactorTime
        Times the grace period of servers whose entries lapsed.
    on_unusable : callable
        Called with each server that must not receive calls any more.
    grace : float
        Seconds for which a server whose entry lapsed during a store outage is kept
        as a last resort. Live servers register again soon after the outage.
    """

    def __init__(
        self,
        clock: IReactorTime,
        on_unusable: Callable[[BackendServer], None],
        *,
        grace: float = 1.5,
    ) -> None:
        self._clock = clock
        self._grace = grace
        self._on_unusable = on_unusable
        self._servers_by_id: dict[str, BackendServer] = {}
        self._lapsed_by_id: dict[str, tuple[BackendServer, float]] = {}

    def replace_all(self, servers: Iterable[BackendServer], *, lenient: bool) -> None:
        """Replace all servers; with ``lenient``, missing ones get a grace period."""
        listed = {each.id: each for each in servers}
        for each in list(self._servers_by_id.values()):
            if each.id not in listed:
                self.remove(each.id, lenient=lenient)
        for each in listed.values():
            self.put(each)

    def put(self, server: BackendServer) -> None:
        """Add a server or update its entry."""
        known = self._servers_by_id.get(server.id)
        if known == server:
            return
        self._lapsed_by_id.pop(server.id, None)
        self._servers_by_id[server.id] = server
        if known is not None and (
            server.draining or replace(known, stage=server.stage) != server
        ):
            self._on_unusable(known)

    def remove(self, server_id: str, *, lenient: bool) -> None:
        """Remove a server; with ``lenient``, keep it for the grace period."""
        server = self._servers_by_id.pop(server_id, None)
        if server is None:
            return
        if lenient and not server.draining:
            until = self._clock.seconds() + self._grace
            self._lapsed_by_id[server_id] = (server, until)
        else:
            self._on_unusable(server)

    def get(self, server_id: str) -> BackendServer | None:
        """Return the newest entry of a server, or ``None``."""
        return self._servers_by_id.get(server_id)

    def usable(self, server: BackendServer) -> bool:
        """Return whether a call may still be sent to ``server``, an entry read earlier.

        It may not once the server drains or has left, or has registered with another
        address, service or stage.
        """
        known = self._servers_by_id.get(server.id)
        if known is not None:
            return (
                not known.draining
                and known.address == server.address
                and known.service == server.service
                and known.stage == server.stage
            )
        lapsed = self._lapsed_by_id.get(server.id)
        return lapsed is not None and self._clock.seconds() < lapsed[1]

    def ensure_serves(self, server: BackendServer, service: str) -> None:
        """Raise ``BackendNotServingError`` unless a server still serves ``service``."""
        if server.service != service or not self.usable(server):
            text = f"backend server {server.id!r} no longer serves {service!r}"
            raise BackendNotServingError(text, step="connect", peer=server.id)

    def serving(self, service: str, stage: str | None = None) -> list[BackendServer]:
        """Return the servers of a service that may receive calls.

        Servers in their grace period are returned only if there are no others.
        """
        registered = [
            each
            for each in self._servers_by_id.values()
            if each.service == service
            and not each.draining
            and (stage is None or each.stage == stage)
        ]
        if registered:
            return registered
        now = self._clock.seconds()
        return [
            each
            for each, until in self._lapsed_by_id.values()
            if each.service == service
            and now < until
            and (stage is None or each.stage == stage)
        ]

    def __len__(self) -> int:
        return len(self._servers_by_id)
