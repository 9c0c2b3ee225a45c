"""HTTP site for callers, operators and the platform's probes."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..coordination.current_configuration import CurrentConfiguration
from ..coordination.open_requests import OpenRequest
from ..coordination.request_tasks import RequestTasks
from ..errors import BadRequestError
from ..protocol import completions
from ..state.call import Caller, Header, ModelCall, PlainCall
from ..state.deployment import Route
from ..state.metrics import Metrics
from .answers import BufferedAnswer, StreamedAnswer, with_content_length, write_refusal
from .connections import ConnectionTracker
from .limited_request import LimitedSite
from .status_page import StatusPage

T = TypeVar("T")
BEARER_PREFIX = "Bearer "
CHAT_SUFFIX = "/chat/completions"
COMPLETION_SUFFIX = "/completions"
ROUTED_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
REPLAYED_HEADER = "Idempotent-Replayed"
REQUEST_ID_HEADER = "X-Request-Id"


class RouterSite:
    """Authenticates and routes HTTP requests and starts their tasks.

    Parameters
    ----------
    in_force : CurrentConfiguration
        The configuration in force.
    tasks : RequestTasks
        Serves the requests.
    metrics : Metrics
        Counts refusals made before a task exists; served at ``/metrics``.
    status : StatusPage
        Readiness, and the status for operators.
    """

    app = Klein()

    def __init__(
        self,
        in_force: CurrentConfiguration,
        tasks: RequestTasks,
        metrics: Metrics,
        status: StatusPage,
    ) -> None:
        self._in_force = in_force
        self._tasks = tasks
        self._metrics = metrics
        self._status = status

    def build_factory(self, max_body_bytes: int) -> ConnectionTracker:
        """Return a protocol factory that serves this site."""
        resource = self.app.resource()
        site = LimitedSite(resource, max_body_bytes, self._body_too_large)
        return ConnectionTracker(site)

    @app.route("/live", methods=["GET"])
    def live(self, http: IRequest) -> bytes:
        """Serve the liveness probe."""
        return b"live\n"

    @app.route("/ready", methods=["GET"])
    def ready(self, http: IRequest) -> bytes:
        """Serve the readiness probe: whether to send new requests here."""
        if self._status.ready:
            return b"ready\n"
        http.setResponseCode(503)
        return b"not ready\n"

    @app.route("/metrics", methods=["GET"])
    def metrics(self, http: IRequest) -> bytes:
        """Return counters and latencies in Prometheus' text format."""
        http.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.render() + self._status.render_counters()

    @app.route("/admin/status", methods=["GET"])
    def status(self, http: IRequest) -> bytes:
        """Return the status of this instance and its view of the peers."""
        http.setHeader("Content-Type", "application/json")
        return self._status.render_status()

    @app.route("/", methods=ROUTED_METHODS, branch=True)
    def dispatch(self, http: IRequest) -> Any:
        """Authenticate a caller's request and pass it to its route."""
        path = http.path.decode("latin-1")
        route = self._in_force.routes.find(path)
        if self._in_force.revision == 0:
            refusal = Refusal(Reason.NOT_READY, Step.RECEIVE)
            return self._refuse(http, refusal)
        if route is None:
            return self._refuse(http, Refusal(Reason.UNKNOWN_ROUTE, Step.RECEIVE))
        caller = self._in_force.keys.authenticate(route, _bearer_token(http))
        if isinstance(caller, Refusal):
            return self._refuse(http, caller)
        refusal = self._status.refusal_while_cut_off(caller)
        if refusal is not None:
            return self._refuse(http, refusal)
        if route.kind == "model":
            return self._handle_model_call(http, route, caller, path)
        return self._handle_plain_call(http, route, caller)

    def _handle_model_call(
        self, http: IRequest, route: Route, caller: Caller, path: str
    ) -> "Deferred[bytes] | bytes":
        try:
            call = self._model_call(http, route, caller, path)
        except BadRequestError as error:
            refusal = Refusal(Reason.BAD_REQUEST, Step.RECEIVE, detail=str(error))
            return self._refuse(http, refusal)
        model = self._in_force.deployment.models_by_name.get(call.model)
        if model is None or model.pool != route.pool:
            return self._refuse(http, Refusal(Reason.UNKNOWN_MODEL, Step.RECEIVE))
        request = self._open_request(http, caller)
        sink_type = StreamedAnswer if call.stream else BufferedAnswer
        sink = sink_type(http, request.request_id, call.model, call.chat)
        answer = self._tasks.answer_model(request, call, sink)
        return _cancel_on_disconnect(request, answer)

    def _model_call(
        self, http: IRequest, route: Route, caller: Caller, path: str
    ) -> ModelCall:
        if http.method != b"POST" or not path.endswith(COMPLETION_SUFFIX):
            raise BadRequestError(
                f"{http.method.decode()} {path} is not a model call", step="receive"
            )
        body = completions.decode_body(http.content.read())
        return ModelCall(
            caller,
            route,
            body.model,
            body.text,
            body.max_tokens,
            body.stream,
            path.endswith(CHAT_SUFFIX),
        )

    def _handle_plain_call(self, http: IRequest, route: Route, caller: Caller) -> Any:
        call = PlainCall(
            caller,
            route,
            http.method.decode("ascii"),
            http.uri.decode("latin-1"),
            _request_headers(http),
            http.content.read(),
            http.getHeader("Idempotency-Key") or "",
        )
        request = self._open_request(http, caller)
        answer = self._answer_plain(http, request, call)
        if route.idempotent:
            return _cancel_on_disconnect(request, answer)
        return Deferred.fromCoroutine(answer)

    async def _answer_plain(
        self, http: IRequest, request: OpenRequest, call: PlainCall
    ) -> bytes:
        answer = await self._tasks.answer_plain(request, call)
        if isinstance(answer, Refusal):
            return write_refusal(http, answer, request.request_id)
        http.setResponseCode(answer.status)
        for header in answer.headers:
            http.responseHeaders.addRawHeader(
                header.name.encode("latin-1"), header.value.encode("latin-1")
            )
        if answer.replayed:
            http.setHeader(REPLAYED_HEADER, "true")
        return with_content_length(http, answer.body)

    def _open_request(self, http: IRequest, caller: Caller) -> OpenRequest:
        request = self._tasks.open(caller)
        http.setHeader(REQUEST_ID_HEADER, request.request_id)
        return request

    def _refuse(self, http: IRequest, refusal: Refusal) -> bytes:
        self._metrics.count_refusal(refusal)
        return write_refusal(http, refusal, "")

    def _body_too_large(self) -> bytes:
        refusal = Refusal(Reason.BODY_TOO_LARGE, Step.RECEIVE)
        self._metrics.count_refusal(refusal)
        return completions.encode_refusal(refusal, "")


def _cancel_on_disconnect(
    request: OpenRequest, answer: Coroutine[Any, Any, T]
) -> "Deferred[T]":
    """Run ``answer``; klein cancels the Deferred when the caller disconnects."""
    answered: Deferred[T] = Deferred(
        lambda _: request.stop(Reason.CANCELLED, Step.RECEIVE)
    )
    Deferred.fromCoroutine(answer).chainDeferred(answered)
    return answered


def _bearer_token(http: IRequest) -> str:
    header = http.getHeader("Authorization") or ""
    return (
        header[len(BEARER_PREFIX) :].strip() if header.startswith(BEARER_PREFIX) else ""
    )


def _request_headers(http: IRequest) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in http.requestHeaders.getAllRawHeaders()
        for value in values
    )
