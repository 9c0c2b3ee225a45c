"""Tracking of a site's open connections, for a graceful shutdown."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IProtocol
from twisted.protocols.policies import WrappingFactory


class ConnectionTracker(WrappingFactory):
    """Wraps a site's factory and tracks its open connections."""

    noisy = False

    def __init__(self, wrapped: object) -> None:
        super().__init__(wrapped)
        self._closed_waiters: list[Deferred[None]] = []

    def close_all(self) -> "Deferred[None]":
        """Flush and close every connection; fires when all are closed."""
        if not self.protocols:
            return succeed(None)
        all_closed: Deferred[None] = Deferred()
        self._closed_waiters.append(all_closed)
        for connection in list(self.protocols):
            connection.loseConnection()
        return all_closed

    def unregisterProtocol(self, p: IProtocol) -> None:  # noqa: N802
        """Remove a closed connection."""
        super().unregisterProtocol(p)
        if self.protocols:
            return
        waiters, self._closed_waiters = self._closed_waiters, []
        for waiter in waiters:
            waiter.callback(None)
