"""Tests of the HTTP client for plain services: whole, interrupted and long answers."""

from datetime import timedelta

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from pomeloglade.errors import (
    BackendLostError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)
from pomeloglade.state.call import Header, PlainCall
from pomeloglade.state.deployment import BackendServer, Route
from pomeloglade.transport import services as module
from pomeloglade.transport.services import HttpServices

SERVER = BackendServer("s1", "zone-a", "10.0.0.4:80", "api", "plain")
ROUTE = Route("roster", "/roster", "plain", "api", timeout=timedelta(seconds=2))
HEAD = b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n"


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True


@pytest.fixture
def reactor():
    return MemoryReactorClock()


@pytest.fixture
def services(reactor):
    return HttpServices(reactor)


@pytest.fixture
def start(services, reactor):
    """Starts a call and returns its connection and its results."""

    def start_call(method="POST", path="/roster/x", body=b"body", headers=()):
        call = PlainCall(None, ROUTE, method, path, headers, body)
        results = []
        services.call(SERVER, call, new_connection=True).addBoth(results.append)
        connection = reactor.tcpClients[-1][2].buildProtocol(None)
        connection.makeConnection(Transport())
        return connection, results

    return start_call


def ends(connection, error):
    connection.connectionLost(Failure(error))


def test_call_is_forwarded_without_the_headers_of_its_connection(start):
    headers = (
        Header("X-Name", "caf\xe9"),
        Header("Authorization", "Bearer key"),
        Header("Content-Length", "7"),
    )
    connection, results = start(path="/roster/x?a=b c", headers=headers)
    head, _, body = connection.transport.value().partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    assert first == b"POST /roster/x?a=b%20c HTTP/1.1"
    assert sorted(lines) == [
        b"Content-Length: 4",
        b"Host: 10.0.0.4:80",
        b"X-Name: caf\xe9",
    ]
    assert body == b"body"
    connection.dataReceived(HEAD + b"Content-Length: 2\r\n\r\nok")
    (answer,) = results
    assert (answer.status, answer.body) == (200, b"ok")
    assert answer.headers == (Header("x-own", "1"),)


def test_call_without_a_body_has_a_length_only_if_its_method_may_have_one(start):
    for method, length in (("GET", False), ("POST", True), ("DELETE", True)):
        connection, _ = start(method=method, body=b"")
        sent = connection.transport.value()
        assert (b"Content-Length: 0\r\n" in sent) == length


def test_answer_without_a_length_is_whole_when_its_connection_is_closed(start):
    connection, results = start()
    connection.dataReceived(HEAD + b"\r\nwhole")
    ends(connection, ConnectionDone())
    assert results[0].body == b"whole"


# Guards against a success with a part of the server's body: MIXED.
@pytest.mark.parametrize(
    ("rest", "error"),
    [
        (b"\r\nhalf", ConnectionLost()),
        (b"", ConnectionDone()),
        (b"Content-Length: 1", ConnectionDone()),
        (b"Content-Length: 9\r\n\r\nhalf", ConnectionDone()),
        (b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", ConnectionDone()),
    ],
)
def test_answer_that_is_broken_off_is_lost(start, rest, error):
    connection, results = start()
    connection.dataReceived(HEAD + rest)
    ends(connection, error)
    (failure,) = results
    assert failure.check(BackendLostError)
    assert (failure.value.step, failure.value.peer) == ("call", "s1")


def test_answer_that_does_not_arrive_in_time_is_lost_and_its_connection_reset(
    start, reactor
):
    for part in (b"", HEAD + b"Content-Length: 9\r\n\r\nhalf"):
        connection, results = start()
        connection.dataReceived(part or HEAD)
        reactor.advance(ROUTE.timeout.total_seconds())
        assert results[0].check(BackendLostError)
        assert connection.transport.aborted


def test_answer_that_is_too_long_is_refused(start, monkeypatch):
    monkeypatch.setattr(module, "MAX_RESPONSE_BYTES", 10)
    connection, results = start()
    connection.dataReceived(HEAD + b"Content-Length: 11\r\n\r\n01234567890")
    assert results[0].check(InvalidBackendResponseError)


def test_server_that_cannot_be_reached_is_named(services, reactor):
    call = PlainCall(None, ROUTE, "GET", "/roster/x", (), b"")
    results = []
    services.call(SERVER, call, new_connection=True).addBoth(results.append)
    reactor.tcpClients[-1][2].clientConnectionFailed(None, Failure(ConnectionLost()))
    assert results[0].check(BackendUnreachableError)
    assert results[0].value.peer == "s1"
