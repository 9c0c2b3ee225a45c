"""One HTTP/1.1 call at a time over connections that the caller controls.

The forwarder has to know which bytes left, whether a broken connection was reset
or closed, and what follows a complete answer; so it drives ``h11`` itself.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..errors import BackendLostError, BackendNonsenseError, BackendUnreachableError

CONNECT_TIMEOUT_SECONDS = 1.0
"""A SYN that got lost is sent again after a second; trying elsewhere is sooner."""

MAX_BUFFERED_BYTES = 65_536
"""Answer bytes held for a slow reader before the connection stops being read."""

MAX_ANSWER_HEAD_BYTES = 65_536

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: Headers
    by_name: dict[bytes, bytes] = field(default_factory=dict)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the header ``name``, given in lower case."""
        return self.by_name.get(name)


class ServerConnection(Protocol):
    """A connection to one address that carries one exchange at a time."""

    def __init__(self, address: str, on_idle_end: Callable[[Any], None]) -> None:
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_seconds: float | None = None
        self.closed = False
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self._exchange: Exchange | None = None
        self._on_idle_end = on_idle_end

    def begin(self, exchange: "Exchange") -> None:
        """Send an exchange's request and deliver its answer to it."""
        self._exchange = exchange
        head = exchange.request
        headers = [*head.headers]
        names = {name.lower() for name, _ in headers}
        if exchange.body or b"content-length" in names:
            headers = [h for h in headers if h[0].lower() != b"content-length"]
            headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        request = h11.Request(method=head.method, target=head.target, headers=headers)
        data = self._h11.send(request) or b""
        if exchange.body:
            data += self._h11.send(h11.Data(data=exchange.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes of the answer; bytes without a request end the connection."""
        if self._exchange is None:
            self.abort()
            return
        try:
            self._h11.receive_data(data)
            self._deliver()
        except h11.RemoteProtocolError as error:
            self._break(f"answer is not HTTP: {error}", BackendNonsenseError)
            self.abort()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """End the exchange: complete only if the peer closed an unframed answer."""
        self.closed = True
        exchange = self._exchange
        if exchange is None:
            self._on_idle_end(self)
            return
        if reason.check(ConnectionDone):
            try:
                self._h11.receive_data(b"")
                self._deliver()
            except h11.RemoteProtocolError as error:
                self._break(f"answer was cut: {error}", BackendLostError)
        self._break(
            f"connection to {self.address} broke: {reason.value}", BackendLostError
        )

    def abort(self) -> None:
        """Reset the connection."""
        if not self.closed:
            self.transport.abortConnection()

    def reusable(self) -> bool:
        """Whether another exchange may use the connection."""
        return (
            not self.closed
            and self._exchange is None
            and self._h11.our_state is h11.IDLE
        )

    def pause(self, paused: bool) -> None:
        """Stop or resume reading."""
        if self.closed:
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _deliver(self) -> None:
        while self._exchange is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head(event)
            elif isinstance(event, h11.Data):
                self._exchange.received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end()
            elif isinstance(event, h11.ConnectionClosed):
                self._break(f"{self.address} closed without an answer")

    def _head(self, event: h11.Response) -> None:
        headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
        by_name = dict(headers)
        self.keep_alive_seconds = _keep_alive(by_name.get(b"keep-alive", b""))
        self._exchange.answered(AnswerHead(event.status_code, headers, by_name))

    def _end(self) -> None:
        exchange, self._exchange = self._exchange, None
        if self._h11.trailing_data[0]:
            self.abort()
        elif self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        exchange.ended(self)

    def _break(
        self, text: str, kind: type[BackendLostError] = BackendLostError
    ) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.broken(kind(text, step="answer", peer=self.address))


def _keep_alive(value: bytes) -> float | None:
    """Return the seconds that a ``Keep-Alive`` header allows to be idle."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


class Exchange:
    """A request on a connection and the answer as it arrives."""

    def __init__(self, request: RequestHead, body: bytes) -> None:
        self.request = request
        self.body = body
        self._head: AnswerHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._complete = False
        self._error: Exception | None = None
        self._waiting: Deferred[None] | None = None
        self.connection: ServerConnection | None = None
        self._on_end: Callable[[ServerConnection], None] | None = None

    def start(
        self, connection: ServerConnection, on_end: Callable[[ServerConnection], None]
    ) -> None:
        """Send the request; ``on_end`` gets the connection back when it is free."""
        self.connection = connection
        self._on_end = on_end
        connection.begin(self)

    async def head(self) -> AnswerHead:
        """Wait for status and headers."""
        while self._head is None:
            self._raise()
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Wait for some of the body; empty bytes when it is complete."""
        while not self._chunks:
            if self._complete:
                return b""
            self._raise()
            await self._wait()
        chunk = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered > MAX_BUFFERED_BYTES and self.connection is not None:
            self.connection.pause(False)
        self._buffered = 0
        return chunk

    async def body_bytes(self) -> bytes:
        """Wait for the whole body."""
        chunks = []
        while chunk := await self.read():
            chunks.append(chunk)
        return b"".join(chunks)

    async def whole(self) -> tuple[AnswerHead, bytes]:
        """Wait for the complete answer."""
        head = await self.head()
        return head, await self.body_bytes()

    def cancel(self) -> None:
        """Give the exchange up and reset its connection, if it is not over."""
        if not self._complete and self._error is None and self.connection is not None:
            self.connection.abort()

    def answered(self, head: AnswerHead) -> None:
        """Take the head of the answer."""
        self._head = head
        self._wake()

    def received(self, data: bytes) -> None:
        """Take bytes of the body."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES:
            self.connection.pause(True)
        self._wake()

    def ended(self, connection: ServerConnection) -> None:
        """Take the end of a complete answer."""
        self._complete = True
        if self._on_end is not None:
            self._on_end(connection)
        self._wake()

    def broken(self, error: Exception) -> None:
        """Take the failure of the connection."""
        self._error = error
        self._wake()

    def _raise(self) -> None:
        if self._error is not None:
            raise self._error

    def _wait(self) -> "Deferred[None]":
        self._waiting = Deferred()
        return self._waiting

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self.connected: Deferred[ServerConnection] = Deferred(self._cancel)
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        connection = self._connection
        connected, self.connected = self.connected, None

        def made() -> None:
            connection.transport.setTcpNoDelay(True)
            connected.callback(connection)

        connection.connectionMade = made
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        connected, self.connected = self.connected, None
        if connected is not None and not connected.called:
            address = self._connection.address
            text = f"no connection to {address}: {reason.value}"
            error = BackendUnreachableError(text, step="connect", peer=address)
            connected.errback(error)

    def _cancel(self, _: object) -> None:
        self.connected = None
        self.connector.disconnect()


class ConnectionPool:
    """Opens connections to backend servers and keeps idle ones for reuse.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Opens connections and tells how long one was idle.
    max_idle : int
        Idle connections kept for each address.
    """

    def __init__(self, reactor: Any, *, max_idle: int = 4) -> None:
        self._reactor: IReactorTCP | IReactorTime = reactor
        self._max_idle = max_idle
        self._idle_by_address: dict[str, deque[ServerConnection]] = {}
        self.opened = 0

    def connection(
        self,
        address: str,
        *,
        max_idle_seconds: float,
        timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> "Deferred[ServerConnection]":
        """Return a connection that was idle for a short time only, or a new one.

        Fails with ``BackendUnreachableError`` when none could be opened.
        """
        now = self._reactor.seconds()
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            bound = max_idle_seconds
            if connection.keep_alive_seconds is not None:
                # Leaves the server's own timeout half a second of travel time.
                bound = min(bound, connection.keep_alive_seconds - 0.5)
            if connection.reusable() and now - connection.idle_since <= bound:
                return succeed(connection)
            connection.abort()
        return self._open(address, timeout)

    def release(self, connection: ServerConnection) -> None:
        """Keep a connection whose exchange is complete, if it can be used again."""
        if not connection.reusable():
            connection.abort()
            return
        connection.idle_since = self._reactor.seconds()
        idle = self._idle_by_address.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.popleft().abort()

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()

    def _open(self, address: str, timeout: float) -> "Deferred[ServerConnection]":
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            text = f"address {address!r} is not HOST:PORT"
            return fail(BackendUnreachableError(text, step="connect", peer=address))
        self.opened += 1
        connector = _Connector(ServerConnection(address, self._forget))
        connected = connector.connected
        connector.connector = self._reactor.connectTCP(
            host, int(port), connector, timeout=timeout
        )
        return connected

    def _forget(self, connection: ServerConnection) -> None:
        idle = self._idle_by_address.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
