"""HTTP client for model engines."""

from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import treq
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.iweb import IResponse

from pomeloglade_coordination.orders import (
    ENGINE_TIMEOUT,
    Order,
    OrderKind,
    OrderRefusedError,
)
from pomeloglade_coordination.recovery import HeldRequest, RequestId

from ..coordination.engine import Engines, EngineState
from ..errors import (
    BackendError,
    BackendLostError,
    BackendOutOfMemoryError,
    BackendRefusedError,
    InvalidBackendResponseError,
)
from ..protocol import engine
from ..state.call import EngineLoad, ModelCall, Prefilled, Token, Usage
from ..state.deployment import BackendServer
from .http_client import Exchange, HttpClient, base_url

T = TypeVar("T")
ENGINE_FULL_STATUS = 409
STALE_FENCING_STATUS = 412
ORDER_STEP = "order"
OK_STATUS = 200
CALL_TIMEOUT = timedelta(seconds=2)
TRANSFER_TIMEOUT = timedelta(seconds=2)
STREAM_IDLE_TIMEOUT = timedelta(seconds=5)
MAX_RESUMES = 2
INTERACTIVE_PRIORITY = 1
PATIENT_PRIORITY = 0


class HttpEngines(Engines):
    """Calls engines over their HTTP protocol.

    A decode stream that breaks or times out is resumed on a new connection from
    the first token not received, at most ``MAX_RESUMES`` times.
    """

    def __init__(self, http: HttpClient, reactor: IReactorTime) -> None:
        self._http = http
        self._reactor = reactor

    async def _post(
        self,
        server: BackendServer,
        path: str,
        body: object,
        response_type: type[T] | None,
        step: str,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> T | None:
        exchange = Exchange(
            "POST",
            base_url(server) + path,
            step,
            server.name,
            engine.encode(body),
            (("content-type", "application/json"),),
            timeout,
        )
        content = await self._send(exchange)
        if response_type is None:
            return None
        return engine.decode(content, response_type, step=step, peer=server.name)

    async def _get(
        self, server: BackendServer, path: str, response_type: type[T], step: str
    ) -> T:
        exchange = Exchange(
            "GET", base_url(server) + path, step, server.name, timeout=CALL_TIMEOUT
        )
        content = await self._send(exchange)
        return engine.decode(content, response_type, step=step, peer=server.name)

    async def _send(self, exchange: Exchange) -> bytes:
        response = await self._http.send(exchange)
        try:
            body = treq.content(response)
            body.addTimeout(exchange.timeout.total_seconds(), self._reactor)
            content = await body
        except CancelledError:
            raise
        except Exception as error:
            raise BackendLostError(
                f"response of backend server {exchange.peer!r} was interrupted: "
                f"{error!r}",
                step=exchange.step,
                peer=exchange.peer,
            ) from error
        _check_status(response, exchange.step, exchange.peer)
        return content

    def reserve(
        self, server: BackendServer, request_id: str, tokens: int
    ) -> "Deferred[None]":
        """Reserve KV-cache memory for ``tokens`` on a decode engine."""
        body = engine.ReserveBody(request_id, tokens)
        return Deferred.fromCoroutine(
            self._post(server, "/v1/reserve", body, None, "reserve")
        )

    def prefill(
        self, server: BackendServer, request_id: str, call: ModelCall
    ) -> "Deferred[Prefilled]":
        """Compute the prompt's KV cache on a prefill engine."""
        return Deferred.fromCoroutine(self._prefill(server, request_id, call))

    async def _prefill(
        self, server: BackendServer, request_id: str, call: ModelCall
    ) -> Prefilled:
        priority = PATIENT_PRIORITY if call.route.patient else INTERACTIVE_PRIORITY
        body = engine.PrefillBody(request_id, call.model, call.prompt, priority)
        answer = await self._post(
            server,
            "/v1/prefill",
            body,
            engine.PrefillAnswer,
            "prefill",
            call.route.timeout,
        )
        if answer.request_id != request_id:
            raise InvalidBackendResponseError(
                f"backend server {server.name!r} returned the prefill of request "
                f"{answer.request_id!r} for request {request_id!r}",
                step="prefill",
                peer=server.name,
            )
        return Prefilled(answer.handle, answer.prompt_tokens)

    def transfer(
        self,
        source: BackendServer,
        target: BackendServer,
        request_id: str,
        prefilled: Prefilled,
    ) -> "Deferred[None]":
        """Make ``target`` import the KV cache from ``source``."""
        body = engine.ImportBody(request_id, base_url(source), prefilled.handle)
        return Deferred.fromCoroutine(
            self._post(target, "/v1/import", body, None, "transfer", TRANSFER_TIMEOUT)
        )

    def decode(
        self,
        server: BackendServer,
        request_id: str,
        call: ModelCall,
        on_token: Callable[[Token], None],
    ) -> "Deferred[Usage]":
        """Generate tokens and pass each to ``on_token`` in order."""
        return Deferred.fromCoroutine(self._decode(server, request_id, call, on_token))

    async def _decode(
        self,
        server: BackendServer,
        request_id: str,
        call: ModelCall,
        on_token: Callable[[Token], None],
    ) -> Usage:
        stream = engine.DecodeStream(request_id, server.name)
        for resumes in range(MAX_RESUMES + 1):
            try:
                await self._stream(server, request_id, call, stream, on_token)
            except BackendLostError:
                if resumes == MAX_RESUMES:
                    raise
                stream.discard_partial_line()
            else:
                break
        if stream.usage is None:
            raise BackendLostError(
                f"backend server {server.name!r} ended the stream of request "
                f"{request_id!r} before its last token",
                step="decode",
                peer=server.name,
            )
        return stream.usage

    async def _stream(
        self,
        server: BackendServer,
        request_id: str,
        call: ModelCall,
        stream: engine.DecodeStream,
        on_token: Callable[[Token], None],
    ) -> None:
        body = engine.DecodeBody(request_id, call.output_tokens, stream.next_index)
        exchange = Exchange(
            "POST",
            base_url(server) + "/v1/decode",
            "decode",
            server.name,
            engine.encode(body),
            (("content-type", "application/json"),),
            STREAM_IDLE_TIMEOUT,
        )
        response = await self._http.send(exchange)
        if response.code != OK_STATUS:
            await treq.content(response)
            _check_status(response, "decode", server.name)
        reader = _StreamReader(self._reactor, server.name, stream, on_token)
        response.deliverBody(reader)
        await reader.done
        if stream.usage is None:
            raise BackendLostError(
                f"stream of request {request_id!r} from backend server "
                f"{server.name!r} was interrupted",
                step="decode",
                peer=server.name,
            )

    def cancel(self, server: BackendServer, request_id: str) -> "Deferred[None]":
        """Release all memory held for a request; an unknown id is not an error."""
        body = engine.CancelBody(request_id)
        return Deferred.fromCoroutine(
            self._post(server, "/v1/cancel", body, None, "cancel")
        )

    def list_held(self, server: BackendServer) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests for which the engine holds memory."""
        return Deferred.fromCoroutine(self._held(server))

    async def _held(self, server: BackendServer) -> tuple[HeldRequest, ...]:
        answer = await self._get(server, "/v1/held", engine.HeldAnswer, "recover")
        request_ids = (RequestId.parse(each) for each in answer.request_ids)
        return tuple(
            HeldRequest(str(each), each.instance, each.incarnation)
            for each in request_ids
            if each is not None
        )

    def read_load(self, server: BackendServer) -> "Deferred[EngineLoad]":
        """Return the engine's load report."""
        return Deferred.fromCoroutine(self._load(server))

    async def _load(self, server: BackendServer) -> EngineLoad:
        answer = await self._get(server, "/v1/load", engine.LoadAnswer, "load")
        return EngineLoad(answer.held, answer.waiting, answer.slots)

    def send_order(self, server: BackendServer, order: Order) -> "Deferred[None]":
        """Send an order; ``OrderRefusedError`` if its fencing token is too old."""
        state = order.state
        body = engine.OrderBody(state.kind.value, state.value, order.fencing_token)
        return Deferred.fromCoroutine(
            self._post(server, "/v1/orders", body, None, ORDER_STEP, ENGINE_TIMEOUT)
        )

    def read_state(
        self, server: BackendServer, kind: OrderKind
    ) -> "Deferred[EngineState]":
        """Return the engine's state for orders of ``kind``."""
        return Deferred.fromCoroutine(self._read_state(server, kind))

    async def _read_state(self, server: BackendServer, kind: OrderKind) -> EngineState:
        path = f"/v1/orders/{kind.value}"
        answer = await self._get(server, path, engine.StateAnswer, "read state")
        return EngineState(answer.state, answer.loading)


class _StreamReader(Protocol):
    """Passes a response body to a decode stream, with an idle timeout."""

    def __init__(
        self,
        clock: IReactorTime,
        peer: str,
        stream: engine.DecodeStream,
        on_token: Callable[[Token], None],
    ) -> None:
        self._clock = clock
        self._peer = peer
        self._stream = stream
        self._on_token = on_token
        self.done: Deferred[None] = Deferred(lambda _: self._cancel())
        self._idle_timer = clock.callLater(
            STREAM_IDLE_TIMEOUT.total_seconds(), self._abort
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on the tokens in ``data`` and restart the idle timeout."""
        self._idle_timer.reset(STREAM_IDLE_TIMEOUT.total_seconds())
        try:
            for token in self._stream.receive(data):
                self._on_token(token)
        except BackendError:
            self._finish(Failure())
            self._abort()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """End reading; ``DecodeStream`` knows whether the stream was complete."""
        self._finish(None)

    def _abort(self) -> None:
        self._close()
        self._finish(None)

    def _cancel(self) -> None:
        # A success would look like a broken stream, which is resumed.
        self._finish(Failure(CancelledError()))
        self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()

    def _finish(self, result: Failure | None) -> None:
        if self._idle_timer.active():
            self._idle_timer.cancel()
        if not self.done.called:
            self.done.callback(result)


def _check_status(response: IResponse, step: str, peer: str) -> None:
    if response.code == OK_STATUS:
        return
    if response.code == STALE_FENCING_STATUS and step == ORDER_STEP:
        text = f"backend server {peer!r} has seen a higher fencing token"
        raise OrderRefusedError(text, step=step, peer=peer)
    error_type = (
        BackendOutOfMemoryError
        if response.code == ENGINE_FULL_STATUS
        else BackendRefusedError
    )
    raise error_type(
        f"backend server {peer!r} responded to {step} with status {response.code}",
        step=step,
        peer=peer,
    )
