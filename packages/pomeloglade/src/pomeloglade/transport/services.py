"""Plain services over HTTP."""

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IResponse

from ..coordination.engine import Services
from ..errors import BackendError, BackendLostError, BackendNonsenseError
from ..state.call import Header, PlainAnswer, PlainCall
from ..state.deployment import BackendServer
from .http_client import Exchange, HttpClient, base_url

HOP_BY_HOP = frozenset(
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
NOT_FORWARDED = HOP_BY_HOP | {"authorization", "accept-encoding", "expect"}
MAX_ANSWER_BYTES = 16_000_000


class HttpServices(Services):
    """Forwards calls, never the caller's key."""

    def __init__(self, http: HttpClient, reactor: IReactorTime) -> None:
        self._http = http
        self._reactor = reactor

    def call(
        self, server: BackendServer, call: PlainCall, *, fresh: bool
    ) -> "Deferred[PlainAnswer]":
        """Forward ``call``; with ``fresh`` on a connection of its own."""
        return Deferred.fromCoroutine(self._call(server, call, fresh))

    async def _call(
        self, server: BackendServer, call: PlainCall, fresh: bool
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
                if header.name.lower() not in NOT_FORWARDED
            ),
            call.route.timeout,
        )
        response = await self._http.send(exchange, fresh=fresh)
        answer = _Body(server.name)
        try:
            received = treq.collect(response, answer.take)
            received.addTimeout(call.route.timeout.total_seconds(), self._reactor)
            await received
        except (BackendError, CancelledError):
            raise
        except Exception as error:
            raise BackendLostError(
                f"the answer of backend server {server.name!r} broke off: {error!r}",
                step="call",
                peer=server.name,
            ) from error
        return PlainAnswer(response.code, _headers(response), bytes(answer.data))


class _Body:
    """Collects an answer's body up to ``MAX_ANSWER_BYTES``."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self.data = bytearray()

    def take(self, data: bytes) -> None:
        """Add a part; raise ``BackendNonsenseError`` when it gets too long."""
        self.data += data
        if len(self.data) > MAX_ANSWER_BYTES:
            raise BackendNonsenseError(
                f"backend server {self._peer!r} answered more than "
                f"{MAX_ANSWER_BYTES} bytes",
                step="call",
                peer=self._peer,
            )


def _headers(response: IResponse) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
        if name.decode("latin-1").lower() not in HOP_BY_HOP
    )
