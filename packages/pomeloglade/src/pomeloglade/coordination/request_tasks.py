"""Runs each request as a task with a time limit and one final answer."""

from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, TypeVar

import eliot
from twisted.internet.defer import Deferred

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..state.call import Caller, ModelCall, PlainAnswer, PlainCall
from .answer import AnswerSink
from .components import Components
from .model_requests import ModelRequests
from .open_requests import OpenRequest, OpenRequests
from .plain_requests import PlainRequests

T = TypeVar("T")


class RequestTasks:
    """Starts and ends the tasks that answer requests.

    Parameters
    ----------
    components : Components
        The components that the tasks use.
    open_requests : OpenRequests
        Where each request is registered while it is answered.
    """

    def __init__(self, components: Components, open_requests: OpenRequests) -> None:
        self._components = components
        self._open_requests = open_requests
        self._model_requests = ModelRequests(components)
        self._plain_requests = PlainRequests(components)

    def open(self, caller: Caller) -> OpenRequest:
        """Register a new request of ``caller`` under an id of its own."""
        return self._open_requests.open(caller, self._components.clock.seconds())

    async def answer_model(
        self, request: OpenRequest, call: ModelCall, sink: AnswerSink
    ) -> None:
        """Run a model call; pass its tokens and its usage or refusal to ``sink``."""
        coroutine = self._model_requests.run(request, call, sink)
        outcome = await self._run_with_timeout(request, coroutine, call.route.timeout)
        if isinstance(outcome, Refusal):
            self._count_refusal(request, outcome)
            sink.refuse(outcome)
            return
        if request.lifecycle.finish():
            self._count_answer(request, call)
            sink.finish(outcome)

    async def answer_plain(
        self, request: OpenRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        """Run a plain call; return the service's answer or a refusal."""
        coroutine = self._plain_requests.run(request, call)
        outcome = await self._run_with_timeout(request, coroutine, call.route.timeout)
        if isinstance(outcome, Refusal):
            self._count_refusal(request, outcome)
        elif request.lifecycle.finish():
            self._count_answer(request, call)
        return outcome

    async def _run_with_timeout(
        self,
        request: OpenRequest,
        coroutine: Coroutine[Any, Any, T | Refusal],
        timeout: timedelta,
    ) -> T | Refusal:
        deadline = self._components.clock.callLater(
            timeout.total_seconds(), request.stop, Reason.DEADLINE, Step.QUEUE
        )
        request.task = Deferred.fromCoroutine(coroutine)
        try:
            return await request.task
        except Exception as error:
            if request.stop_refusal is not None:
                return request.stop_refusal
            return self._internal_error(request, error)
        finally:
            if deadline.active():
                deadline.cancel()

    def _internal_error(self, request: OpenRequest, error: Exception) -> Refusal:
        eliot.write_traceback(exc_info=(type(error), error, error.__traceback__))
        self._components.metrics.event("requests", "internal_error")
        return Refusal(
            Reason.BACKEND_FAILED, Step.RECEIVE, not_run=not request.dispatched
        )

    def _count_answer(self, request: OpenRequest, call: ModelCall | PlainCall) -> None:
        seconds = self._components.clock.seconds() - request.arrived_at
        self._components.metrics.count_answer(
            call.route.name, call.caller.name, seconds
        )

    def _count_refusal(self, request: OpenRequest, refusal: Refusal) -> None:
        if request.lifecycle.refuse():
            self._components.metrics.count_refusal(refusal)
