"""A loopback proxy whose connections can be delayed, silenced, cut or reset."""

import enum
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class Link(enum.Enum):
    """What a proxy does with the bytes that come to it."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    RESET = "reset"


DELAY_SECONDS = 0.1


class Proxy(Factory):
    """Passes connections on to one address, as ``link`` says.

    ``SILENCE`` holds bytes both ways until the link heals, ``ONE_WAY`` only those
    of answers. ``RESET`` breaks all connections and refuses new ones.
    """

    noisy = False

    def __init__(self, reactor: Any, host: str, target: tuple[str, int]) -> None:
        self.reactor = reactor
        self.target = target
        self.link = Link.PASS
        self.sides: set[_Side] = set()
        self._port = reactor.listenTCP(0, self, interface=host)
        self.address = f"{host}:{self._port.getHost().port}"

    def set_link(self, link: Link) -> None:
        """Change what happens to the connections, also to open ones."""
        self.link = link
        for side in list(self.sides):
            if link is Link.RESET:
                side.transport.abortConnection()
            else:
                side.flush()

    def stop(self) -> None:
        """Close everything."""
        self._port.stopListening()
        self.set_link(Link.RESET)

    def buildProtocol(self, addr: Any) -> "_Side":  # noqa: N802
        """Return the side of a new connection that faces its opener."""
        return _Side(self, answers=False)


class _Side(Protocol):
    """One of a proxied connection's two sides; sends what its peer received."""

    def __init__(self, proxy: Proxy, *, answers: bool) -> None:
        self._proxy = proxy
        self._answers = answers
        self._held: list[bytes] = []
        self._ended = False
        self.peer: _Side | None = None

    def connectionMade(self) -> None:  # noqa: N802
        proxy = self._proxy
        if proxy.link is Link.RESET:
            self.transport.abortConnection()
            return
        proxy.sides.add(self)
        self.transport.setTcpNoDelay(True)
        if not self._answers:
            host, port = proxy.target
            proxy.reactor.connectTCP(host, port, _Opening(proxy, self), timeout=5)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._held.append(data)
        if self._proxy.link is Link.DELAY:
            self._proxy.reactor.callLater(DELAY_SECONDS, self.flush)
        else:
            self.flush()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self._proxy.sides.discard(self)
        self._ended = True
        self.flush()

    def flush(self) -> None:
        """Pass on what the link lets through."""
        link, peer = self._proxy.link, self.peer
        held = link is Link.SILENCE or (link is Link.ONE_WAY and self._answers)
        if peer is None or held:
            return
        data, self._held = b"".join(self._held), []
        if data:
            peer.transport.write(data)
        if self._ended:
            peer.transport.loseConnection()


class _Opening(ClientFactory):
    """Opens the second side of a proxied connection."""

    noisy = False

    def __init__(self, proxy: Proxy, opener: _Side) -> None:
        self._proxy = proxy
        self._opener = opener

    def buildProtocol(self, addr: Any) -> _Side:  # noqa: N802
        """Return the second side, joined to the first."""
        side = _Side(self._proxy, answers=True)
        side.peer, self._opener.peer = self._opener, side
        self._proxy.reactor.callLater(0, self._opener.flush)
        return side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Reset the first side, as a port without a listener does."""
        self._opener.transport.abortConnection()
