"""Tests of HTTP client connections: reuse, truncated and invalid responses."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from pomeloglade.errors import (
    BackendLostError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)
from pomeloglade.transport.http_exchange import (
    MAX_RESPONSE_HEAD_BYTES,
    ConnectionPool,
    Exchange,
    RequestHead,
)


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True


REQUEST = RequestHead(b"POST", b"/a", ((b"Host", b"h"),))


@pytest.fixture
def reactor():
    return MemoryReactorClock()


@pytest.fixture
def pool(reactor):
    return ConnectionPool(reactor)


def open_connection(pool, reactor, **options):
    options.setdefault("max_idle_seconds", 5.0)
    results = []
    pool.acquire_connection("10.0.0.1:80", **options).addBoth(results.append)
    if not results:
        factory = reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(Transport())
    return results[0]


def start_exchange(pool, reactor, body=b"hi", **options):
    connection = open_connection(pool, reactor, **options)
    exchange = Exchange(REQUEST, body)
    exchange.start(connection, pool.release)
    return connection, exchange


def run(coroutine):
    results = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    return results


async def status_and_body(exchange):
    head = await exchange.read_head()
    return head.status, await exchange.read_body()


def test_request_gets_a_content_length_and_its_response_is_read(pool, reactor):
    connection, exchange = start_exchange(pool, reactor)
    wire = connection.transport.value()
    assert wire.startswith(b"POST /a HTTP/1.1\r\n")
    assert wire.endswith(b"Content-Length: 2\r\n\r\nhi")
    results = run(status_and_body(exchange))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
    assert results == []
    connection.dataReceived(b"k")
    assert results == [(200, b"ok")]


def test_connection_is_reused_only_within_the_maximum_idle_time(pool, reactor):
    connection, _ = start_exchange(pool, reactor)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert open_connection(pool, reactor, max_idle_seconds=1.0) is connection
    pool.release(connection)
    reactor.advance(1.5)
    assert open_connection(pool, reactor, max_idle_seconds=1.0) is not connection
    assert connection.transport.aborted


def test_connection_is_not_reused_close_to_the_servers_keep_alive_timeout(
    pool, reactor
):
    connection, _ = start_exchange(pool, reactor)
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=2\r\n\r\n"
    )
    reactor.advance(1.8)
    assert open_connection(pool, reactor) is not connection


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
    ],
)
def test_connection_is_not_reused_after_surplus_bytes_or_a_close_header(
    pool, reactor, response
):
    connection, exchange = start_exchange(pool, reactor)
    results = run(status_and_body(exchange))
    connection.dataReceived(response)
    assert results == [(200, b"ok")]
    assert connection.transport.aborted
    assert open_connection(pool, reactor) is not connection


def test_bytes_on_an_idle_connection_abort_it(pool, reactor):
    connection, _ = start_exchange(pool, reactor)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert connection.transport.aborted


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", ConnectionDone()),
        (b"", ConnectionLost()),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal", ConnectionDone()),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal", ConnectionLost()),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n",
            ConnectionDone(),
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nhalf", ConnectionLost()),
    ],
)
def test_truncated_response_fails_with_backend_lost_error(pool, reactor, data, reason):
    connection, exchange = start_exchange(pool, reactor)
    results = run(status_and_body(exchange))
    if data:
        connection.dataReceived(data)
    connection.connectionLost(Failure(reason))
    assert isinstance(results[0].value, BackendLostError)


def test_response_without_a_length_is_complete_when_the_connection_closes(
    pool, reactor
):
    connection, exchange = start_exchange(pool, reactor)
    results = run(status_and_body(exchange))
    connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nall")
    assert results == []
    connection.connectionLost(Failure(ConnectionDone()))
    assert results == [(200, b"all")]


def test_invalid_http_fails_with_invalid_backend_response_error(pool, reactor):
    connection, exchange = start_exchange(pool, reactor)
    results = run(status_and_body(exchange))
    connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
    assert isinstance(results[0].value, InvalidBackendResponseError)
    assert connection.transport.aborted


def test_cancelled_exchange_resets_its_connection(pool, reactor):
    connection, exchange = start_exchange(pool, reactor)
    exchange.cancel()
    assert connection.transport.aborted


def test_cancelling_a_complete_exchange_does_not_abort_its_connection(pool, reactor):
    connection, exchange = start_exchange(pool, reactor)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    exchange.cancel()
    assert not connection.transport.aborted


def test_unread_body_over_the_buffer_limit_pauses_reading(pool, reactor):
    connection, exchange = start_exchange(pool, reactor)
    connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"x" * 70_000
    )
    assert connection.transport.producerState == "paused"
    assert len(run(exchange.read_chunk())[0]) == 70_000
    assert connection.transport.producerState == "producing"


def test_invalid_address_fails_with_backend_unreachable_error(pool):
    results = []
    pool.acquire_connection("nowhere", max_idle_seconds=0).addErrback(results.append)
    assert isinstance(results[0].value, BackendUnreachableError)


def test_failed_connect_fails_with_backend_unreachable_error(pool, reactor):
    results = []
    pool.acquire_connection("10.0.0.1:80", max_idle_seconds=0).addErrback(
        results.append
    )
    factory = reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(ConnectionLost()))
    assert isinstance(results[0].value, BackendUnreachableError)


def test_close_idle_to_aborts_the_idle_connections_to_an_address(pool, reactor):
    connection, _ = start_exchange(pool, reactor)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    pool.close_idle_to("10.0.0.1:80")
    assert connection.transport.aborted


@pytest.mark.parametrize(
    "wire",
    [
        b"HTTP/1.1 200 OK\r\n" + b"X-More: and more\r\n" * 8_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 8_000,
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 8_000,
        b"\x00\xff" * 80_000,
    ],
    ids=["headers", "continue", "early hints", "no protocol"],
)
def test_head_without_end_is_cut_off(pool, reactor, wire):
    connection, exchange = start_exchange(pool, reactor)
    results = run(status_and_body(exchange))
    received = 0
    while received < len(wire) and not results:
        connection.dataReceived(wire[received : received + 1_000])
        received += 1_000
    assert results[0].check(InvalidBackendResponseError)
    assert received <= MAX_RESPONSE_HEAD_BYTES + 2_000
    assert connection.transport.aborted


def test_interim_responses_before_a_head_are_skipped(pool, reactor):
    connection, exchange = start_exchange(pool, reactor)
    results = run(status_and_body(exchange))
    for _ in range(100):
        connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert results == [(200, b"ok")]


def test_new_connection_is_opened_for_what_must_not_meet_an_earlier_answer(
    pool, reactor
):
    # Released and acquired in one turn, the idle time is 0 as well.
    connection, _ = start_exchange(pool, reactor)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert open_connection(pool, reactor, max_idle_seconds=0.0) is not connection
