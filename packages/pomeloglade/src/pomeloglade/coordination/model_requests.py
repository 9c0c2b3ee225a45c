"""Answers model calls: budget, placement, prefill, transfer, decode."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pomeloglade_coordination.placement import Assignment, Job
from pomeloglade_coordination.refusals import Reason, Refusal, Step
from pomeloglade_coordination.shares import Grant
from pomeloglade_coordination.suspects import Admission

from ..errors import (
    BackendError,
    BackendFullError,
    BackendLostError,
    BackendUnreachableError,
)
from ..state.call import ModelCall, Token, Usage
from ..state.deployment import BackendServer
from .admission import admit
from .answer import AnswerSink
from .failures import RETRY_AFTER, refusal_of
from .fingerprints import fingerprint, prefix_hashes
from .open_requests import OpenRequest
from .parts import Parts

MAX_PLACEMENTS = 3
"""How often one request is placed when engines refuse or can't be reached."""


@dataclass(slots=True, eq=False)
class _Run:
    """One model call with what it has used so far."""

    request: OpenRequest
    call: ModelCall
    sink: AnswerSink
    fingerprint: str
    prompt_used: int = 0
    output_used: int = 0
    alone: bool = False
    answered: bool = False

    @property
    def attempt_id(self) -> str:
        return self.request.attempt_id

    @property
    def used(self) -> int:
        return self.prompt_used + self.output_used

    def take(self, token: Token) -> None:
        """Count a token and pass it on."""
        self.output_used += 1
        self.request.lifecycle.stream()
        self.sink.token(token)


