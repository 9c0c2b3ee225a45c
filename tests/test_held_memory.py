"""Memory held for callers who read or send slowly, alone and over connections."""

import pytest
from tests.test_http_site import Handler, Transport, get
from twisted.internet.task import Clock

from pomeloglade.state.connection_limits import ConnectionLimits
from pomeloglade.transport.held_memory import HeldMemory, max_held_bytes
from pomeloglade.transport.http_site import (
    MAX_UNREAD_BYTES,
    MAX_UNREAD_SECONDS,
    HttpSite,
)

MEGABYTE = 1024 * 1024


class LargeBodies(Handler):
    def limits(self):
        return ConnectionLimits(max_body_bytes=4 * MEGABYTE)


@pytest.fixture
def handler():
    return LargeBodies()


@pytest.fixture
def memory():
    return HeldMemory(8 * MEGABYTE)


@pytest.fixture
def connect(clock, handler, memory):
    def owner_of(head):
        return next((v.decode() for k, v in head.headers if k == b"Account"), "")

    site = HttpSite(handler, clock, lambda *_: None, memory, owner_of)

    def make():
        connection = site.buildProtocol(None)
        connection.makeConnection(Transport())
        return connection, connection.transport

    return make


def upload(connection, account, size):
    """Send a request without its last byte."""
    head = f"POST /a HTTP/1.1\r\nHost: h\r\nAccount: {account}\r\n"
    head += f"Content-Length: {size + 1}\r\n\r\n"
    connection.dataReceived(head.encode())
    for _ in range(0, size, 65_536):
        connection.dataReceived(b"x" * 65_536)


def begin_response(connect, handler):
    connection, transport = connect()
    connection.dataReceived(get(extra="Account: club\r\n"))
    responder = handler.requests[-1][2]
    responder.write_head(200, ())
    connection.pauseProducing()
    return connection, transport, responder


@pytest.mark.parametrize(("megabytes", "bound"), [(16, 8), (128, 16), (552, 64)])
def test_bound_follows_the_machines_memory_within_limits(megabytes, bound):
    assert max_held_bytes(megabytes * MEGABYTE) == bound * MEGABYTE


# Many large bodies that arrive slowly ended the process for want of memory.
def test_slow_uploads_take_bounded_memory_and_leave_the_others_their_part(
    connect, memory
):
    transports = []
    for _ in range(12):
        connection, transport = connect()
        upload(connection, "hot", 2 * MEGABYTE)
        transports.append(transport)
    assert memory.total <= 8 * MEGABYTE
    refused = [each.value() for each in transports if each.value()]
    assert len(refused) >= 8
    assert all(each.startswith(b"HTTP/1.1 503") for each in refused)
    assert all(b"retry-after: 1" in each.lower() for each in refused)
    connection, transport = connect()
    upload(connection, "club", MEGABYTE)
    assert transport.value() == b""


def test_memory_is_released_when_callers_leave_or_are_answered(
    connect, memory, handler
):
    connection, transport = connect()
    upload(connection, "club", MEGABYTE)
    assert memory.total > 0
    connection.connectionLost(None)
    assert memory.total == 0
    connection, transport = connect()
    upload(connection, "club", MEGABYTE)
    connection.dataReceived(b"x")
    handler.requests[-1][2].answer(200, (), b"ok")
    assert memory.total == 0


# A server that is not read for seconds cuts off its response.
def test_response_is_read_on_while_its_caller_reads_slowly(connect, handler, memory):
    connection, _, responder = begin_response(connect, handler)
    for _ in range(4):
        responder.write(b"x" * 60_000)
        assert responder.wait_writable().called
    assert memory.total == 4 * (60_000 + len(b"ea60\r\n\r\n"))
    connection.resumeProducing()
    assert memory.total == 0


def test_response_beyond_the_bound_waits_and_is_broken_off_in_the_end(
    connect, handler, clock, memory
):
    connection, transport, responder = begin_response(connect, handler)
    responder.write(b"x" * (MAX_UNREAD_BYTES + 1))
    assert not responder.wait_writable().called
    clock.advance(MAX_UNREAD_SECONDS - 0.1)
    assert not transport.aborted
    clock.advance(0.2)
    assert transport.aborted


def test_caller_that_reads_again_is_not_disconnected(connect, handler, clock):
    connection, transport, responder = begin_response(connect, handler)
    responder.write(b"x" * (MAX_UNREAD_BYTES + 1))
    waiting = responder.wait_writable()
    clock.advance(MAX_UNREAD_SECONDS - 0.1)
    connection.resumeProducing()
    assert waiting.called
    clock.advance(MAX_UNREAD_SECONDS)
    assert not transport.aborted


def test_unread_responses_of_all_callers_take_bounded_memory(connect, handler, memory):
    for _ in range(100):
        _, _, responder = begin_response(connect, handler)
        responder.write(b"x" * (MAX_UNREAD_BYTES - 1))
        responder.wait_writable()
    assert memory.total <= 8 * MEGABYTE


@pytest.fixture
def clock():
    return Clock()
