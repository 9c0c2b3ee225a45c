"""One task for each request: runs it, bounds it, and gives it one final answer."""

from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, TypeVar

import eliot
from twisted.internet.defer import Deferred

from pomeloglade_coordination.refusals import Reason, Refusal, Step

from ..state.call import Caller, ModelCall, PlainAnswer, PlainCall
from .answer import AnswerSink
from .model_requests import ModelRequests
from .open_requests import OpenRequest, OpenRequests
from .parts import Parts
from .plain_requests import PlainRequests

T = TypeVar("T")


class RequestTasks:
    """Starts and ends the tasks that answer requests.

    Parameters
    ----------
    parts : Parts
        The parts that the tasks share.
    open_requests : OpenRequests
        Where each request is registered while it is answered.
    """

    def __init__(self, parts: Parts, open_requests: OpenRequests) -> None:
        self._parts = parts
        self._open = open_requests
        self._models = ModelRequests(parts)
        self._plain = PlainRequests(parts)

    def open(self, caller: Caller) -> OpenRequest:
        """Register a new request of ``caller`` under an id of its own."""
        return self._open.open(caller, self._parts.clock.seconds())

    async def answer_model(
        self, request: OpenRequest, call: ModelCall, sink: AnswerSink
    ) -> None:
        """Answer a model call; the last thing given to ``sink`` ends it."""
        work = self._models.run(request, call, sink)
        outcome = await self._bounded(request, work, call.route.timeout)
        if isinstance(outcome, Refusal):
            self._refused(request, outcome)
            sink.refuse(outcome)
            return
        if request.lifecycle.finish():
            self._answered(request, call)
            sink.finish(outcome)

    async def answer_plain(
        self, request: OpenRequest, call: PlainCall
    ) -> PlainAnswer | Refusal:
        """Return the final answer to a plain call."""
        work = self._plain.run(request, call)
        outcome = await self._bounded(request, work, call.route.timeout)
        if isinstance(outcome, Refusal):
            self._refused(request, outcome)
        elif request.lifecycle.finish():
            self._answered(request, call)
        return outcome

    async def _bounded(
        self,
        request: OpenRequest,
        work: Coroutine[Any, Any, T | Refusal],
        timeout: timedelta,
    ) -> T | Refusal:
        deadline = self._parts.clock.callLater(
            timeout.total_seconds(), request.stop, Reason.DEADLINE, Step.QUEUE
        )
        request.work = Deferred.fromCoroutine(work)
        try:
            return await request.work
        except Exception as error:
            if request.ending is not None:
                return request.ending
            return self._internal_error(request, error)
        finally:
            if deadline.active():
                deadline.cancel()

    def _internal_error(self, request: OpenRequest, error: Exception) -> Refusal:
        eliot.write_traceback(exc_info=(type(error), error, error.__traceback__))
        self._parts.metrics.event("requests", "internal_error")
        return Refusal(
            Reason.BACKEND_FAILED, Step.RECEIVE, not_run=not request.dispatched
        )

    def _answered(self, request: OpenRequest, call: ModelCall | PlainCall) -> None:
        seconds = self._parts.clock.seconds() - request.arrived
        self._parts.metrics.answered(call.route.name, call.caller.name, seconds)

    def _refused(self, request: OpenRequest, refusal: Refusal) -> None:
        if request.lifecycle.refuse():
            self._parts.metrics.refused(refusal)
