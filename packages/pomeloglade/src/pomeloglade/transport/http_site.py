"""HTTP/1.1 server for callers, with limits on connections and requests."""

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
from .held_memory import HeldMemory
from .http_exchange import Headers, RequestHead

MAX_PARSED_HEAD_BYTES = 65_536
"""Upper bound on the size of a request head, even if the configured limit is higher."""

MAX_PIPELINED_BYTES = 1_048_576
"""Bytes that a caller may send ahead while its request is being processed."""

SMALL_BODY_BYTES = 16_384
"""Size up to which a request body is received without being counted."""

MAX_UNREAD_BYTES = 256 * 1024
"""What a caller may leave unread, beside the transport's buffer, before the response's
source is no longer read. It is more than a usual stream has altogether."""

MAX_UNREAD_SECONDS = 3.0
"""Time after which a response that its caller does not read is broken off. Backend
servers cut off what is left unread for some seconds, and hold a slot meanwhile."""

MEMORY_RETRY_AFTER = b"1"
"""Retry delay in seconds of a request that there is no memory for."""

CLOSE_TIMEOUT_SECONDS = 2.0
"""Time that a closing connection has to flush its response before it is reset."""


class Handler(Interface):
    """Handles requests that have been received completely."""

    def limits(self) -> ConnectionLimits:
        """Return the connection limits in force."""

    def is_draining(self) -> bool:
        """Return whether responses are to carry ``Connection: close``."""

    def handle(
        self, head: RequestHead, body: bytes, responder: "Responder"
    ) -> "Deferred[None]":
        """Handle a request; the result is cancelled if the caller disconnects."""


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "CallerConnection", started: float) -> None:
        self._connection = connection
        self.started = started
        self.head_sent = False
        self.done = False
        self.status = 0

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        length = ((b"Content-Length", b"%d" % len(body)),)
        self.write_head(status, headers + length)
        if body:
            self.write(body)
        self.end()

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head; the body is chunked if there is no ``Content-Length``."""
        self.head_sent = True
        self.status = status
        self._connection.write_head(status, headers)

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self._connection.write(data)

    def end(self) -> None:
        """Complete the body."""
        self.done = True
        self._connection.end()

    def abort_response(self) -> None:
        """Close the connection without completing the response."""
        self.done = True
        self._connection.abort_response()

    def wait_writable(self) -> "Deferred[None]":
        """Wait until the write buffer has room again."""
        return self._connection.wait_writable()


@implementer(IPushProducer)
class CallerConnection(Protocol):
    """A caller's connection, which serves one request at a time within the limits."""

    def __init__(self, site: "HttpSite", clock: IReactorTime) -> None:
        self._site = site
        self._clock = clock
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_PARSED_HEAD_BYTES
        )
        self._head: RequestHead | None = None
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._task: Deferred[None] | None = None
        self._responder: Responder | None = None
        self._timer: Any = None
        self._resumed: Deferred[None] | None = None
        self._unread_bytes = 0
        self._unread_timer: Any = None
        self._closing = False
        self.arrived = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start the idle timer."""
        self._site.connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._start_idle_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes of requests."""
        if self._closing:
            return
        if self._task is None and self._head is None and not self._has_unparsed_bytes():
            self._start_head_timer()
        if (
            self._task is not None
            and len(self._h11.trailing_data[0]) > MAX_PIPELINED_BYTES
        ):
            self.close()
            return
        try:
            self._h11.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint or 400, str(error))

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancel the request in progress, as its caller has disconnected."""
        self._site.connections.discard(self)
        self._closing = True
        self._cancel_timer()
        self.resumeProducing()
        self._release_request()
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    def idle(self) -> bool:
        """Return whether no byte was received since the last response."""
        return (
            self._task is None and self._head is None and not self._has_unparsed_bytes()
        )

    def close(self) -> None:
        """Flush the write buffer and close, with a reset after a timeout.

        A response in progress must not look complete. It is reset towards an HTTP/1.0
        caller, for whom the connection's end is that of the response.
        """
        self._closing = True
        self._cancel_timer()
        unfinished = self._h11.our_state is h11.SEND_BODY
        if unfinished and self._h11.their_http_version == b"1.0":
            self._abort()
            return
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._timer = self._clock.callLater(CLOSE_TIMEOUT_SECONDS, self._abort)

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head of a response."""
        if self._closing:
            return
        if self._site.handler.is_draining():
            headers = (*headers, (b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=list(headers)))

    def write(self, data: bytes) -> None:
        """Write a part of a response body."""
        if self._closing:
            return
        if self._resumed is not None:
            self._unread_bytes += len(data)
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """Complete a response, then close or wait for the next request."""
        self._task = None
        self._release_request()
        if self._closing:
            return
        self._send(h11.EndOfMessage())
        reusable = self._h11.our_state is self._h11.their_state is h11.DONE
        # The head of a long response may have been sent before the drain began.
        if not reusable or self._site.handler.is_draining():
            self.close()
            return
        self._h11.start_next_cycle()
        self._head = None
        self._start_idle_timer()
        # A pipelined request may already be buffered.
        self._clock.callLater(0, self._parse_next_request)

    def abort_response(self) -> None:
        """Close the connection in the middle of a response."""
        self._task = None
        if not self._closing:
            self.close()

    def wait_writable(self) -> "Deferred[None]":
        """Wait while the caller leaves too much unread.

        What fits into memory need not be waited for: a source that is not read may
        break off its response. A caller that reads nothing for ``MAX_UNREAD_SECONDS``
        is disconnected.
        """
        if self._resumed is None or self._holds_unread():
            return succeed(None)
        if self._unread_timer is None and self._site.memory is not None:
            self._unread_timer = self._clock.callLater(MAX_UNREAD_SECONDS, self._abort)
        waiting: Deferred[None] = Deferred()
        self._resumed.chainDeferred(waiting)
        return waiting

    def pauseProducing(self) -> None:  # noqa: N802
        """Make ``wait_writable`` wait: the write buffer is full."""
        if self._resumed is None:
            self._resumed = Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        """Fire the Deferreds of ``wait_writable``: the write buffer has room."""
        resumed, self._resumed = self._resumed, None
        self._unread_bytes = 0
        timer, self._unread_timer = self._unread_timer, None
        if timer is not None and timer.active():
            timer.cancel()
        if self._site.memory is not None:
            self._site.memory.release(("response", self))
        if resumed is not None:
            resumed.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` follows."""

    def _holds_unread(self) -> bool:
        """Return whether the unread part of the response may be held."""
        memory = self._site.memory
        if memory is None or self._unread_bytes > MAX_UNREAD_BYTES:
            return False
        owner = self._site.owner_of(self._head) if self._head is not None else ""
        return memory.try_hold(("response", self), owner, self._unread_bytes)

    def _holds_body(self) -> bool:
        """Return whether the request body received so far may be held."""
        memory = self._site.memory
        if memory is None or self._body_bytes <= SMALL_BODY_BYTES:
            return True
        owner = self._site.owner_of(self._head)
        return memory.try_hold(("request", self), owner, self._body_bytes)

    def _release_request(self) -> None:
        if self._site.memory is not None:
            self._site.memory.release(("request", self))

    def _has_unparsed_bytes(self) -> bool:
        return bool(self._h11.trailing_data[0])

    def _parse_next_request(self) -> None:
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
                self._receive_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._serve()
            elif isinstance(event, h11.ConnectionClosed):
                self.close()

    def _begin_request(self, event: h11.Request) -> None:
        headers = tuple((bytes(n), bytes(v)) for n, v in event.headers.raw_items())
        self._head = RequestHead(bytes(event.method), bytes(event.target), headers)
        self._start_body_timer()
        self._body_chunks = []
        self._body_bytes = 0
        limits = self._site.handler.limits()
        size = len(event.target) + sum(len(n) + len(v) + 4 for n, v in headers)
        names = [name.lower() for name, _ in headers]
        if size > limits.max_header_bytes:
            self._reject(431, f"request head has {size} bytes")
        elif b"transfer-encoding" in names and b"content-length" in names:
            self._reject(400, "both Transfer-Encoding and Content-Length are given")
        else:
            for name, value in event.headers:
                if name == b"content-length" and int(value) > limits.max_body_bytes:
                    self._reject(413, f"request body has {int(value)} bytes")

    def _receive_body(self, data: bytes) -> None:
        self._start_body_timer()
        self._body_bytes += len(data)
        if self._body_bytes > self._site.handler.limits().max_body_bytes:
            self._reject(413, f"request body has at least {self._body_bytes} bytes")
            return
        if not self._holds_body():
            self._reject(503, "memory", ((b"Retry-After", MEMORY_RETRY_AFTER),))
            return
        self._body_chunks.append(data)

    def _serve(self) -> None:
        self._cancel_timer()
        head, body = self._head, b"".join(self._body_chunks)
        self._body_chunks = []
        responder = Responder(self, self._clock.seconds())
        task = self._site.handler.handle(head, body, responder)
        if not responder.done:
            self._task = task

    def _reject(self, status: int, reason: str, headers: Headers = ()) -> None:
        """Respond to a request that is not handled with an error status, and close."""
        self._body_chunks = []
        self._release_request()
        self._site.on_reject(status, reason)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            closing = ((b"Content-Length", b"0"), (b"Connection", b"close"))
            sent = [*headers, *closing]
            self._send(h11.Response(status_code=status, headers=sent))
            self._send(h11.EndOfMessage())
        self._close_write_side()

    def _close_write_side(self) -> None:
        """Half-close, as closing with unread input would reset the connection."""
        self._closing = True
        self._cancel_timer()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._timer = self._clock.callLater(CLOSE_TIMEOUT_SECONDS, self._abort)

    def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            self.transport.write(data)

    def _start_idle_timer(self) -> None:
        limit = self._site.handler.limits().idle_timeout.total_seconds()
        self._start_timer(limit, self.close)

    def _start_head_timer(self) -> None:
        limit = self._site.handler.limits().header_timeout.total_seconds()
        self._start_timer(
            limit,
            lambda: self._reject(
                408, f"request head did not arrive within {limit:g} s"
            ),
        )

    def _start_body_timer(self) -> None:
        limit = self._site.handler.limits().idle_timeout.total_seconds()
        self._start_timer(
            limit,
            lambda: self._reject(408, f"no byte of the request body for {limit:g} s"),
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
    """Builds a ``CallerConnection`` for each accepted connection.

    Parameters
    ----------
    memory : HeldMemory or None
        Bounds what is held of request bodies and unread responses.
    owner_of : callable
        Returns the client account that a request's memory counts for.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: IReactorTime,
        on_reject: Callable[[int, str], None],
        memory: HeldMemory | None = None,
        owner_of: Callable[[RequestHead], str] = lambda head: "",
    ) -> None:
        self.handler = handler
        self.memory = memory
        self.owner_of = owner_of
        self.on_reject = on_reject
        self.connections: set[CallerConnection] = set()
        self._clock = clock

    def buildProtocol(self, addr: object) -> CallerConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._clock)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for each in list(self.connections):
            if each.idle():
                each.close()
