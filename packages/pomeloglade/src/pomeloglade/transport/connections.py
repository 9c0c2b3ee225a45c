"""Keeps count of a site's connections, so that a shutdown can flush them."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IProtocol
from twisted.protocols.policies import WrappingFactory


class Connections(WrappingFactory):
    """Wraps a site and remembers its open connections."""

    noisy = False

    def __init__(self, wrapped: object) -> None:
        super().__init__(wrapped)
        self._closed_waiters: list[Deferred[None]] = []

    def close_all(self) -> "Deferred[None]":
        """Close every connection once its last bytes are sent."""
        if not self.protocols:
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self._closed_waiters.append(waiting)
        for connection in list(self.protocols):
            connection.loseConnection()
        return waiting

    def unregisterProtocol(self, p: IProtocol) -> None:  # noqa: N802
        """Note that a connection has closed."""
        super().unregisterProtocol(p)
        if self.protocols:
            return
        waiters, self._closed_waiters = self._closed_waiters, []
        for waiting in waiters:
            waiting.callback(None)
