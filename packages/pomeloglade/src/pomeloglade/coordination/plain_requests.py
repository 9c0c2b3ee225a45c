"""Runs calls to plain services, at most once on routes that are not idempotent."""

from dataclasses import replace

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from pomeloglade_coordination.claims import Claim, Claimed, Finished
from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.placement import Job
from pomeloglade_coordination.refusals import Reason, Refusal, Step
from pomeloglade_coordination.shares import Grant

from ..errors import BackendError, BackendUnreachableError
from ..state.call import PlainAnswer, PlainCall
from ..state.deployment import BackendServer
from .admission import admit
from .components import Components
from .failures import RETRY_AFTER, refusal_of
from .fingerprints import fingerprint
from .open_requests import OpenRequest

MAX_PLACEMENTS = 3
RECORD_TIMEOUT_SECONDS = 0.25


class PlainRequests:
    """Runs plain calls, with a claim of their key on non-idempotent routes.

    The claim is acquired as the last step before dispatch. Once a byte of the
    call may have been sent, the call is never sent again, and the claim ends as
    finished or unknown.
    """

    def __init__(self, components: Components) -> None:
        self._components = components

    async def run(self, request: OpenRequest, call: PlainCall) -> PlainAnswer | Refusal:
        """Return the service's answer, a recorded answer, or a refusal."""
        if not call.route.idempotent and not call.idempotency_key:
            return Refusal(Reason.IDEMPOTENCY_KEY_MISSING, Step.RECEIVE)
        cost = call.route.plain_cost
        grant = await admit(
            self._components,
            request,
            call.route,
            cost,
            lambda: cost if request.dispatched else 0,
        )
        if isinstance(grant, Refusal):
            return grant
        request.lifecycle.add_cleanup(
            lambda: self._components.placement.cancel(request.attempt_id)
        )
        request_fingerprint = fingerprint(call)
        if call.route.idempotent:
            return await self._run_idempotent(request, call, request_fingerprint, grant)
        return await self._run_at_most_once(request, call, request_fingerprint, grant)

    async def _run_idempotent(
        self,
        request: OpenRequest,
        call: PlainCall,
        request_fingerprint: str,
        grant: Grant | None,
    ) -> PlainAnswer | Refusal:
        outcome: PlainAnswer | Refusal = Refusal(Reason.NO_BACKEND_SERVER, Step.QUEUE)
        for _ in range(MAX_PLACEMENTS):
            request.begin_attempt()
            server = await self._place(request, call, request_fingerprint)
            if isinstance(server, Refusal):
                return request.correct_not_run(server)
            try:
                return await self._dispatch(request, call, grant, server)
            except BackendError as error:
                request.check_running()
                outcome = refusal_of(error, request.dispatched)
                self._components.health.mark_failed(error.peer)
                if not self._components.retries.try_withdraw():
                    return outcome
                self._components.metrics.count_retry(outcome.reason)
            finally:
                self._components.placement.release(request.attempt_id)
        return outcome

    async def _run_at_most_once(
        self,
        request: OpenRequest,
        call: PlainCall,
        request_fingerprint: str,
        grant: Grant | None,
    ) -> PlainAnswer | Refusal:
        request.begin_attempt()
        server = await self._place(request, call, request_fingerprint)
        if isinstance(server, Refusal):
            return server
        try:
            claimed = await self._components.claims.claim(
                call.caller.name,
                call.idempotency_key,
                request_fingerprint,
                request.request_id,
            )
            if isinstance(claimed, Refusal):
                return claimed
            if isinstance(claimed, Finished):
                return _decode_recorded(claimed)
            if not self._components.claims.may_dispatch(claimed.claim):
                self._components.claims.abandon(claimed.claim)
                return Refusal(Reason.CLAIM_UNAVAILABLE, Step.CLAIM)
            return await self._run_claimed(request, call, grant, server, claimed)
        finally:
            self._components.placement.release(request.attempt_id)

    async def _run_claimed(
        self,
        request: OpenRequest,
        call: PlainCall,
        grant: Grant | None,
        server: BackendServer,
        claimed: Claimed,
    ) -> PlainAnswer | Refusal:
        claim = claimed.claim
        claim_outcome = _ClaimOutcome(self._components, claim)
        request.lifecycle.add_cleanup(claim_outcome.mark_unknown_unless_set)
        try:
            answer = await self._dispatch(request, call, grant, server)
        except BackendUnreachableError as error:
            request.dispatched = False
            claim_outcome.abandon()
            return refusal_of(error, dispatched=False)
        except BackendError as error:
            request.check_running()
            return Refusal(
                Reason.OUTCOME_UNKNOWN, Step.CALL, error.peer, False, RETRY_AFTER
            )
        if isinstance(answer, Refusal):
            claim_outcome.abandon()
            return answer
        await claim_outcome.finish(answer)
        return answer

    async def _place(
        self, request: OpenRequest, call: PlainCall, request_fingerprint: str
    ) -> BackendServer | Refusal:
        arrived_at = request.arrived_at
        job = Job(
            request_id=request.attempt_id,
            account=call.caller.name,
            weight=call.caller.weight,
            pool=call.route.pool,
            kind="plain",
            prompt_tokens=0,
            output_tokens=call.route.plain_cost,
            deadline=arrived_at + call.route.first_token.total_seconds(),
            patient=call.route.patient,
            give_up_at=arrived_at + call.route.timeout.total_seconds(),
            prefix=(),
            fingerprint=request_fingerprint,
        )
        assignment = await self._components.local_choice.assign(request, job)
        if isinstance(assignment, Refusal):
            return assignment
        servers = self._components.in_force.deployment.backend_servers_by_name
        if assignment.server in servers:
            return servers[assignment.server]
        self._components.placement.release(request.attempt_id)
        return Refusal(
            Reason.NO_BACKEND_SERVER,
            Step.QUEUE,
            assignment.server,
            retry_after=RETRY_AFTER,
        )

    async def _dispatch(
        self,
        request: OpenRequest,
        call: PlainCall,
        grant: Grant | None,
        server: BackendServer,
    ) -> PlainAnswer | Refusal:
        if grant is not None and not self._components.shares.confirm(grant):
            lapsed = Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=RETRY_AFTER)
            return request.correct_not_run(lapsed)
        request.dispatched = True
        answer = await self._components.services.call(
            server, call, new_connection=not call.route.idempotent
        )
        self._components.retries.record_success()
        return answer


