"""The ports that an instance listens on."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import DatagramProtocol, Factory
from twisted.python.failure import Failure

from ..startup import PortOpener
from .event_log import EventLog
from .forwarding_settings import ForwardingSettings

CALLERS_BACKLOG = 512


class Listeners:
    """Opens an instance's ports, and closes those for calls when it stops.

    Parameters
    ----------
    reactor : IReactorTCP, IReactorUDP and IReactorTime
        Provides sockets and timers.
    pages : Factory
        Serves the readiness and metrics pages.
    callers, peers : Factory
        Serve the calls of callers, and those that other instances pass on.
    reports : DatagramProtocol
        Exchanges reports with the other instances.
    """

    def __init__(
        self,
        reactor: Any,
        settings: ForwardingSettings,
        log: EventLog,
        *,
        pages: Factory,
        callers: Factory,
        peers: Factory,
        reports: DatagramProtocol,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._log = log
        self._pages = pages
        self._callers = callers
        self._peers = peers
        self._reports = reports
        self._ports_for_calls: list[IListeningPort] = []

    async def open(self) -> None:
        """Listen on all ports, that of callers last: from then on, a stop drains.

        Raises ``CannotListenError`` if a port other than that of the metrics stays in
        use.
        """
        settings = self._settings
        opener = PortOpener(self._reactor, self._log)
        await opener.open_required(
            "readiness", lambda: self._listen(settings.ready_port, self._pages)
        )
        metrics = opener.open_optional(
            "metrics", lambda: self._listen(settings.metrics_port, self._pages)
        )
        Deferred.fromCoroutine(metrics).addErrback(self._metrics_failed)
        peers = await opener.open_required(
            "peers", lambda: self._listen(settings.peer_port, self._peers)
        )
        await opener.open_required("reports", self._listen_for_reports)
        callers = await opener.open_required(
            "callers",
            lambda: self._listen(settings.front_port, self._callers, CALLERS_BACKLOG),
        )
        self._ports_for_calls = [callers, peers]

    async def close(self) -> None:
        """Accept no further connections for calls."""
        for port in self._ports_for_calls:
            await port.stopListening()

    def _listen(
        self, port: int, factory: Factory, backlog: int = 50
    ) -> "Deferred[IListeningPort]":
        host = self._settings.host
        endpoint = TCP4ServerEndpoint(
            self._reactor, port, backlog=backlog, interface=host
        )
        return endpoint.listen(factory)

    async def _listen_for_reports(self) -> IListeningPort:
        settings = self._settings
        return self._reactor.listenUDP(
            settings.peer_port, self._reports, interface=settings.host
        )

    def _metrics_failed(self, failure: Failure) -> None:
        self._log.event("no_metrics", reason=repr(failure.value))
