"""The HTTP/1.1 server that callers connect to, with its limits on connections."""

from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

import h11
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IPushProducer, IReactorTime
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from ..state.connection_limits import ConnectionLimits
from .http_exchange import Headers, RequestHead

HARD_HEADER_BYTES = 65_536
"""Bytes of a head that are parsed at all, whatever the configuration allows."""

MAX_PIPELINED = 1_048_576
"""Bytes that a caller may send ahead while its request is in work."""

CLOSING_SECONDS = 2.0
"""How long a connection that is being closed may take to flush its answer."""


class Handler(Interface):
    """Serves complete requests."""

    def limits(self) -> ConnectionLimits:
        """Return the limits in force."""

    def closing(self) -> bool:
        """Whether answers shall ask callers to leave their connections."""

    def handle(
        self, head: RequestHead, body: bytes, responder: "Responder"
    ) -> "Deferred[None]":
        """Serve a request; cancelling the result means that the caller left."""


class Responder:
    """Writes the answer of one request."""

    def __init__(self, connection: "CallerConnection", started: float) -> None:
        self._connection = connection
        self.started = started
        self.begun = False
        self.done = False
        self.status = 0

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        length = ((b"Content-Length", b"%d" % len(body)),)
        self.begin(status, headers + length)
        if body:
            self.write(body)
        self.end()

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head; without a ``Content-Length`` the body goes in chunks."""
        self.begun = True
        self.status = status
        self._connection.begin(status, headers)

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self._connection.write(data)

    def end(self) -> None:
        """End a complete body."""
        self.done = True
        self._connection.end()

    def cut(self) -> None:
        """Close the connection without completing the answer."""
        self.done = True
        self._connection.cut()

    def drained(self) -> "Deferred[None]":
        """Wait until the caller has read most of what was written."""
        return self._connection.drained()


@implementer(IPushProducer)
class CallerConnection(Protocol):
    """A caller's connection: one request at a time, within the limits."""

    def __init__(self, site: "HttpSite", clock: IReactorTime) -> None:
        self._site = site
        self._clock = clock
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HARD_HEADER_BYTES
        )
        self._head: RequestHead | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._task: Deferred[None] | None = None
        self._responder: Responder | None = None
        self._timer: Any = None
        self._paused: Deferred[None] | None = None
        self._closing = False
        self.arrived = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle timer."""
        self._site.connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._wait_idle()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes of requests."""
        if self._closing:
            return
        if self._task is None and self._head is None and not self._started():
            self._wait_head()
        if self._task is not None and len(self._h11.trailing_data[0]) > MAX_PIPELINED:
            self.close()
            return
        try:
            self._h11.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint or 400, str(error))

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Tell the request in work that its caller has left."""
        self._site.connections.discard(self)
        self._closing = True
        self._cancel_timer()
        self.resumeProducing()
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    def idle(self) -> bool:
        """Whether no byte of a request has been read since the last answer."""
        return self._task is None and self._head is None and not self._started()

    def close(self) -> None:
        """Close after what has been written is flushed."""
        self._closing = True
        self._cancel_timer()
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._timer = self._clock.callLater(CLOSING_SECONDS, self._abort)

    def begin(self, status: int, headers: Headers) -> None:
        """Write an answer's head."""
        if self._closing:
            return
        if self._site.handler.closing():
            headers = (*headers, (b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=list(headers)))

    def write(self, data: bytes) -> None:
        """Write a part of an answer's body."""
        if not self._closing:
            self._send(h11.Data(data=data))

    def end(self) -> None:
        """Complete an answer, and close or wait for the next request."""
        self._task = None
        if self._closing:
            return
        self._send(h11.EndOfMessage())
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.close()
            return
        self._h11.start_next_cycle()
        self._head = None
        self._wait_idle()
        # The next request may have arrived behind this one already.
        self._clock.callLater(0, self._parse_safely)

    def cut(self) -> None:
        """End the connection in the midst of an answer."""
        self._task = None
        if not self._closing:
            self.close()

    def drained(self) -> "Deferred[None]":
        """Wait while the transport's buffer is full."""
        if self._paused is None:
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self._paused.chainDeferred(waiting)
        return waiting

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller reads slowly."""
        if self._paused is None:
            self._paused = Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller has caught up."""
        paused, self._paused = self._paused, None
        if paused is not None:
            paused.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` follows."""

    def _started(self) -> bool:
        return bool(self._h11.trailing_data[0])

    def _parse_safely(self) -> None:
        if self._closing or self._task is not None:
            return
        try:
            self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint or 400, str(error))

    def _parse(self) -> None:
        while not self._closing and self._task is None:
            event = self._h11.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                if self._h11.they_are_waiting_for_100_continue:
                    self._send(h11.InformationalResponse(status_code=100, headers=[]))
                return
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._take_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._serve()
            elif isinstance(event, h11.ConnectionClosed):
                self.close()

    def _begin_request(self, event: h11.Request) -> None:
        headers = tuple((bytes(n), bytes(v)) for n, v in event.headers.raw_items())
        self._head = RequestHead(bytes(event.method), bytes(event.target), headers)
        self._wait_body()
        self._body = []
        self._body_bytes = 0
        limits = self._site.handler.limits()
        size = len(event.target) + sum(len(n) + len(v) + 4 for n, v in headers)
        names = [name.lower() for name, _ in headers]
        if size > limits.max_header_bytes:
            self._reject(431, f"head has {size} bytes")
        elif b"transfer-encoding" in names and b"content-length" in names:
            self._reject(400, "both Transfer-Encoding and Content-Length are given")
        else:
            for name, value in event.headers:
                if name == b"content-length" and int(value) > limits.max_body_bytes:
                    self._reject(413, f"body has {int(value)} bytes")

    def _take_body(self, data: bytes) -> None:
        self._wait_body()
        self._body_bytes += len(data)
        if self._body_bytes > self._site.handler.limits().max_body_bytes:
            self._reject(413, f"body has over {self._body_bytes} bytes")
            return
        self._body.append(data)

    def _serve(self) -> None:
        self._cancel_timer()
        head, body = self._head, b"".join(self._body)
        self._body = []
        responder = Responder(self, self._clock.seconds())
        task = self._site.handler.handle(head, body, responder)
        if not responder.done:
            self._task = task

    def _reject(self, status: int, reason: str) -> None:
        """Answer a request that can't be served, and close."""
        self._site.on_reject(status, reason)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.EndOfMessage())
        self._close_after_reading()

    def _close_after_reading(self) -> None:
        """Close for writing first: unread bytes would reset the answer away."""
        self._closing = True
        self._cancel_timer()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._timer = self._clock.callLater(CLOSING_SECONDS, self._abort)

    def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            self.transport.write(data)

    def _wait_idle(self) -> None:
        limit = self._site.handler.limits().idle_timeout.total_seconds()
        self._start_timer(limit, self.close)

    def _wait_head(self) -> None:
        limit = self._site.handler.limits().header_timeout.total_seconds()
        self._start_timer(
            limit, lambda: self._reject(408, "request was not complete in time")
        )

    def _wait_body(self) -> None:
        limit = self._site.handler.limits().idle_timeout.total_seconds()
        self._start_timer(
            limit, lambda: self._reject(408, "request's body stopped arriving")
        )

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._clock.callLater(seconds, callback)

    def _cancel_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _abort(self) -> None:
        self.transport.abortConnection()


class HttpSite(Factory):
    """Makes a ``CallerConnection`` for each connection."""

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: IReactorTime,
        on_reject: Callable[[int, str], None],
    ) -> None:
        self.handler = handler
        self.on_reject = on_reject
        self.connections: set[CallerConnection] = set()
        self._clock = clock

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._clock)

    def close_idle(self) -> None:
        """Close the connections on which no request is in work."""
        for each in list(self.connections):
            if each.idle():
                each.close()
