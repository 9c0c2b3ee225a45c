"""The HTTP site that callers, operators and the platform's probes talk to."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..coordination.in_force import InForce
from ..coordination.open_requests import OpenRequest
from ..coordination.request_tasks import RequestTasks
from ..errors import BadRequestError
from ..protocol import completions
from ..state.call import Caller, Header, ModelCall, PlainCall
from ..state.deployment import Route
from ..state.metrics import Metrics
from .answers import StreamedAnswer, WholeAnswer, whole_body, write_refusal
from .connections import Connections
from .limited_request import LimitedSite
from .status_page import StatusPage

T = TypeVar("T")
BEARER = "Bearer "
CHAT_PATH = "/chat/completions"
COMPLETION_PATH = "/completions"
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
REPLAYED_HEADER = "Idempotent-Replayed"
REQUEST_ID_HEADER = "X-Request-Id"


class RouterSite:
    """Turns HTTP requests into tasks.

    Parameters
    ----------
    in_force : InForce
        The configuration in force.
    tasks : RequestTasks
        Answers the requests.
    metrics : Metrics
        Counts refusals made before a task exists, and is shown to operators.
    status : StatusPage
        Liveness, readiness and the operators' status.
    """

    app = Klein()

    def __init__(
        self,
        in_force: InForce,
        tasks: RequestTasks,
        metrics: Metrics,
        status: StatusPage,
    ) -> None:
        self._in_force = in_force
        self._tasks = tasks
        self._metrics = metrics
        self._status = status

    def site(self, max_body_bytes: int) -> Connections:
        """Return the factory to listen with."""
        resource = self.app.resource()
        site = LimitedSite(resource, max_body_bytes, self._body_too_large)
        return Connections(site)

    @app.route("/live", methods=["GET"])
    def live(self, http: IRequest) -> bytes:
        """Answer that the process runs."""
        return b"live\n"

    @app.route("/ready", methods=["GET"])
    def ready(self, http: IRequest) -> bytes:
        """Answer whether new requests should be sent here."""
        if self._status.ready:
            return b"ready\n"
        http.setResponseCode(503)
        return b"not ready\n"

    @app.route("/metrics", methods=["GET"])
    def metrics(self, http: IRequest) -> bytes:
        """Return counters and latencies."""
        http.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.render() + self._status.render_counters()

    @app.route("/admin/status", methods=["GET"])
    def status(self, http: IRequest) -> bytes:
        """Return what this instance knows about itself and its peers."""
        http.setHeader("Content-Type", "application/json")
        return self._status.render()

    @app.route("/", methods=METHODS, branch=True)
    def routed(self, http: IRequest) -> Any:
        """Answer a caller's request."""
        path = http.path.decode("latin-1")
        route = self._in_force.routes.find(path)
        if self._in_force.revision == 0:
            refusal = Refusal(Reason.NOT_READY, Step.RECEIVE)
            return self._refuse(http, refusal)
        if route is None:
            return self._refuse(http, Refusal(Reason.UNKNOWN_ROUTE, Step.RECEIVE))
        caller = self._in_force.keys.authenticate(route, _key(http))
        if isinstance(caller, Refusal):
            return self._refuse(http, caller)
        cut_off = self._status.refuses(caller)
        if cut_off is not None:
            return self._refuse(http, cut_off)
        if route.kind == "model":
            return self._model(http, route, caller, path)
        return self._plain(http, route, caller)

    def _model(
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
        request = self._open(http, caller)
        sink_type = StreamedAnswer if call.stream else WholeAnswer
        sink = sink_type(http, request.request_id, call.model, call.chat)
        work = self._tasks.answer_model(request, call, sink)
        return _until_caller_goes(request, work)

    def _model_call(
        self, http: IRequest, route: Route, caller: Caller, path: str
    ) -> ModelCall:
        if http.method != b"POST" or not path.endswith(COMPLETION_PATH):
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
            path.endswith(CHAT_PATH),
        )

    def _plain(self, http: IRequest, route: Route, caller: Caller) -> Any:
        call = PlainCall(
            caller,
            route,
            http.method.decode("ascii"),
            http.uri.decode("latin-1"),
            _headers(http),
            http.content.read(),
            http.getHeader("Idempotency-Key") or "",
        )
        request = self._open(http, caller)
        work = self._answer_plain(http, request, call)
        if route.idempotent:
            return _until_caller_goes(request, work)
        return Deferred.fromCoroutine(work)

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
        return whole_body(http, answer.body)

    def _open(self, http: IRequest, caller: Caller) -> OpenRequest:
        request = self._tasks.open(caller)
        http.setHeader(REQUEST_ID_HEADER, request.request_id)
        return request

    def _refuse(self, http: IRequest, refusal: Refusal) -> bytes:
        self._metrics.refused(refusal)
        return write_refusal(http, refusal, "")

    def _body_too_large(self) -> bytes:
        refusal = Refusal(Reason.BODY_TOO_LARGE, Step.RECEIVE)
        self._metrics.refused(refusal)
        return completions.encode_refusal(refusal, "")


def _until_caller_goes(
    request: OpenRequest, work: Coroutine[Any, Any, T]
) -> "Deferred[T]":
    """Start ``work``; klein cancels the result when the caller disconnects."""
    answered: Deferred[T] = Deferred(
        lambda _: request.stop(Reason.CANCELLED, Step.RECEIVE)
    )
    Deferred.fromCoroutine(work).chainDeferred(answered)
    return answered


def _key(http: IRequest) -> str:
    header = http.getHeader("Authorization") or ""
    return header[len(BEARER) :].strip() if header.startswith(BEARER) else ""


def _headers(http: IRequest) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, values in http.requestHeaders.getAllRawHeaders()
        for value in values
    )
