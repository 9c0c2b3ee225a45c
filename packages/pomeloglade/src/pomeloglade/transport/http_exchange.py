"""HTTP/1.1 client connections that carry one request at a time."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import h11
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from ..errors import (
    BackendLostError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)

CONNECT_TIMEOUT_SECONDS = 1.0
"""A lost SYN is retransmitted after a second; trying another server is faster."""

MAX_BUFFERED_BYTES = 65_536
"""Unread body bytes above which reading from the connection is paused."""

MAX_RESPONSE_HEAD_BYTES = 65_536
"""Limit on a response's head, with the interim responses (1xx) before it."""

BODILESS_STATUSES = frozenset((204, 304))

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers


class BodyFraming(Enum):
    """What ends the body of a response (RFC 9112, 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers
    by_name: dict[bytes, bytes] = field(default_factory=dict)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the header ``name``, given in lower case."""
        return self.by_name.get(name)

    @property
    def framing(self) -> BodyFraming:
        """What ends the body.

        >>> ResponseHead(200, (), {b"transfer-encoding": b"chunked"}).framing
        <BodyFraming.CHUNKED: 'chunked'>
        """
        if b"transfer-encoding" in self.by_name:
            return BodyFraming.CHUNKED
        if b"content-length" in self.by_name or self.status in BODILESS_STATUSES:
            return BodyFraming.LENGTH
        return BodyFraming.CLOSE


class ServerConnection(Protocol):
    """A connection to one address that carries one exchange at a time.

    It uses ``h11`` directly because the forwarder has to know which bytes were
    sent, whether a lost connection was reset or closed, and what follows a complete
    response.
    """

    def __init__(self, address: str, on_idle_close: Callable[[Any], None]) -> None:
        self.address = address
        self.idle_since: float | None = None
        self.keep_alive_seconds: float | None = None
        self.closed = False
        self._bytes_before_head = 0
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )
        self._exchange: Exchange | None = None
        self._on_idle_close = on_idle_close

    def send_exchange(self, exchange: "Exchange") -> None:
        """Send the request of ``exchange`` and pass the response to it."""
        self._exchange = exchange
        self._bytes_before_head = 0
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
        """Parse response bytes; abort the connection if no request is pending."""
        if self._exchange is None:
            self.abort()
            return
        try:
            self._h11.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            self._reject(f"response of {self.address} is not valid HTTP: {error}")
            return
        if self._exchange is not None and not self._exchange.has_head:
            self._bytes_before_head += len(data)
            if self._bytes_before_head > MAX_RESPONSE_HEAD_BYTES:
                self._reject(f"response of {self.address} has too long a head")

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fail the exchange, unless the close ends a response without a length."""
        self.closed = True
        exchange = self._exchange
        if exchange is None:
            self._on_idle_close(self)
            return
        if reason.check(ConnectionDone):
            try:
                self._h11.receive_data(b"")
                self._process_events()
            except h11.RemoteProtocolError as error:
                self._fail(
                    f"response of {self.address} was truncated: {error}",
                    BackendLostError,
                )
        self._fail(
            f"connection to {self.address} was lost: {reason.value}", BackendLostError
        )

    @property
    def reused(self) -> bool:
        """Whether the connection has carried an exchange before."""
        return self.idle_since is not None

    def abort(self) -> None:
        """Reset the connection."""
        if not self.closed:
            self.transport.abortConnection()

    def reusable(self) -> bool:
        """Return whether another exchange can use the connection."""
        return (
            not self.closed
            and self._exchange is None
            and self._h11.our_state is h11.IDLE
        )

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading from the connection."""
        if self.closed:
            return
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def _process_events(self) -> None:
        while self._exchange is not None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._receive_head(event)
            elif isinstance(event, h11.Data):
                self._exchange.receive_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(f"{self.address} closed the connection without a response")

    def _receive_head(self, event: h11.Response) -> None:
        headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
        by_name = dict(headers)
        self.keep_alive_seconds = _parse_keep_alive(by_name.get(b"keep-alive", b""))
        self._exchange.receive_head(ResponseHead(event.status_code, headers, by_name))

    def _finish(self) -> None:
        exchange, self._exchange = self._exchange, None
        if self._h11.trailing_data[0]:
            self.abort()
        elif self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        exchange.receive_end(self)

    def _reject(self, text: str) -> None:
        self._fail(text, InvalidBackendResponseError)
        self.abort()

    def _fail(
        self, text: str, error_type: type[BackendLostError] = BackendLostError
    ) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.receive_error(error_type(text, step="answer", peer=self.address))


