"""Tests of the HTTP client of backend servers."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock

from pomeloglade.errors import BackendLostError, BackendUnreachableError
from pomeloglade.transport.http_client import Exchange, HttpClient

EXCHANGE = Exchange(
    "POST",
    "http://10.0.0.4:80/bookings/x?a=b",
    "call",
    "s1",
    b"body",
    (("X-Name", "caf\xe9"),),
)


@pytest.fixture
def reactor():
    return MemoryReactorClock()


class Agent:
    def __init__(self):
        self.answer = Deferred()

    def request(self, method, url, headers, body):
        self.sent = (method, url, headers, body.length)
        return self.answer


@pytest.fixture
def agent():
    return Agent()


@pytest.fixture
def http(reactor, agent):
    http = HttpClient(reactor)
    http._pooled = agent
    return http


def test_header_bytes_are_sent_unchanged(http, agent):
    http.send(EXCHANGE)
    method, url, headers, length = agent.sent
    assert (method, url, length) == (b"POST", EXCHANGE.url.encode(), 4)
    assert headers.getRawHeaders(b"X-Name") == [b"caf\xe9"]


@pytest.mark.parametrize(
    ("cause", "kind"),
    [
        (ConnectionRefusedError(), BackendUnreachableError),
        (ConnectionLost(), BackendLostError),
    ],
)
def test_error_type_tells_whether_a_connection_was_opened(http, agent, cause, kind):
    failures = []
    http.send(EXCHANGE).addErrback(failures.append)
    agent.answer.errback(cause)
    assert failures[0].check(kind)
    assert (failures[0].value.step, failures[0].value.peer) == ("call", "s1")


def test_response_timeout_fails_with_backend_lost_error(http, reactor):
    failures = []
    http.send(EXCHANGE).addErrback(failures.append)
    reactor.advance(EXCHANGE.timeout.total_seconds())
    assert failures[0].check(BackendLostError)
