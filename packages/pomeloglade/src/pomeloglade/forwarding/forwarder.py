"""Handles callers' requests: routing, authentication, limits and the final answer."""

from random import Random
from typing import Any

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

from ..errors import BadRequestError
from ..state.connection_limits import ConnectionLimits
from ..transport.http_exchange import RequestHead
from ..transport.responder import Responder
from ..transport.unread_responses import UnreadResponses
from .allowed_regions import AllowedRegions
from .call_state import CallState, Resolution
from .calls import CallCodec, ForwardedCall, Refused, answer_headers
from .deployment import CallKind, Route
from .event_log import EventLog
from .forwarding_metrics import ForwardingMetrics
from .model_calls import ModelCalls
from .peer_calls import PeerCalls
from .plain_calls import PlainCalls
from .resend_budget import ResendBudget
from .store_view import StoreView
from .usage import SharedUsage

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise the caller that the call has not run."""

MAX_LOGGED_PARTS = 8
"""Parts of a prompt in a call's log line; the ones that calls share come first."""

MAX_TRACKED_ROUTES = 2_000
"""Limit on the routes whose longest time limit is kept; at it, all are cleared."""


class Forwarder:
    """Request handler of the site that callers connect to.

    Parameters
    ----------
    store_view : StoreView
        The configuration in force, and its age.
    usage : SharedUsage
        Rate limits of the accounts.
    unread_responses : UnreadResponses or None
        What callers leave unread; a call whose answer has no room is not sent.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        codec: CallCodec,
        store_view: StoreView,
        usage: SharedUsage,
        budget: ResendBudget,
        plain_calls: PlainCalls,
        model_calls: ModelCalls,
        peer_calls: PeerCalls,
        log: EventLog,
        metrics: ForwardingMetrics,
        regions: AllowedRegions | None = None,
        unread_responses: UnreadResponses | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._codec = codec
        self._store_view = store_view
        self._usage = usage
        self._budget = budget
        self._plain_calls = plain_calls
        self._model_calls = model_calls
        self._peer_calls = peer_calls
        self._log = log
        self._metrics = metrics
        self._regions = regions or AllowedRegions()
        self.unread_responses = unread_responses
        self._draining = False
        self._last_long_call_at = float("inf")
        self._stops_at = float("inf")
        self._longest_time_limit_by_route: dict[str, float] = {}
        self._running: dict[CallState, Deferred[None]] = {}
        self.open_calls = 0

    def begin_drain(self, *, last_long_call_at: float, stops_at: float) -> None:
        """Start to close each caller's connection with its next answer.

        Calls that arrive after ``last_long_call_at`` are refused if their deadline is
        later than ``stops_at``, when the instance stops: they might be cut off.
        """
        self._draining = True
        self._last_long_call_at = last_long_call_at
        self._stops_at = stops_at

    def end_open_calls(self) -> None:
        """Answer the open calls with an error, as the instance stops now.

        An answer that has begun is broken off.
        """
        running = list(self._running.items())
        # A call that ends gives its place at a server to one that waits, which must
        # not be sent any more.
        for state, _ in running:
            state.stopped = True
        for _, run in running:
            run.cancel()

    def limits(self) -> ConnectionLimits:
        """Return the connection limits in force."""
        deployment = self._store_view.deployment
        return deployment.limits if deployment is not None else ConnectionLimits()

    def owner_of(self, head: RequestHead) -> str:
        """Return the client account whose key a request has, or an empty string."""
        deployment = self._store_view.deployment
        key = self._codec.parse_api_key(head)
        if deployment is None or key is None:
            return ""
        account = deployment.account(key)
        return account.name if account is not None else ""

    def is_draining(self) -> bool:
        """Return whether answers ask callers to close the connection."""
        return self._draining or not self._store_view.fresh_enough_for_keys()

    def handle(
        self,
        head: RequestHead,
        body: bytes,
        responder: Responder,
        *,
        passed_on: bool = False,
    ) -> "Deferred[None]":
        """Handle a request; cancel the returned deferred if the caller disconnects.

        One that another instance has ``passed_on`` was counted there for the account's
        limit, and is not passed on again.
        """
        self.open_calls += 1
        served = Deferred.fromCoroutine(self._serve(head, body, responder, passed_on))

        def ended(result: Any) -> Any:
            self.open_calls -= 1
            return result

        served.addBoth(ended)
        served.addErrback(self._handle_internal_error, head, responder)
        return served

    async def _serve(
        self, head: RequestHead, body: bytes, responder: Responder, passed_on: bool
    ) -> None:
        started = self._clock.seconds()
        state: CallState | None = None
        call: ForwardedCall | None = None
        try:
            call = self._codec.parse_call(head, body, started)
            state = CallState(
                call,
                self._resolve,
                self._choose_service,
                self._clock.seconds,
                passed_on=passed_on,
            )
            state.longest_time_limit = self._longest_time_limit(state)
            self._refuse_if_stopping(state)
            await self._run_within_limits(state, responder)
            self._log_call(call, state, started, "answered", responder.status)
        except BadRequestError as error:
            self._refuse(call, state, responder, started, Refused(400, str(error)))
        except Refused as refused:
            self._refuse(call, state, responder, started, refused)
        except CancelledError:
            self._log_call(call, state, started, "caller_left", 0)

    def _refuse_if_stopping(self, state: CallState) -> None:
        if self._clock.seconds() <= self._last_long_call_at:
            return
        if state.deadline() > self._stops_at:
            raise state.stop_refusal()

    def _longest_time_limit(self, state: CallState) -> float:
        """Return the longest time limit on the call's route, this call included."""
        name = state.resolved.route.name
        longest = self._longest_time_limit_by_route.get(name, 0.0)
        longest = max(longest, state.call.time_limit or 0.0)
        if len(self._longest_time_limit_by_route) >= MAX_TRACKED_ROUTES:
            self._longest_time_limit_by_route.clear()
        self._longest_time_limit_by_route[name] = longest
        return longest

    async def _run_within_limits(self, state: CallState, responder: Responder) -> None:
        """Run a call within its account's rate limit and its time limit.

        The units are refunded if no backend server can have run the call.
        """
        call, account = state.call, state.resolved.account
        cost = 0
        if account is not None:
            cost = account.cost(call.prompt.tokens if call.prompt else None)
            # A call that was passed on counts at the instance where it arrived.
            if state.passed_on:
                cost = 0
            wait = self._usage.admit(account, cost) if cost else 0.0
            if wait > 0:
                inputs = {"cost": cost, "rate": account.rate, "burst": account.burst}
                raise Refused(429, "over_limit", retry_after=wait, inputs=inputs)
            state.account_usage = self._usage.used_fraction(account)
        if not state.passed_on:
            self._budget.record_call(state.service())
        run = Deferred.fromCoroutine(self._run(state, responder))

        def expire() -> None:
            state.expired = True
            run.cancel()

        seconds_left = max(0.0, state.deadline() - self._clock.seconds())
        timer = self._clock.callLater(seconds_left, expire)
        self._running[state] = run
        try:
            await run
        except CancelledError as error:
            if state.stopped:
                raise state.stop_refusal() from error
            if not state.expired:
                raise
            if state.may_have_run:
                raise Refused(504, "time_limit") from error
            raise Refused(503, "time_limit", retry_after=0.1) from error
        finally:
            del self._running[state]
            if timer.active():
                timer.cancel()
            if account is not None and not state.may_have_run:
                self._usage.refund(account, cost)

    async def _run(self, state: CallState, responder: Responder) -> None:
        """Run a call here, or pass it on if this instance has no way to servers."""
        responder.repeatable = state.resolved.route.idempotent
        self._refuse_without_memory(state)
        try:
            await self._run_here(state, responder)
        except Refused as refused:
            if not self._peer_calls.may_pass_on(state, responder, refused):
                raise
            await self._peer_calls.run(state, responder, refused)

    def _refuse_without_memory(self, state: CallState) -> None:
        """Refuse a call whose answer would not fit beside what callers leave unread.

        Streams are held by their events, and are not refused.
        """
        responses, owner = self.unread_responses, state.account_name or ""
        if responses is None or state.resolved.route.kind is CallKind.STREAMING:
            return
        if not responses.has_room(owner):
            inputs = {"held": responses.total, "account": responses.held_for(owner)}
            seconds = responses.retry_seconds(owner)
            raise Refused(503, "memory", retry_after=seconds, inputs=inputs)

    async def _run_here(self, state: CallState, responder: Responder) -> None:
        service = self._store_view.deployment.services_by_name.get(state.service())
        if service is not None and service.engines is not None:
            await self._model_calls.run(state, responder)
            return
        answer = await self._plain_calls.run(state)
        headers = answer_headers(answer.head)
        responder.answer(answer.head.status, headers, answer.body)

    def _resolve(self, call: ForwardedCall, accepted: bool) -> Resolution:
        """Resolve a call's route and account in the current configuration.

        A call that was ``accepted`` is not refused for the view's age alone.
        """
        deployment = self._store_view.deployment
        if deployment is None:
            raise Refused(503, "no_configuration", retry_after=1.0)
        route = deployment.route(call.host, call.path)
        if route is None:
            if not self._store_view.fresh_enough_for_denials():
                raise Refused(503, "configuration_old", retry_after=0.5)
            raise Refused(404, "no_route")
        if route.public or not deployment.has_accounts:
            zones = self._regions.zones_for(route, None)
            return Resolution(deployment.version, route, None, zones)
        if not accepted and not self._store_view.fresh_enough_for_keys():
            raise Refused(503, "configuration_old", retry_after=0.2)
        account = deployment.account(call.api_key) if call.api_key else None
        if account is None:
            if not self._store_view.fresh_enough_for_denials():
                raise Refused(503, "configuration_old", retry_after=0.2)
            raise Refused(401, "unknown_key")
        zones = self._regions.zones_for(route, account)
        return Resolution(deployment.version, route, account, zones)

    def _choose_service(self, route: Route) -> str:
        weights = [each.weight for each in route.services]
        if len(weights) == 1 or not sum(weights):
            return route.services[0].service
        return self._random.choices(route.services, weights)[0].service

    def _refuse(
        self,
        call: ForwardedCall | None,
        state: CallState | None,
        responder: Responder,
        started: float,
        refused: Refused,
    ) -> None:
        """Answer with a refusal, or abort an answer that has begun.

        If a backend server may have run the call, a status that promises the contrary
        or blames the caller is replaced by 502.
        """
        if state is not None and state.may_have_run:
            status = refused.status
            if status in NOT_RUN_STATUSES or status < 500:
                refused = Refused(502, refused.reason, inputs=refused.inputs)
        if responder.head_sent:
            responder.abort_response()
        else:
            headers: tuple[tuple[bytes, bytes], ...] = (
                (b"Content-Type", b"application/json"),
            )
            if refused.retry_after is not None:
                headers += self._codec.retry_after(refused.retry_after)
            body = msgspec.json.encode(
                {
                    "reason": refused.reason,
                    "not_run": state is None or not state.may_have_run,
                }
            )
            responder.answer(refused.status, headers, body)
        self._log_call(
            call, state, started, refused.reason, refused.status, refused.inputs
        )

    def _handle_internal_error(
        self, failure: Any, head: RequestHead, responder: Responder
    ) -> None:
        """Log an unexpected exception and answer with 502."""
        self._log.event(
            "internal_error",
            target=head.target.decode("latin-1"),
            reason=repr(failure.value),
            traceback=failure.getBriefTraceback(),
        )
        if responder.done:
            return
        if responder.head_sent:
            responder.abort_response()
        else:
            responder.answer(502, (), b"")

    def _log_call(
        self,
        call: ForwardedCall | None,
        state: CallState | None,
        started: float,
        outcome: str,
        status: int,
        inputs: dict[str, object] | None = None,
    ) -> None:
        seconds = self._clock.seconds() - started
        resolved = state.resolved if state is not None else None
        route = resolved.route if resolved is not None else None
        self._metrics.record_call(route.name if route else "", outcome, status, seconds)
        self._log.event(
            "call",
            id=call.id if call else "",
            first_call_id=call.first_call_id if call else None,
            request=f"{state.request_key:016x}" if state else None,
            passed_on=bool(state and state.passed_on),
            route=route.name if route else "",
            kind=route.kind.value if route else "",
            account=state.account_name if state else None,
            outcome=outcome,
            status=status,
            inputs=inputs or {},
            ms=round(seconds * 1000, 1),
            steps=state.steps if state else (),
            may_have_run=bool(state and state.may_have_run),
            configuration=resolved.version if resolved else None,
            belief_age=round(self._store_view.age(), 3),
            waited_before=(
                round(call.arrived - state.waiting_since(), 2) if state else None
            ),
            longest_pause_ms=round(state.longest_pause * 1000) if state else None,
            prompt_tokens=call.prompt.prompt_tokens if call and call.prompt else None,
            prompt_parts=(
                [part for part, _ in call.prompt.parts[:MAX_LOGGED_PARTS]]
                if call and call.prompt
                else None
            ),
            output_tokens=(
                call.prompt.max_output_tokens if call and call.prompt else None
            ),
        )
