"""One HTTP client for all backend servers, with errors that tell what was sent."""

from dataclasses import dataclass
from datetime import timedelta
from string import punctuation
from urllib.parse import quote

from twisted.internet import error
from twisted.internet.defer import Deferred, TimeoutError, succeed
from twisted.internet.interfaces import IConsumer, IReactorTime
from twisted.python.failure import Failure
from twisted.web import client
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer, IResponse
from zope.interface import implementer

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
        self._pooled = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=pool)
        self._fresh = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)

    def send(self, exchange: Exchange, *, fresh: bool = False) -> "Deferred[IResponse]":
        """Send a request and return its response before the body is read.

        Fails with ``BackendUnreachableError`` when no connection was made and
        with ``BackendLostError`` when one was made and broke.
        """
        agent = self._fresh if fresh else self._pooled
        headers = Headers()
        for name, value in exchange.headers:
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        response: Deferred[IResponse] = agent.request(
            exchange.method.encode("ascii"),
            _encoded(exchange.url),
            headers,
            _Body(exchange.body) if exchange.body else None,
        )
        response.addTimeout(exchange.timeout.total_seconds(), self._reactor)
        return response.addErrback(typed_error, exchange)


@implementer(IBodyProducer)
class _Body:
    """Writes a body at once, so that it leaves together with the headers."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write the whole body."""
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at the start."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at the start."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: all is written at the start."""


def _encoded(url: str) -> bytes:
    """Return a URL's bytes; those that no URL may hold are quoted."""
    return quote(url, safe=punctuation, encoding="latin-1").encode("ascii")


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
