"""What all sendings to backend servers share, and their last check."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from ..errors import BackendLeftError, BackendLostError
from ..transport.http_exchange import ConnectionPool, ServerConnection
from .backends import Backends, BackendServer
from .call_state import CallState
from .calls import CallCodec, Refused
from .loads import Loads
from .resend_budget import ResendBudget
from .server_health import ServerHealth

CONNECT_SECONDS = 0.25
"""Connecting takes milliseconds; a lost packet costs a second, another server less."""


@dataclass(frozen=True, slots=True)
class SendContext:
    """The parts of an instance by which calls are sent.

    ``on_load_changed`` is to be called when this instance's work has changed.
    """

    clock: IReactorTime
    codec: CallCodec
    pool: ConnectionPool
    backends: Backends
    loads: Loads
    health: ServerHealth
    budget: ResendBudget
    on_load_changed: Callable[[], None]

    async def connect(
        self, state: CallState, server: BackendServer, *, max_idle_seconds: float = 0.0
    ) -> ServerConnection:
        """Return a connection on which the call may be sent now.

        Raises ``BackendUnreachableError`` if there is none, and what ``check``
        raises.
        """
        connection = await self.pool.connection(
            server.address, max_idle_seconds=max_idle_seconds, timeout=CONNECT_SECONDS
        )
        try:
            self.revalidate(state, server)
        except (Refused, BackendLeftError):
            self.pool.release(connection)
            raise
        return connection

    def revalidate(self, state: CallState, server: BackendServer) -> None:
        """Check all beliefs once more, as the last step before the first byte.

        Raises ``Refused`` or ``BackendLeftError`` if they have changed.
        """
        state.resolve()
        self.backends.ensure_serves(server, state.service())


def on_silence(server: BackendServer, step: str) -> Callable[[object, float], None]:
    """Return what ``Deferred.addTimeout`` calls when a server was silent too long."""

    def give_up(_: object, seconds: float) -> None:
        text = f"backend server {server.id!r} was silent for {seconds:g} s"
        raise BackendLostError(text, step=step, peer=server.id)

    return give_up
