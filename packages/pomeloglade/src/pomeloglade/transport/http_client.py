"""One HTTP client for all backend servers, with errors that tell what was sent."""

from dataclasses import dataclass
from datetime import timedelta

import treq
from twisted.internet import error
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web import client
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IResponse

from ..errors import BackendError, BackendLostError, BackendUnreachableError
from ..state.deployment import BackendServer

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CONNECTIONS_PER_HOST = 64
IDLE_CONNECTION_SECONDS = 30

NOT_CONNECTED = (
    error.ConnectionRefusedError,
    error.TCPTimedOutError,
    error.NoRouteError,
    error.ConnectError,
    error.DNSLookupError,
)
BROKEN = (
    client.ResponseFailed,
    client.ResponseNeverReceived,
    client.RequestTransmissionFailed,
    client.RequestNotSent,
    client.PartialDownloadError,
    error.ConnectionLost,
    error.ConnectionDone,
    TimeoutError,
)


def base_url(server: BackendServer) -> str:
    """Return the URL that a backend server's paths follow."""
    return f"http://{server.address}"


@dataclass(frozen=True, slots=True)
class Exchange:
    """One HTTP request to a backend server and what it is for."""

    method: str
    url: str
    step: str
    peer: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout: timedelta = timedelta(seconds=5)


class HttpClient:
    """Sends exchanges over pooled or fresh connections.

    Pooled connections are never retried by the client itself: what to repeat is
    decided by those who know whether a call may be repeated.
    """

    def __init__(self, reactor: IReactorTime) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
        pool.cachedConnectionTimeout = IDLE_CONNECTION_SECONDS
        pool.retryAutomatically = False
        self._pool = pool
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=pool)
        self._pooled = treq.client.HTTPClient(agent)
        self._fresh = treq.client.HTTPClient(
            Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)
        )

    def send(self, exchange: Exchange, *, fresh: bool = False) -> "Deferred[IResponse]":
        """Send a request and return its response before the body is read.

        Fails with ``BackendUnreachableError`` when no connection was made and
        with ``BackendLostError`` when one was made and broke.
        """
        http = self._fresh if fresh else self._pooled
        headers: dict[str, list[str]] = {}
        for name, value in exchange.headers:
            headers.setdefault(name, []).append(value)
        response: Deferred[IResponse] = http.request(
            exchange.method,
            exchange.url,
            data=exchange.body,
            headers=headers,
            unbuffered=True,
            allow_redirects=False,
        )
        response.addTimeout(exchange.timeout.total_seconds(), self._reactor)
        return response.addErrback(typed_error, exchange)

    def close(self) -> "Deferred[None]":
        """Close all idle connections."""
        return self._pool.closeCachedConnections()


def typed_error(failure: Failure, exchange: Exchange) -> Failure:
    """Return the failure as a ``BackendError`` with its step and peer."""
    if failure.check(*NOT_CONNECTED):
        kind: type[BackendError] = BackendUnreachableError
    elif failure.check(*BROKEN):
        kind = BackendLostError
    else:
        return failure
    text = f"{exchange.method} to backend server {exchange.peer!r} failed:"
    text += f" {type(failure.value).__name__}"
    return Failure(kind(text, step=exchange.step, peer=exchange.peer))
