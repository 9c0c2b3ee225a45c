"""HTTP client for plain services."""

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IResponse

from ..coordination.engine import Services
from ..errors import BackendError, BackendLostError, InvalidBackendResponseError
from ..state.call import Header, PlainAnswer, PlainCall
from ..state.deployment import BackendServer
from .http_client import Exchange, HttpClient, base_url

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


class HttpServices(Services):
    """Forwards calls without the caller's API key."""

    def __init__(self, http: HttpClient, reactor: IReactorTime) -> None:
        self._http = http
        self._reactor = reactor

    def call(
        self, server: BackendServer, call: PlainCall, *, new_connection: bool
    ) -> "Deferred[PlainAnswer]":
        """Forward ``call``, on a new connection if ``new_connection`` is set."""
        return Deferred.fromCoroutine(self._call(server, call, new_connection))

    async def _call(
        self, server: BackendServer, call: PlainCall, new_connection: bool
    ) -> PlainAnswer:
        exchange = Exchange(
            call.method,
            base_url(server) + call.path,
            "call",
            server.name,
            call.body,
            tuple(
                (header.name, header.value)
                for header in call.headers
                if header.name.lower() not in UNFORWARDED_HEADERS
            ),
            call.route.timeout,
        )
        response = await self._http.send(exchange, new_connection=new_connection)
        body = _BoundedBody(server.name)
        try:
            received = treq.collect(response, body.append)
            received.addTimeout(call.route.timeout.total_seconds(), self._reactor)
            await received
        except (BackendError, CancelledError):
            raise
        except Exception as error:
            raise BackendLostError(
                f"response of backend server {server.name!r} was interrupted: "
                f"{error!r}",
                step="call",
                peer=server.name,
            ) from error
        return PlainAnswer(response.code, _headers(response), bytes(body.data))


class _BoundedBody:
    """Collects a response body of up to ``MAX_RESPONSE_BYTES``."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self.data = bytearray()

    def append(self, data: bytes) -> None:
        """Append a part; ``InvalidBackendResponseError`` if the body gets too long."""
        self.data += data
        if len(self.data) > MAX_RESPONSE_BYTES:
            raise InvalidBackendResponseError(
                f"response of backend server {self._peer!r} is larger than "
                f"{MAX_RESPONSE_BYTES} bytes",
                step="call",
                peer=self._peer,
            )


def _headers(response: IResponse) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
        if name.decode("latin-1").lower() not in HOP_BY_HOP_HEADERS
    )
