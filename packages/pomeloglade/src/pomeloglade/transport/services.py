"""HTTP client for plain services."""

from collections.abc import Awaitable

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IReactorTime

from ..coordination.engine import Services
from ..errors import (
    BackendError,
    BackendLostError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)
from ..state.call import Header, PlainAnswer, PlainCall
from ..state.deployment import BackendServer
from .http_client import IDLE_CONNECTION_SECONDS, encode_url
from .http_exchange import ConnectionPool, Exchange, RequestHead, ResponseHead

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)
UNFORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {
    "authorization",
    "accept-encoding",
    "expect",
}
MAX_RESPONSE_BYTES = 16_000_000


METHODS_WITHOUT_BODY = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


class HttpServices(Services):
    """Forwards calls without the caller's API key.

    It uses ``ConnectionPool``, which tells a response that ends with its connection
    from one whose connection was reset; twisted's ``Agent`` does not.
    """

    def __init__(self, reactor: IReactorTime) -> None:
        self._pool = ConnectionPool(reactor)
        self._reactor = reactor

    def call(
        self, server: BackendServer, call: PlainCall, *, new_connection: bool
    ) -> "Deferred[PlainAnswer]":
        """Forward ``call``, on a new connection if ``new_connection`` is set."""
        return Deferred.fromCoroutine(self._call(server, call, new_connection))

    async def _call(
        self, server: BackendServer, call: PlainCall, new_connection: bool
    ) -> PlainAnswer:
        exchange = Exchange(_request_head(server, call), call.body)
        try:
            connection = await self._pool.acquire_connection(
                server.address,
                max_idle_seconds=0.0 if new_connection else IDLE_CONNECTION_SECONDS,
            )
            exchange.start(connection, self._pool.release)
            head = await self._in_time(exchange.read_head(), call)
            body = await self._in_time(_read_body(exchange), call)
        except BackendUnreachableError as error:
            text = f"backend server {server.name!r} can't be reached: {error}"
            raise BackendUnreachableError(
                text, step="call", peer=server.name
            ) from error
        except _TooLongError as error:
            text = f"response of backend server {server.name!r} {error}"
            raise InvalidBackendResponseError(
                text, step="call", peer=server.name
            ) from error
        except (BackendError, TimeoutError) as error:
            text = f"response of backend server {server.name!r} was interrupted: "
            text += repr(error)
            raise BackendLostError(text, step="call", peer=server.name) from error
        finally:
            exchange.cancel()
        return PlainAnswer(head.status, _headers(head), body)

    def _in_time(self, reading: Awaitable, call: PlainCall) -> "Deferred":
        """Read a part of a response within the timeout of the call's route."""
        seconds = call.route.timeout.total_seconds()
        return Deferred.fromCoroutine(reading).addTimeout(seconds, self._reactor)


def _request_head(server: BackendServer, call: PlainCall) -> RequestHead:
    headers = [(b"Host", server.address.encode("ascii"))]
    headers += [
        (header.name.encode("latin-1"), header.value.encode("latin-1"))
        for header in call.headers
        if header.name.lower() not in UNFORWARDED_HEADERS
    ]
    if call.method not in METHODS_WITHOUT_BODY:
        headers.append((b"Content-Length", b"%d" % len(call.body)))
    return RequestHead(
        call.method.encode("ascii"), encode_url(call.path), tuple(headers)
    )


class _TooLongError(Exception):
    """A response body exceeds ``MAX_RESPONSE_BYTES``."""


async def _read_body(exchange: Exchange) -> bytes:
    body = bytearray()
    while chunk := await exchange.read_chunk():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise _TooLongError(f"is larger than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)


def _headers(head: ResponseHead) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
        if name.decode("latin-1").lower() not in HOP_BY_HOP_HEADERS
    )
