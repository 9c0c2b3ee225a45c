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
from .responder import Responder
from .send_buffer import SendBuffer
from .unread_responses import UnreadResponses

MAX_PARSED_HEAD_BYTES = 65_536
"""Upper bound on the size of a request head, even if the configured limit is higher."""

MAX_PIPELINED_BYTES = 1_048_576
"""Bytes that a caller may send ahead while its request is being processed."""

SMALL_BODY_BYTES = 16_384
"""Size up to which a request body is received without being counted."""

TRANSPORT_BUFFER_BYTES = 16_384
"""Size above which the transport tells that it is full, and later that it is empty."""

MAX_UNREAD_BYTES = 256 * 1024
"""What a caller may leave unread before the response's source is no longer read. It is
more than a usual stream has altogether."""

MAX_UNREAD_SECONDS = 3.0
"""Time without progress after which a response whose source waits for its caller is
broken off. Backend servers cut off what is left unread for some seconds, and hold a
slot meanwhile."""

MAX_STALL_SECONDS = 30.0
"""Time without progress after which the rest of a complete response is dropped."""

MEMORY_RETRY_AFTER = b"1"
"""Retry delay in seconds of a request that there is no memory for."""

LINGER_SECONDS = 2.0
"""Time for which a caller that was rejected may send nothing before it is reset."""

MAX_LINGER_SECONDS = 30.0
"""Time for which what such a caller sends is read at most. Without reading it, the
rejection would be lost with the reset of the connection."""


class Handler(Interface):
    """Handles requests that have been received completely."""

    def limits(self) -> ConnectionLimits:
        """Return the connection limits in force."""

    def is_draining(self) -> bool:
        """Return whether responses are to carry ``Connection: close``."""

    def handle(
        self, head: RequestHead, body: bytes, responder: Responder
    ) -> "Deferred[None]":
        """Handle a request; the result is cancelled if the caller disconnects."""


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
        self._output: SendBuffer | None = None
        self._on_sent: Callable[[], None] | None = None
        self._resumed: Deferred[None] | None = None
        self._unread_timer: Any = None
        self._closing = False
        self._lingers_until = 0.0
        self.arrived = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and start the idle timer."""
        self._site.connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = TRANSPORT_BUFFER_BYTES
        self._output = SendBuffer(self.transport.write)
        self.transport.registerProducer(self, True)
        self._start_idle_timer()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes of requests."""
        if self._closing:
            self._linger()
            return
        if self._task is None and self._head is None and not self._has_unparsed_bytes():
            self._start_head_timer()
        if (self._task is not None or self._on_sent is not None) and len(
            self._h11.trailing_data[0]
        ) > MAX_PIPELINED_BYTES:
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
        self._drop_output()
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
        """Close once all is sent, with a reset if the caller reads nothing for long.

        A response in progress must not look complete. It is reset towards an HTTP/1.0
        caller, for whom the connection's end is that of the response.
        """
        self._closing = True
        self._cancel_timer()
        unfinished = self._h11.our_state is h11.SEND_BODY
        if unfinished and self._h11.their_http_version == b"1.0":
            self._when_sent(self._abort)
            return
        self._when_sent(self._lose_connection)

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
        self._send(h11.Data(data=data))

    def end(self) -> None:
        """Complete a response, then close or wait for the next request."""
        self._task = None
        self._release_request()
        if self._closing:
            return
        self._send(h11.EndOfMessage())
        self._when_sent(self._finish_response)

    def _finish_response(self) -> None:
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

    def hold_unread(self, *, repeatable: bool) -> None:
        """Count what the transport has no room for, and bound it over all callers."""
        responses = self._site.responses
        if responses is None or not self._output.paused:
            return
        owner = self._site.owner_of(self._head)
        responses.hold(self, owner, self._output.unsent, repeatable=repeatable)

    def break_off(self) -> None:
        """Reset the connection and drop what it holds."""
        self._closing = True
        self._drop_output()
        self._abort()

    def wait_writable(self) -> "Deferred[None]":
        """Wait while the caller leaves too much unread.

        What fits into memory need not be waited for: a source that is not read may
        break off its response. A caller that reads nothing for ``MAX_UNREAD_SECONDS``
        is disconnected.
        """
        if not self._output.paused or self._holds_unread():
            return succeed(None)
        if self._resumed is None:
            self._resumed = Deferred()
            self._start_unread_timer()
        waiting: Deferred[None] = Deferred()
        self._resumed.chainDeferred(waiting)
        return waiting

    def pauseProducing(self) -> None:  # noqa: N802
        """Keep what is written from now on: the transport is full."""
        self._output.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write on, and tell those that wait for it: the transport is empty."""
        self._output.resume()
        if self._site.responses is not None:
            self._site.responses.record_read(self, self._output.unsent)
        if self._unread_timer is not None:
            self._start_unread_timer()
        if self._output.paused:
            if self._on_sent is not None:
                self._start_timer(MAX_STALL_SECONDS, self._abort)
            if self._resumed is not None and self._holds_unread():
                self._resume_source()
            return
        if self._site.memory is not None:
            self._site.memory.release(("response", self))
        self._resume_source()
        on_sent, self._on_sent = self._on_sent, None
        if on_sent is not None:
            self._cancel_timer()
            on_sent()

    def _start_unread_timer(self) -> None:
        self._cancel_unread_timer()
        if self._site.memory is not None:
            self._unread_timer = self._clock.callLater(MAX_UNREAD_SECONDS, self._abort)

    def _cancel_unread_timer(self) -> None:
        timer, self._unread_timer = self._unread_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _resume_source(self) -> None:
        self._cancel_unread_timer()
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.callback(None)

    def _when_sent(self, callback: Callable[[], None]) -> None:
        """Call back once all is sent, however slowly the caller reads."""
        self._cancel_unread_timer()
        if not self._output.paused:
            callback()
            return
        self._on_sent = callback
        self._start_timer(MAX_STALL_SECONDS, self._abort)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` follows."""

    def _holds_unread(self) -> bool:
        """Return whether the unread part of the response may be held."""
        memory = self._site.memory
        unread = self._output.unsent
        if memory is None or unread > MAX_UNREAD_BYTES:
            return False
        owner = self._site.owner_of(self._head) if self._head is not None else ""
        return memory.try_hold(("response", self), owner, unread)

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

    def _drop_output(self) -> None:
        self._on_sent = None
        self._output.clear()
        if self._site.responses is not None:
            self._site.responses.release(self)

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
        self._when_sent(self._half_close)

    def _half_close(self) -> None:
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._lingers_until = self._clock.seconds() + MAX_LINGER_SECONDS
        self._linger()

    def _linger(self) -> None:
        """Wait on for the end of what a rejected caller sends."""
        left = self._lingers_until - self._clock.seconds()
        if left > 0:
            self._start_timer(min(left, LINGER_SECONDS), self._abort)

    def _lose_connection(self) -> None:
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._start_timer(MAX_STALL_SECONDS, self._abort)

    def _send(self, event: Any) -> None:
        data = self._h11.send(event)
        if data:
            self._output.write(data)

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
    responses : UnreadResponses or None
        Bounds what is held of complete responses.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: IReactorTime,
        on_reject: Callable[[int, str], None],
        memory: HeldMemory | None = None,
        owner_of: Callable[[RequestHead], str] = lambda head: "",
        responses: UnreadResponses | None = None,
    ) -> None:
        self.handler = handler
        self.responses = responses
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
