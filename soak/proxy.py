"""A loopback proxy that can delay, hold back or reset its connections."""

import enum
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class LinkMode(enum.Enum):
    """What a proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    RESET = "reset"
    REFUSE = "refuse"


DELAY_SECONDS = 0.1

Address = tuple[str, int]


class Proxy(Factory):
    """Forwards connections to one address as its mode demands.

    ``SILENCE`` holds back the bytes of both directions until the mode changes,
    ``ONE_WAY`` only those from the target. ``RESET`` aborts all connections, also new
    ones; ``REFUSE`` aborts only the new ones. ``mode_of_client`` returns another mode
    for the connection from a client's address to the proxy's, or ``None``.
    """

    noisy = False

    def __init__(self, reactor: Any, host: str, target: tuple[str, int]) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = LinkMode.PASS
        self.connections: set[_ProxyConnection] = set()
        self.mode_of_client: Callable[[Address, Address], LinkMode | None] = (
            lambda client, server: None
        )
        self._host = host
        self._port = reactor.listenTCP(0, self, interface=host)
        self._port_number = self._port.getHost().port
        self.listening = True
        self.address = f"{host}:{self._port_number}"

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode, also for open connections."""
        self.mode = mode
        for connection in list(self.connections):
            if mode is LinkMode.RESET:
                connection.transport.abortConnection()
            else:
                connection.flush()

    def update_clients(self) -> None:
        """Apply ``mode_of_client`` to the open connections."""
        for connection in list(self.connections):
            if connection.from_target or connection.peer is None:
                continue
            mode = connection.client_mode()
            connection.mode = connection.peer.mode = mode
            if mode is LinkMode.RESET:
                connection.transport.abortConnection()
            else:
                connection.flush()
                connection.peer.flush()

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self.listening:
            self.listening = False
            self._port.stopListening()
        self.set_mode(LinkMode.RESET)

    def resume(self) -> None:
        """Listen again at the same address after ``stop``."""
        self.mode = LinkMode.PASS
        self.listening = True
        self._port = self.reactor.listenTCP(
            self._port_number, self, interface=self._host
        )

    def buildProtocol(self, addr: Any) -> "_ProxyConnection":  # noqa: N802
        """Return the protocol for a connection accepted from a client."""
        return _ProxyConnection(self, from_target=False)


class _ProxyConnection(Protocol):
    """Connection to the client or the target; forwards what it receives to its peer."""

    def __init__(self, proxy: Proxy, *, from_target: bool) -> None:
        self._proxy = proxy
        self.from_target = from_target
        self.mode: LinkMode | None = None
        self._buffered: list[bytes] = []
        self._closed = False
        self.peer: _ProxyConnection | None = None

    def connectionMade(self) -> None:  # noqa: N802
        proxy = self._proxy
        if not self.from_target:
            self.mode = self.client_mode()
        if (self.mode or proxy.mode) in (LinkMode.RESET, LinkMode.REFUSE):
            self.transport.abortConnection()
            return
        proxy.connections.add(self)
        self.transport.setTcpNoDelay(True)
        if not self.from_target:
            host, port = proxy.target
            proxy.reactor.connectTCP(host, port, _TargetFactory(proxy, self), timeout=5)

    def client_mode(self) -> LinkMode | None:
        """Return the mode of the connection's client, if it has one of its own."""
        client, server = self.transport.getPeer(), self.transport.getHost()
        return self._proxy.mode_of_client(
            (client.host, client.port), (server.host, server.port)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._buffered.append(data)
        if (self.mode or self._proxy.mode) is LinkMode.DELAY:
            self._proxy.reactor.callLater(DELAY_SECONDS, self.flush)
        else:
            self.flush()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._proxy.connections.discard(self)
        self._closed = True
        self.flush()

    def flush(self) -> None:
        """Forward the buffered bytes to the peer unless the mode holds them back."""
        mode, peer = self.mode or self._proxy.mode, self.peer
        held = mode is LinkMode.SILENCE or (
            mode is LinkMode.ONE_WAY and self.from_target
        )
        if peer is None or held:
            return
        data, self._buffered = b"".join(self._buffered), []
        if data:
            peer.transport.write(data)
        if self._closed:
            peer.transport.loseConnection()


class _TargetFactory(ClientFactory):
    """Connects to the target on behalf of a client connection."""

    noisy = False

    def __init__(self, proxy: Proxy, client: _ProxyConnection) -> None:
        self._proxy = proxy
        self._client = client

    def buildProtocol(self, addr: Any) -> _ProxyConnection:  # noqa: N802
        """Return the connection to the target, paired with the client's."""
        target = _ProxyConnection(self._proxy, from_target=True)
        target.peer, self._client.peer = self._client, target
        target.mode = self._client.mode
        self._proxy.reactor.callLater(0, self._client.flush)
        return target

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reset the client's connection, as a port without a listener does."""
        self._client.transport.abortConnection()
