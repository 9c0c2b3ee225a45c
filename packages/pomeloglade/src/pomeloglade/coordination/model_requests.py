"""Runs model calls: admission, placement, prefill, KV cache transfer, decode."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from pomeloglade_coordination.placement import Assignment, Job
from pomeloglade_coordination.refusals import Reason, Refusal, Step
from pomeloglade_coordination.shares import Grant
from pomeloglade_coordination.suspects import Admission

from ..errors import (
    BackendError,
    BackendLostError,
    BackendOutOfMemoryError,
    BackendUnreachableError,
)
from ..state.call import ModelCall, Token, Usage
from ..state.deployment import BackendServer
from .admission import admit
from .answer import AnswerSink
from .components import Components
from .failures import RETRY_AFTER, refusal_of
from .fingerprints import fingerprint, prefix_hashes
from .open_requests import OpenRequest

MAX_PLACEMENTS = 3
"""Maximum number of placements of one request, including retries."""


@dataclass(slots=True, eq=False)
class _Run:
    """One model call and the tokens that it has used so far.

    ``alone`` is set for a request suspected of crashing backend servers; it runs on
    servers without any other suspect.
    """

    request: OpenRequest
    call: ModelCall
    sink: AnswerSink
    fingerprint: str
    used_prompt_tokens: int = 0
    used_output_tokens: int = 0
    alone: bool = False
    completed: bool = False

    @property
    def attempt_id(self) -> str:
        return self.request.attempt_id

    @property
    def used_tokens(self) -> int:
        return self.used_prompt_tokens + self.used_output_tokens

    def forward_token(self, token: Token) -> None:
        """Count a generated token and pass it to the sink."""
        self.used_output_tokens += 1
        self.request.lifecycle.stream()
        self.sink.send_token(token)


class ModelRequests:
    """Runs model calls from admission to their last token.

    Memory for the decode is reserved before the prefill starts, so that no
    prefill is computed for a request that can't be decoded.
    """

    def __init__(self, components: Components) -> None:
        self._components = components

    async def run(
        self, request: OpenRequest, call: ModelCall, sink: AnswerSink
    ) -> Usage | Refusal:
        """Pass the tokens of one call to ``sink``; return its usage or a refusal.

        The caller of this method reports that result to ``sink``.
        """
        run = _Run(request, call, sink, fingerprint(call))
        admission = self._components.suspects.admit(run.fingerprint)
        if isinstance(admission, Refusal):
            return admission
        grant = await admit(
            self._components, request, call.route, call.cost, lambda: run.used_tokens
        )
        if isinstance(grant, Refusal):
            return grant
        run.alone = admission is Admission.RUN_ALONE
        return await self._place_and_serve(run, grant)

    async def _place_and_serve(self, run: _Run, grant: Grant | None) -> Usage | Refusal:
        outcome: Usage | Refusal = Refusal(Reason.NO_BACKEND_SERVER, Step.QUEUE)
        run.request.lifecycle.add_cleanup(
            lambda: self._components.placement.cancel(run.attempt_id)
        )
        for _ in range(MAX_PLACEMENTS):
            run.request.begin_attempt()
            assignment = await self._components.placement.assign(self._job(run))
            if isinstance(assignment, Refusal):
                return run.request.correct_not_run(assignment)
            try:
                return await self._serve(run, grant, assignment)
            except BackendError as error:
                run.request.check_running()
                outcome = refusal_of(error, run.request.dispatched)
                if not await self._may_retry(run, error):
                    return outcome
                self._components.metrics.count_retry(outcome.reason)
            finally:
                self._release_placement(run, assignment)
        return outcome

    def _release_placement(self, run: _Run, assignment: Assignment) -> None:
        for server in (assignment.prefill, assignment.decode):
            self._components.suspects.request_ended(run.fingerprint, server)
        self._components.placement.release(run.attempt_id, completed=run.completed)

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
            deadline=run.request.arrived_at + call.route.first_token.total_seconds(),
            patient=call.route.patient,
            give_up_at=run.request.arrived_at + call.route.timeout.total_seconds(),
            prefix=prefix_hashes(call.prompt),
            fingerprint=run.fingerprint,
            alone=run.alone,
        )

    async def _serve(
        self, run: _Run, grant: Grant | None, assignment: Assignment
    ) -> Usage | Refusal:
        prefill = self._server(assignment.prefill, Step.PREFILL)
        decode = self._server(assignment.decode, Step.RESERVE)
        if grant is not None and not self._components.shares.confirm(grant):
            lapsed = Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=RETRY_AFTER)
            return run.request.correct_not_run(lapsed)
        with _Held(self._components, run.attempt_id) as held:
            held.add(decode)
            await self._components.engines.reserve(
                decode, run.attempt_id, run.call.cost
            )
            held.add(prefill)
            await self._prefill_and_transfer(run, prefill, decode)
            usage = await self._decode(run, decode)
            held.clear()
        return usage

    def _server(self, name: str, step: Step) -> BackendServer:
        servers = self._components.in_force.deployment.backend_servers_by_name
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
        run.used_prompt_tokens = run.call.prompt_tokens
        self._components.suspects.request_sent(run.fingerprint, prefill.name)
        prefilled = await self._components.engines.prefill(
            prefill, run.attempt_id, run.call
        )
        await self._components.engines.transfer(
            prefill, decode, run.attempt_id, prefilled
        )
        self._components.placement.prefilled(run.attempt_id)

    async def _decode(self, run: _Run, decode: BackendServer) -> Usage:
        self._components.suspects.request_sent(run.fingerprint, decode.name)
        usage = await self._components.engines.decode(
            decode, run.attempt_id, run.call, run.forward_token
        )
        run.completed = True
        self._components.suspects.request_completed(run.fingerprint)
        self._components.retries.record_success()
        return usage

    async def _may_retry(self, run: _Run, error: BackendError) -> bool:
        peer = error.peer
        if isinstance(error, BackendOutOfMemoryError):
            self._components.placement.refused_by_engine(run.attempt_id, peer)
            return True
        if isinstance(error, BackendUnreachableError):
            self._components.health.mark_failed(peer)
        elif isinstance(error, BackendLostError):
            if await self._components.health.confirm_down(peer):
                self._components.suspects.server_crashed(peer)
        else:
            return False
        if run.used_output_tokens or not run.call.route.idempotent:
            return False
        admission = self._components.suspects.admit(run.fingerprint)
        if isinstance(admission, Refusal):
            return False
        run.alone = admission is Admission.RUN_ALONE
        return self._components.retries.try_withdraw()


class _Held:
    """Cancels a request on exit, at the engines that may still hold memory for it."""

    def __init__(self, components: Components, request_id: str) -> None:
        self._components = components
        self._request_id = request_id
        self._servers_by_name: dict[str, BackendServer] = {}

    def __enter__(self) -> "_Held":
        return self

    def add(self, server: BackendServer) -> None:
        """Record that ``server`` may hold memory from now on."""
        self._servers_by_name[server.name] = server

    def clear(self) -> None:
        """Record that the engines have released the memory themselves."""
        self._servers_by_name.clear()

    def __exit__(self, *exception: object) -> None:
        for server in self._servers_by_name.values():
            self._cancel(server)

    def _cancel(self, server: BackendServer) -> None:
        cancelled: Deferred[None] = self._components.engines.cancel(
            server, self._request_id
        )
        cancelled.addErrback(lambda failure: self._cancel_failed(failure.value))

    def _cancel_failed(self, error: Exception) -> None:
        if not isinstance(error, BackendError):
            raise error
        self._components.metrics.event("engine", "cancel_failed")