class _ClaimOutcome:
    """Records exactly one outcome of a claim, ``unknown`` if no other was set.

    An answer is recorded before the caller gets it, so that a resend finds the
    record. A slow platform delays the answer by ``RECORD_TIMEOUT_SECONDS`` at
    most; a resend before the answer is recorded is refused as in progress.
    """

    def __init__(self, components: Components, claim: Claim) -> None:
        self._components = components
        self._claim = claim
        self._outcome_set = False

    def finish(self, answer: PlainAnswer) -> "Deferred[None]":
        """Record the answer; fires once that is done or has timed out, never fails."""
        self._outcome_set = True
        outcome = msgspec.msgpack.encode(answer)
        recorded = self._components.claims.finish(self._claim, outcome)
        recorded_or_timed_out: Deferred[None] = Deferred()
        self._count_errors(recorded)
        recorded.addCallback(lambda _: _fire_once(recorded_or_timed_out))
        self._components.clock.callLater(
            RECORD_TIMEOUT_SECONDS, _fire_once, recorded_or_timed_out
        )
        return recorded_or_timed_out

    def abandon(self) -> None:
        """Free the key, because nothing of the call has been sent."""
        self._outcome_set = True
        self._count_errors(self._components.claims.abandon(self._claim))

    def mark_unknown_unless_set(self) -> None:
        """Record that the call may have run, unless another outcome was set."""
        if not self._outcome_set:
            self._components.claims.mark_unknown(self._claim)

    def _count_errors(self, recorded: "Deferred[None]") -> None:
        recorded.addErrback(self._on_error)

    def _on_error(self, failure: Failure) -> None:
        failure.trap(CoordinationError)
        self._components.metrics.event("claims", "not_recorded")


def _fire_once(deferred: "Deferred[None]") -> None:
    if not deferred.called:
        deferred.callback(None)


def _decode_recorded(finished: Finished) -> PlainAnswer:
    answer = msgspec.msgpack.decode(finished.outcome, type=PlainAnswer)
    return replace(answer, replayed=True)