class ModelRequests:
    """Runs model calls from admission to their last token.

    Memory for the decode is reserved before the prefill starts, so that no
    prefill is computed for a request that can't be decoded.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    async def run(
        self, request: OpenRequest, call: ModelCall, sink: AnswerSink
    ) -> Usage | Refusal:
        """Answer one call through ``sink``; return how it ended.

        The caller of this method sends the refusal, if one is returned.
        """
        run = _Run(request, call, sink, fingerprint(call))
        admission = self._parts.suspects.admit(run.fingerprint)
        if isinstance(admission, Refusal):
            return admission
        grant = await admit(
            self._parts, request, call.route, call.cost, lambda: run.used
        )
        if isinstance(grant, Refusal):
            return grant
        run.alone = admission is Admission.RUN_ALONE
        return await self._place_and_serve(run, grant)

    async def _place_and_serve(self, run: _Run, grant: Grant | None) -> Usage | Refusal:
        outcome: Usage | Refusal = Refusal(Reason.NO_BACKEND_SERVER, Step.QUEUE)
        run.request.lifecycle.undo(lambda: self._parts.placement.cancel(run.attempt_id))
        for _ in range(MAX_PLACEMENTS):
            run.request.begin_attempt()
            assignment = await self._parts.placement.assign(self._job(run))
            if isinstance(assignment, Refusal):
                return run.request.truly(assignment)
            try:
                return await self._serve(run, grant, assignment)
            except BackendError as error:
                run.request.check_running()
                outcome = refusal_of(error, run.request.dispatched)
                if not await self._may_retry(run, error):
                    return outcome
                self._parts.metrics.retried(outcome.reason)
            finally:
                self._leave(run, assignment)
        return outcome

    def _leave(self, run: _Run, assignment: Assignment) -> None:
        for server in (assignment.prefill, assignment.decode):
            self._parts.suspects.ended(run.fingerprint, server)
        self._parts.placement.release(run.attempt_id, completed=run.answered)

    def _job(self, run: _Run) -> Job:
        call = run.call
        return Job(
            request_id=run.attempt_id,
            account=call.caller.name,
            weight=call.caller.weight,
            pool=call.route.pool,
            kind="model",
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            deadline=run.request.arrived + call.route.first_token.total_seconds(),
            patient=call.route.patient,
            give_up=run.request.arrived + call.route.timeout.total_seconds(),
            prefix=prefix_hashes(call.prompt),
            fingerprint=run.fingerprint,
            alone=run.alone,
        )

    async def _serve(
        self, run: _Run, grant: Grant | None, assignment: Assignment
    ) -> Usage | Refusal:
        prefill = self._server(assignment.prefill, Step.PREFILL)
        decode = self._server(assignment.decode, Step.RESERVE)
        if grant is not None and not self._parts.shares.confirm(grant):
            lapsed = Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=RETRY_AFTER)
            return run.request.truly(lapsed)
        with _Held(self._parts, run.attempt_id) as held:
            held.add(decode)
            await self._parts.engines.reserve(decode, run.attempt_id, run.call.cost)
            held.add(prefill)
            await self._prefill_and_transfer(run, prefill, decode)
            usage = await self._decode(run, decode)
            held.ended()
        return usage

    def _server(self, name: str, step: Step) -> BackendServer:
        servers = self._parts.in_force.deployment.backend_servers_by_name
        if name not in servers:
            raise BackendUnreachableError(
                f"backend server {name!r} is not in the configuration in force",
                step=step.value,
                peer=name,
            )
        return servers[name]

    async def _prefill_and_transfer(
        self, run: _Run, prefill: BackendServer, decode: BackendServer
    ) -> None:
        run.request.dispatched = True
        run.prompt_used = run.call.prompt_tokens
        self._parts.suspects.started(run.fingerprint, prefill.name)
        prefilled = await self._parts.engines.prefill(prefill, run.attempt_id, run.call)
        await self._parts.engines.transfer(prefill, decode, run.attempt_id, prefilled)
        self._parts.placement.prefilled(run.attempt_id)

    async def _decode(self, run: _Run, decode: BackendServer) -> Usage:
        self._parts.suspects.started(run.fingerprint, decode.name)
        usage = await self._parts.engines.decode(
            decode, run.attempt_id, run.call, run.take
        )
        run.answered = True
        self._parts.suspects.completed(run.fingerprint)
        self._parts.retries.success()
        return usage

    async def _may_retry(self, run: _Run, error: BackendError) -> bool:
        peer = error.peer
        if isinstance(error, BackendFullError):
            self._parts.placement.refused_by_engine(run.attempt_id, peer)
            return True
        if isinstance(error, BackendUnreachableError):
            self._parts.health.failed(peer)
        elif isinstance(error, BackendLostError):
            if await self._parts.health.crashed(peer):
                self._parts.suspects.crashed(peer)
        else:
            return False
        if run.output_used or not run.call.route.idempotent:
            return False
        admission = self._parts.suspects.admit(run.fingerprint)
        if isinstance(admission, Refusal):
            return False
        run.alone = admission is Admission.RUN_ALONE
        return self._parts.retries.allow()


class _Held:
    """Cancels a request at the engines that may hold memory for it."""

    def __init__(self, parts: Parts, request_id: str) -> None:
        self._parts = parts
        self._request_id = request_id
        self._servers_by_name: dict[str, BackendServer] = {}

    def __enter__(self) -> "_Held":
        return self

    def add(self, server: BackendServer) -> None:
        """Note that ``server`` may hold memory from now on."""
        self._servers_by_name[server.name] = server

    def ended(self) -> None:
        """Note that the engines have released everything themselves."""
        self._servers_by_name.clear()

    def __exit__(self, *exception: object) -> None:
        for server in self._servers_by_name.values():
            self._cancel(server)

    def _cancel(self, server: BackendServer) -> None:
        cancelled: Deferred[None] = self._parts.engines.cancel(server, self._request_id)
        cancelled.addErrback(lambda failure: self._failed(failure.value))

    def _failed(self, error: Exception) -> None:
        if not isinstance(error, BackendError):
            raise error
        self._parts.metrics.event("engine", "cancel_failed")
