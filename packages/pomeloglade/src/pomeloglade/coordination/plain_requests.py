"""Answers calls to plain services, at most once where that is asked."""

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
from .failures import RETRY_AFTER, refusal_of
from .fingerprints import fingerprint
from .open_requests import OpenRequest
from .parts import Parts

MAX_PLACEMENTS = 3
RECORD_SECONDS = 0.25


class PlainRequests:
    """Runs plain calls; those on a route that is not idempotent are claimed.

    The claim is the last step before dispatch. Once a byte of the call may have
    left, it is never sent again: the claim then ends finished or unknown.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    async def run(self, request: OpenRequest, call: PlainCall) -> PlainAnswer | Refusal:
        """Return the service's answer, a recorded one, or a refusal."""
        if not call.route.idempotent and not call.idempotency_key:
            return Refusal(Reason.IDEMPOTENCY_KEY_MISSING, Step.RECEIVE)
        cost = call.route.plain_cost
        grant = await admit(
            self._parts,
            request,
            call.route,
            cost,
            lambda: cost if request.dispatched else 0,
        )
        if isinstance(grant, Refusal):
            return grant
        request.lifecycle.undo(lambda: self._parts.placement.cancel(request.attempt_id))
        digest = fingerprint(call)
        if call.route.idempotent:
            return await self._repeatable(request, call, digest, grant)
        return await self._once(request, call, digest, grant)

    async def _repeatable(
        self, request: OpenRequest, call: PlainCall, digest: str, grant: Grant | None
    ) -> PlainAnswer | Refusal:
        outcome: PlainAnswer | Refusal = Refusal(Reason.NO_BACKEND_SERVER, Step.QUEUE)
        for _ in range(MAX_PLACEMENTS):
            request.begin_attempt()
            server = await self._place(request, call, digest)
            if isinstance(server, Refusal):
                return request.truly(server)
            try:
                return await self._dispatch(request, call, grant, server)
            except BackendError as error:
                request.check_running()
                outcome = refusal_of(error, request.dispatched)
                self._parts.health.failed(error.peer)
                if not self._parts.retries.allow():
                    return outcome
                self._parts.metrics.retried(outcome.reason)
            finally:
                self._parts.placement.release(request.attempt_id)
        return outcome

    async def _once(
        self, request: OpenRequest, call: PlainCall, digest: str, grant: Grant | None
    ) -> PlainAnswer | Refusal:
        request.begin_attempt()
        server = await self._place(request, call, digest)
        if isinstance(server, Refusal):
            return server
        try:
            claimed = await self._parts.claims.claim(
                call.caller.name,
                call.idempotency_key,
                digest,
                request.request_id,
            )
            if isinstance(claimed, Refusal):
                return claimed
            if isinstance(claimed, Finished):
                return _recorded(claimed)
            if not self._parts.claims.may_dispatch(claimed.claim):
                self._parts.claims.abandon(claimed.claim)
                return Refusal(Reason.CLAIM_UNAVAILABLE, Step.CLAIM)
            return await self._run_claimed(request, call, grant, server, claimed)
        finally:
            self._parts.placement.release(request.attempt_id)

    async def _run_claimed(
        self,
        request: OpenRequest,
        call: PlainCall,
        grant: Grant | None,
        server: BackendServer,
        claimed: Claimed,
    ) -> PlainAnswer | Refusal:
        claim = claimed.claim
        settle = _Settle(self._parts, claim)
        request.lifecycle.undo(settle.unless_settled)
        try:
            answer = await self._dispatch(request, call, grant, server)
        except BackendUnreachableError as error:
            request.dispatched = False
            settle.abandon()
            return refusal_of(error, dispatched=False)
        except BackendError as error:
            request.check_running()
            return Refusal(
                Reason.OUTCOME_UNKNOWN, Step.CALL, error.peer, False, RETRY_AFTER
            )
        if isinstance(answer, Refusal):
            settle.abandon()
            return answer
        await settle.finish(answer)
        return answer

    async def _place(
        self, request: OpenRequest, call: PlainCall, digest: str
    ) -> BackendServer | Refusal:
        now = request.arrived
        job = Job(
            request_id=request.attempt_id,
            account=call.caller.name,
            weight=call.caller.weight,
            pool=call.route.pool,
            kind="plain",
            prompt_tokens=0,
            output_tokens=call.route.plain_cost,
            deadline=now + call.route.first_token.total_seconds(),
            patient=call.route.patient,
            give_up=now + call.route.timeout.total_seconds(),
            prefix=(),
            fingerprint=digest,
        )
        assignment = await self._parts.local_choice.assign(request, job)
        if isinstance(assignment, Refusal):
            return assignment
        servers = self._parts.in_force.deployment.backend_servers_by_name
        if assignment.server in servers:
            return servers[assignment.server]
        self._parts.placement.release(request.attempt_id)
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
        if grant is not None and not self._parts.shares.confirm(grant):
            lapsed = Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=RETRY_AFTER)
            return request.truly(lapsed)
        request.dispatched = True
        answer = await self._parts.services.call(
            server, call, fresh=not call.route.idempotent
        )
        self._parts.retries.success()
        return answer


class _Settle:
    """Settles a claim exactly once; ``unknown`` when nothing else was said.

    An answer is recorded before the caller gets it, so that a resend finds the
    record, but a slow platform holds it up for ``RECORD_SECONDS`` at most; a
    resend in between is told that the call is in progress.
    """

    def __init__(self, parts: Parts, claim: Claim) -> None:
        self._parts = parts
        self._claim = claim
        self._settled = False

    def finish(self, answer: PlainAnswer) -> "Deferred[None]":
        """Record the answer for resends; the Deferred never fails."""
        self._settled = True
        outcome = msgspec.msgpack.encode(answer)
        recorded = self._parts.claims.finish(self._claim, outcome)
        waited: Deferred[None] = Deferred()
        self._watch(recorded)
        recorded.addCallback(lambda _: _fire(waited))
        self._parts.clock.callLater(RECORD_SECONDS, _fire, waited)
        return waited

    def abandon(self) -> None:
        """Free the key: nothing of the call has been sent."""
        self._settled = True
        self._watch(self._parts.claims.abandon(self._claim))

    def unless_settled(self) -> None:
        """Record that the call may have run."""
        if not self._settled:
            self._parts.claims.unknown(self._claim)

    def _watch(self, recorded: "Deferred[None]") -> None:
        recorded.addErrback(self._not_recorded)

    def _not_recorded(self, failure: Failure) -> None:
        failure.trap(CoordinationError)
        self._parts.metrics.event("claims", "not_recorded")


def _fire(waited: "Deferred[None]") -> None:
    if not waited.called:
        waited.callback(None)


def _recorded(finished: Finished) -> PlainAnswer:
    answer = msgspec.msgpack.decode(finished.outcome, type=PlainAnswer)
    return replace(answer, replayed=True)
