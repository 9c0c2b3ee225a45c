"""Tests of the HTTP server: framing, limits, disconnecting callers and draining."""

from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pomeloglade.state.connection_limits import ConnectionLimits
from pomeloglade.transport.http_site import HttpSite


class Transport(StringTransport):
    """Records how the connection was closed."""

    aborted = False
    half_closed = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True

    def loseWriteConnection(self):  # noqa: N802
        self.half_closed = True


@dataclass
class Handler:
    """Collects requests for the test to answer."""

    requests: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    draining: bool = False

    def limits(self):
        return ConnectionLimits(
            max_header_bytes=500,
            max_body_bytes=100,
            header_timeout=timedelta(seconds=3),
            idle_timeout=timedelta(seconds=15),
        )

    def is_draining(self):
        return self.draining

    def handle(self, head, body, responder):
        self.requests.append((head, body, responder))
        return Deferred(lambda _: self.cancelled.append(head.target))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def rejected():
    return []


@pytest.fixture
def connect(clock, handler, rejected):
    site = HttpSite(handler, clock, lambda *each: rejected.append(each))

    def make():
        connection = site.buildProtocol(None)
        transport = Transport()
        connection.makeConnection(transport)
        return connection, transport

    make.site = site
    return make


def get(target="/a", extra=""):
    return f"GET {target} HTTP/1.1\r\nHost: h\r\n{extra}\r\n".encode()


def post(body, target="/a"):
    head = f"POST {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_connection_serves_the_next_request_after_a_complete_response(
    connect, handler, clock
):
    connection, transport = connect()
    connection.dataReceived(get("/1"))
    handler.requests[0][2].answer(200, ((b"X-A", b"1"),), b"one")
    value = transport.value()
    assert value.startswith(b"HTTP/1.1 200")
    assert value.endswith(b"Content-Length: 3\r\n\r\none")
    connection.dataReceived(get("/2"))
    assert [head.target for head, _, _ in handler.requests] == [b"/1", b"/2"]


def test_pipelined_request_is_handled_after_the_earlier_response(
    connect, handler, clock
):
    connection, _ = connect()
    connection.dataReceived(get("/1") + get("/2"))
    assert len(handler.requests) == 1
    handler.requests[0][2].answer(200, (), b"")
    clock.advance(0)
    assert [head.target for head, _, _ in handler.requests] == [b"/1", b"/2"]


