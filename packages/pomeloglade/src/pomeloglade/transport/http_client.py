"""HTTP client for backend servers."""

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

CONNECT_ERRORS = (
    error.ConnectionRefusedError,
    error.TCPTimedOutError,
    error.NoRouteError,
    error.ConnectError,
    error.DNSLookupError,
)
CONNECTION_LOST_ERRORS = (
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
    """Return the base URL of a backend server."""
    return f"http://{server.address}"


@dataclass(frozen=True, slots=True)
class Exchange:
    """One HTTP request to a backend server, with its step and peer for errors."""

    method: str
    url: str
    step: str
    peer: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    timeout: timedelta = timedelta(seconds=5)


class HttpClient:
    """Sends requests over pooled or new connections.

    The client never retries a request by itself: only its callers know whether a
    request may be repeated.
    """

    def __init__(self, reactor: IReactorTime) -> None:
        self._reactor = reactor
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
        pool.cachedConnectionTimeout = IDLE_CONNECTION_SECONDS
        pool.retryAutomatically = False
        self._pooled = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS, pool=pool)
        self._unpooled = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_SECONDS)

    def send(
        self, exchange: Exchange, *, new_connection: bool = False
    ) -> "Deferred[IResponse]":
        """Send a request and return the response before its body is read.

        Fails with ``BackendUnreachableError`` if no connection could be opened and
        with ``BackendLostError`` if it was lost or the response timed out.
        """
        agent = self._unpooled if new_connection else self._pooled
        headers = Headers()
        for name, value in exchange.headers:
            headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        response: Deferred[IResponse] = agent.request(
            exchange.method.encode("ascii"),
            encode_url(exchange.url),
            headers,
            _Body(exchange.body) if exchange.body else None,
        )
        response.addTimeout(exchange.timeout.total_seconds(), self._reactor)
        return response.addErrback(as_backend_error, exchange)


@implementer(IBodyProducer)
class _Body:
    """Writes the whole body at once, so that it is sent with the headers."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: IConsumer) -> "Deferred[None]":  # noqa: N802
        """Write the whole body."""
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: ``startProducing`` has written everything."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: ``startProducing`` has written everything."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``startProducing`` has written everything."""


def encode_url(url: str) -> bytes:
    """Return the bytes of a URL, with invalid characters percent-encoded."""
    return quote(url, safe=punctuation, encoding="latin-1").encode("ascii")


def as_backend_error(failure: Failure, exchange: Exchange) -> Failure:
    """Convert a connection failure to a ``BackendError``; return others as is."""
    if failure.check(*CONNECT_ERRORS):
        error_type: type[BackendError] = BackendUnreachableError
    elif failure.check(*CONNECTION_LOST_ERRORS):
        error_type = BackendLostError
    else:
        return failure
    text = f"{exchange.method} to backend server {exchange.peer!r} failed:"
    text += f" {type(failure.value).__name__}"
    return Failure(error_type(text, step=exchange.step, peer=exchange.peer))