def _parse_keep_alive(value: bytes) -> float | None:
    """Return the idle timeout of a ``Keep-Alive`` header, in seconds."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return None


class Exchange:
    """A request on a connection and its response as it arrives."""

    def __init__(self, request: RequestHead, body: bytes) -> None:
        self.request = request
        self.body = body
        self._head: ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._complete = False
        self._error: Exception | None = None
        self._waiting: Deferred[None] | None = None
        self.connection: ServerConnection | None = None
        self._on_complete: Callable[[ServerConnection], None] | None = None

    def start(
        self,
        connection: ServerConnection,
        on_complete: Callable[[ServerConnection], None],
    ) -> None:
        """Send the request; ``on_complete`` gets the connection after the response."""
        self.connection = connection
        self._on_complete = on_complete
        connection.send_exchange(self)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the response."""
        while self._head is None:
            self._raise_if_failed()
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes:
        """Wait for the next part of the body; return ``b""`` at its end."""
        while not self._chunks:
            if self._complete:
                return b""
            self._raise_if_failed()
            await self._wait()
        chunk = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered_bytes > MAX_BUFFERED_BYTES and self.connection is not None:
            self.connection.set_reading_paused(False)
        self._buffered_bytes = 0
        return chunk

    @property
    def has_head(self) -> bool:
        """Whether the status and headers of the response have arrived."""
        return self._head is not None

    @property
    def failed(self) -> bool:
        """Whether the exchange has ended with an error."""
        return self._error is not None

    def fail(self, error: Exception) -> None:
        """Reset the connection, and fail the reader with an error."""
        self.cancel()
        self._chunks.clear()
        self.receive_error(error)

    async def read_body(self) -> bytes:
        """Wait for the whole body, whatever its size."""
        chunks = []
        while chunk := await self.read_chunk():
            chunks.append(chunk)
        return b"".join(chunks)

    async def read_response(self) -> tuple[ResponseHead, bytes]:
        """Wait for the complete response."""
        head = await self.read_head()
        return head, await self.read_body()

    def cancel(self) -> None:
        """Reset the connection, unless the exchange is already over."""
        if not self._complete and self._error is None and self.connection is not None:
            self.connection.abort()

    def receive_head(self, head: ResponseHead) -> None:
        """Receive the head of the response."""
        self._head = head
        self._wake_reader()

    def receive_body(self, data: bytes) -> None:
        """Receive a part of the body."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self.connection.set_reading_paused(True)
        self._wake_reader()

    def receive_end(self, connection: ServerConnection) -> None:
        """Receive the end of a complete response."""
        self._complete = True
        if self._on_complete is not None:
            self._on_complete(connection)
        self._wake_reader()

    def receive_error(self, error: Exception) -> None:
        """Fail with the error of the connection."""
        self._error = error
        self._wake_reader()

    def _raise_if_failed(self) -> None:
        if self._error is not None:
            raise self._error

    def _wait(self) -> "Deferred[None]":
        self._waiting = Deferred()
        return self._waiting

    def _wake_reader(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self.connected: Deferred[ServerConnection] = Deferred(self._cancel)
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> ServerConnection:  # noqa: N802
        connection = self._connection
        connected, self.connected = self.connected, None

        def on_connected() -> None:
            connection.transport.setTcpNoDelay(True)
            connected.callback(connection)

        connection.connectionMade = on_connected
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
        Opens connections and measures how long each was idle.
    max_idle : int
        Maximum number of idle connections kept per address.
    """

    def __init__(self, reactor: Any, *, max_idle: int = 4) -> None:
        self._reactor: IReactorTCP | IReactorTime = reactor
        self._max_idle = max_idle
        self._idle_by_address: dict[str, deque[ServerConnection]] = {}
        self.opened_count = 0

    def acquire_connection(
        self,
        address: str,
        *,
        max_idle_seconds: float,
        timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> "Deferred[ServerConnection]":
        """Return a connection idle for at most ``max_idle_seconds``, or a new one.

        With 0 it is always a new one, on which no earlier answer can arrive.
        Fails with ``BackendUnreachableError`` if no connection can be opened.
        """
        now = self._reactor.seconds()
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            idle_limit = max_idle_seconds
            if connection.keep_alive_seconds is not None:
                # Half a second for the request to arrive before the server times out.
                idle_limit = min(idle_limit, connection.keep_alive_seconds - 0.5)
            idle_for = now - connection.idle_since
            if (
                max_idle_seconds > 0
                and idle_for <= idle_limit
                and connection.reusable()
            ):
                return succeed(connection)
            connection.abort()
        return self._open(address, timeout)

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool, or abort it if it cannot be reused."""
        if not connection.reusable():
            connection.abort()
            return
        connection.idle_since = self._reactor.seconds()
        idle = self._idle_by_address.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.popleft().abort()

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()

    def _open(self, address: str, timeout: float) -> "Deferred[ServerConnection]":
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            text = f"address {address!r} is not HOST:PORT"
            return fail(BackendUnreachableError(text, step="connect", peer=address))
        self.opened_count += 1
        factory = _ConnectionFactory(ServerConnection(address, self._remove_idle))
        connected = factory.connected
        factory.connector = self._reactor.connectTCP(
            host, int(port), factory, timeout=timeout
        )
        return connected

    def _remove_idle(self, connection: ServerConnection) -> None:
        idle = self._idle_by_address.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