def test_split_body_and_chunked_body_are_reassembled(connect, handler):
    connection, _ = connect()
    for byte in post(b"hello"):
        connection.dataReceived(bytes([byte]))
    assert handler.requests[0][1] == b"hello"
    other, _ = connect()
    chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    other.dataReceived(chunked + b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")
    assert handler.requests[1][1] == b"hello"


def test_request_inside_a_body_is_not_parsed_as_a_request(connect, handler):
    connection, _ = connect()
    inner = get("/smuggled")
    connection.dataReceived(post(inner))
    assert [(h.target, body) for h, body, _ in handler.requests] == [(b"/a", inner)]


def test_request_with_content_length_and_transfer_encoding_is_rejected(
    connect, handler, rejected
):
    connection, transport = connect()
    connection.dataReceived(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    )
    assert handler.requests == []
    assert transport.value().startswith(b"HTTP/1.1 400")
    assert rejected[0][0] == 400


def test_response_without_a_length_is_written_in_chunks_at_once(connect, handler):
    connection, transport = connect()
    connection.dataReceived(get())
    responder = handler.requests[0][2]
    responder.write_head(200, ())
    responder.write(b"one")
    assert transport.value().endswith(b"3\r\none\r\n")
    responder.end()
    assert transport.value().endswith(b"0\r\n\r\n")


def test_aborted_response_has_no_final_chunk(connect, handler):
    connection, transport = connect()
    connection.dataReceived(get())
    responder = handler.requests[0][2]
    responder.write_head(200, ())
    responder.write(b"one")
    responder.abort_response()
    assert transport.disconnecting
    assert not transport.value().endswith(b"0\r\n\r\n")


# Guards against a broken-off answer that looks complete to an HTTP/1.0 caller.
def test_aborted_response_that_would_end_with_its_connection_is_reset(connect, handler):
    protocol, transport = connect()
    protocol.dataReceived(b"GET /a HTTP/1.0\r\n\r\n")
    responder = handler.requests[0][2]
    responder.write_head(200, ())
    responder.write(b"half")
    responder.abort_response()
    assert transport.aborted
    assert not transport.disconnecting


def test_response_to_an_http_1_0_caller_ends_with_its_connection(connect, handler):
    protocol, transport = connect()
    protocol.dataReceived(b"GET /a HTTP/1.0\r\n\r\n")
    responder = handler.requests[0][2]
    responder.write_head(200, ())
    responder.write(b"all")
    responder.end()
    assert transport.value().endswith(b"\r\n\r\nall")
    assert transport.disconnecting
    assert not transport.aborted


def test_request_is_cancelled_when_its_caller_disconnects(connect, handler):
    connection, _ = connect()
    connection.dataReceived(get("/1"))
    connection.connectionLost(Failure(ConnectionDone()))
    assert handler.cancelled == [b"/1"]


def test_incomplete_head_is_rejected_after_the_header_timeout(connect, clock, handler):
    connection, transport = connect()
    connection.dataReceived(b"GET /a HTTP/1.1\r\nHost")
    clock.advance(1.5)
    connection.dataReceived(b": h\r\n")
    clock.advance(1.4)
    assert transport.value() == b""
    clock.advance(0.2)
    assert transport.value().startswith(b"HTTP/1.1 408")
    assert transport.half_closed
    clock.advance(3)
    assert transport.aborted
    assert handler.requests == []


def test_idle_connection_is_closed_at_the_idle_timeout_and_not_before(
    connect, clock, handler
):
    connection, transport = connect()
    connection.dataReceived(get())
    handler.requests[0][2].answer(200, (), b"")
    clock.advance(14.9)
    assert not transport.disconnecting
    clock.advance(0.2)
    assert transport.disconnecting


def test_idle_timeout_does_not_apply_while_a_request_is_in_progress(
    connect, clock, handler
):
    connection, transport = connect()
    connection.dataReceived(get())
    clock.advance(60)
    assert not transport.disconnecting
    handler.requests[0][2].answer(200, (), b"late")
    assert transport.value().endswith(b"late")


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (get(extra="X: " + "y" * 600 + "\r\n"), b"431"),
        (post(b"z" * 101), b"413"),
        (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"65\r\n" + b"z" * 101 + b"\r\n",
            b"413",
        ),
        (b"NONSENSE\r\n\r\n", b"400"),
    ],
)
def test_invalid_or_too_large_request_gets_an_error_status_and_is_closed(
    connect, handler, request_bytes, status
):
    connection, transport = connect()
    connection.dataReceived(request_bytes)
    assert transport.value().startswith(b"HTTP/1.1 " + status)
    assert transport.half_closed
    assert handler.requests == []


def test_draining_site_sends_connection_close_and_closes_idle_connections(
    connect, handler, clock
):
    busy, busy_transport = connect()
    _, idle_transport = connect()
    busy.dataReceived(get())
    handler.draining = True
    connect.site.close_idle()
    assert idle_transport.disconnecting
    assert not busy_transport.disconnecting
    handler.requests[0][2].answer(200, (), b"last")
    assert b"Connection: close" in busy_transport.value()
    assert busy_transport.disconnecting


def test_connection_whose_response_began_before_the_drain_is_closed_at_its_end(
    connect, handler
):
    connection, transport = connect()
    connection.dataReceived(get())
    responder = handler.requests[0][2]
    responder.write_head(200, ())
    handler.draining = True
    responder.write(b"last")
    assert not transport.disconnecting
    responder.end()
    assert transport.disconnecting
    connection.dataReceived(get())
    assert len(handler.requests) == 1


def test_wait_writable_waits_while_the_transport_is_paused(connect, handler):
    connection, _ = connect()
    connection.dataReceived(get())
    responder = handler.requests[0][2]
    responder.write_head(200, ())
    connection.pauseProducing()
    waiting = responder.wait_writable()
    assert not waiting.called
    connection.resumeProducing()
    assert waiting.called
