"""Callers that read their responses slowly, after a pause, or not at all."""

import pytest
from tests.test_http_site import Handler, Transport, get, post
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from pomeloglade.transport.held_memory import HeldMemory
from pomeloglade.transport.http_site import HttpSite

MEGABYTE = 1024 * 1024
READ_BYTES = 40_000


class SlowTransport(Transport):
    """A transport whose peer reads only when it is told to."""

    bufferSize = 65_536  # noqa: N815

    def __init__(self):
        super().__init__()
        self.unread = bytearray()
        self.received = bytearray()
        self.closed = False
        self._full = False

    def write(self, data):
        self.unread += data
        if self.producer is not None and len(self.unread) > self.bufferSize:
            self._full = True
            self.producer.pauseProducing()

    def read(self, size=READ_BYTES):
        """Let the peer read so much."""
        assert not self.aborted
        self.received += self.unread[:size]
        del self.unread[:size]
        if self.unread:
            return
        if self._full and self.producer is not None:
            self._full = False
            self.producer.resumeProducing()
        if self.disconnecting and not self.unread:
            self.closed = True


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def memory():
    return HeldMemory(8 * MEGABYTE)


@pytest.fixture
def connect(clock, handler, memory):
    site = HttpSite(handler, clock, lambda *_: None, memory)

    def make():
        connection = site.buildProtocol(None)
        transport = SlowTransport()
        connection.makeConnection(transport)
        return connection, transport

    make.site = site
    return make


def read_slowly(transport, clock, size, pause=2.5):
    """Read until the body has so many bytes, with a pause before each part."""
    while transport.received.count(b"x") < size:
        clock.advance(pause)
        transport.read()


def begin(connect, handler, request=None):
    connection, transport = connect()
    connection.dataReceived(request or get())
    return connection, transport, handler.requests[-1][2]


# On SIGTERM, answers that callers read after a pause were reset after two seconds.
@pytest.mark.parametrize(
    "request_bytes",
    [get(), get(extra="Connection: close\r\n"), b"GET /a HTTP/1.0\r\n\r\n"],
    ids=["draining", "connection close", "HTTP/1.0"],
)
def test_closing_connection_is_not_reset_while_its_caller_reads(
    connect, handler, clock, request_bytes
):
    handler.draining = b"close" not in request_bytes and b"1.0" not in request_bytes
    _, transport, responder = begin(connect, handler, request_bytes)
    responder.answer(200, (), b"x" * MEGABYTE)
    read_slowly(transport, clock, MEGABYTE)
    assert transport.closed


# An answer that took longer to read than the idle timeout was reset.
def test_answer_that_is_read_for_longer_than_the_idle_timeout_is_not_cut(
    connect, handler, clock
):
    connection, transport, responder = begin(connect, handler)
    responder.answer(200, (), b"x" * MEGABYTE)
    read_slowly(transport, clock, MEGABYTE)
    assert not transport.disconnecting
    connection.dataReceived(get())
    assert len(handler.requests) == 2


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("size", [50_000, MEGABYTE])
def test_caller_that_never_reads_is_disconnected(
    connect, handler, clock, draining, size
):
    handler.draining = draining
    _, transport, responder = begin(connect, handler)
    responder.answer(200, (), b"x" * size)
    clock.pump([1.0] * 60)
    assert transport.aborted


# A stream's caller that read on was cut off three seconds after its source waited.
def test_stream_is_not_broken_off_while_its_caller_reads(connect, handler, clock):
    _, transport, responder = begin(connect, handler)
    responder.write_head(200, ())
    responder.write(b"x" * MEGABYTE)
    waiting = responder.wait_writable()
    assert not waiting.called
    while not waiting.called:
        clock.advance(2.0)
        transport.read()
    clock.advance(2.0)
    assert not transport.aborted


# What was ready of a stream that broke off was dropped after two seconds.
def test_aborted_response_delivers_what_is_ready(connect, handler, clock):
    _, transport, responder = begin(connect, handler)
    responder.write_head(200, ())
    responder.write(b"x" * MEGABYTE)
    assert isinstance(responder.wait_writable(), Deferred)
    responder.abort_response()
    read_slowly(transport, clock, MEGABYTE, pause=4.0)
    assert transport.closed
    assert not transport.received.endswith(b"0\r\n\r\n")


def test_next_request_is_handled_only_when_the_answer_was_read(connect, handler, clock):
    connection, transport, responder = begin(connect, handler)
    connection.dataReceived(get("/next"))
    responder.answer(200, (), b"x" * MEGABYTE)
    clock.advance(0)
    assert len(handler.requests) == 1
    read_slowly(transport, clock, MEGABYTE, pause=0.0)
    clock.advance(0)
    assert [head.target for head, _, _ in handler.requests] == [b"/a", b"/next"]


# A rejected caller that was still sending was reset before it could read why.
def test_rejected_caller_is_not_reset_while_it_sends(connect, clock):
    connection, transport = connect()
    connection.dataReceived(post(b"x" * 101))
    assert transport.half_closed
    for _ in range(10):
        clock.advance(1.5)
        connection.dataReceived(b"x")
    assert not transport.aborted
    clock.advance(2.1)
    assert transport.aborted


def test_rejected_caller_that_never_stops_sending_is_reset(connect, clock):
    connection, transport = connect()
    connection.dataReceived(post(b"x" * 101))
    for _ in range(40):
        clock.advance(1.0)
        connection.dataReceived(b"x")
    assert transport.aborted
