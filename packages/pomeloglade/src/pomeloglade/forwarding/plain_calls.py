"""Plain calls, whose answers are received whole before they are forwarded."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred

from ..errors import (
    BackendError,
    BackendLostError,
    BackendNotServingError,
    BackendUnreachableError,
    InvalidBackendResponseError,
)
from ..transport.http_exchange import BodyFraming, Exchange, ResponseHead
from .backends import ZONE_RETRY_SECONDS, BackendServer
from .call_state import CallState
from .calls import AnswerMetadata, ForwardedCall, Refused, SendParameters
from .cold_servers import cold_cost, limited_reason
from .deployment import CallKind, Route
from .event_stream import EventStream
from .expected_completion import (
    ZONE_LATENCY_SECONDS,
    expected_completion,
    spread_completion,
    unqueued_seconds,
)
from .plain_queues import PlainQueues
from .send_context import SendContext, on_silence
from .server_choice import (
    ServerChoice,
    calls_counted,
    choose_for_call,
    choose_within_limits,
)
from .server_pace import ServerPace

FIRST_SEND_TIMEOUT_OBJECTIVES = 0.5
"""Fraction of the objective after which a safe call is retried at another server; the
rest of it is left for the second server."""

MAX_IDLE_SECONDS = 4.0
REPORTED_LOAD_MAX_AGE_SECONDS = 0.2
MAX_CALLS_PER_SLOT = 4
"""Calls per slot above which a server receives no more: four times the duration of a
call is longer than objectives usually allow."""

QUEUED_RESPONSE_FACTOR = 2.0
"""Multiple of the expected response time after which a safe call is retried, if that is
later: a call that waits its turn at a busy server is not better served elsewhere."""

GATEWAY_TIMEOUT = 504
"""Status of a server that has reached the time limit of a call."""


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer of a backend server."""

    head: ResponseHead
    metadata: AnswerMetadata
    body: bytes


class PlainCalls:
    """Chooses backend servers for plain calls and forwards them.

    Safe calls are retried at another server after an error or a timeout, within the
    retry budget. Other calls are sent again only if they have certainly not run.
    """

    def __init__(
        self,
        context: SendContext,
        random: Random,
        availability_zone: str,
        server_choice: ServerChoice,
        queues: PlainQueues | None = None,
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._random = random
        self._codec = context.codec
        self._backends = context.backends
        self._loads = context.loads
        self._health = context.health
        self._limits = context.limits
        self._budget = context.budget
        self._pace = context.pace or ServerPace(context.clock)
        self._availability_zone = availability_zone
        self._server_choice = server_choice
        self._queues = queues
        if queues is not None:
            queues.choose = self._choose_among

    async def run(self, state: CallState) -> CompleteAnswer:
        """Return the answer for the caller, or raise ``Refused``."""
        best: CompleteAnswer | None = None
        tried: set[str] = set()
        rejected: set[str] = set()
        runs = state.servers_tried
        while True:
            resolved = state.resolve()
            if best is not None and self._context.quarantined_for(state) > 0:
                return best
            service = state.service()
            if best is None:
                self._context.ensure_in_reach(service)
            self._context.ensure_not_quarantined(state)
            try:
                server = await self._acquire(state, service, tried | rejected)
                if server is None and tried:
                    server = await self._acquire(state, service, rejected)
            except Refused:
                if best is not None:
                    return best
                raise
            if server is None:
                if best is not None:
                    return best
                raise self._no_server_refusal(service, resolved.zones)
            if state.send_count and not self._budget.try_spend(service):
                if best is not None:
                    return best
                raise state.give_up_refusal("resend_budget")
            try:
                answer = await self._send(state, server, bool(tried))
            except BackendNotServingError as error:
                state.record_step(server.id, "left", str(error))
                rejected.add(server.id)
                continue
            except BackendUnreachableError as error:
                state.record_step(server.id, "unreachable", str(error))
                self._health.record_unreachable(server.id)
                rejected.add(server.id)
                continue
            except BackendError as error:
                state.record_step(server.id, "lost", str(error))
                self._health.record_failure(server.id)
                self._context.record_loss(state, server, error)
                if not resolved.route.idempotent:
                    raise state.give_up_refusal("answer_lost") from error
                tried.add(server.id)
            else:
                if answer.metadata.not_run:
                    state.record_step(
                        server.id, "rejected", str(answer.metadata.status)
                    )
                    rejected.add(server.id)
                    continue
                if answer.metadata.status < 500:
                    self._health.record_success(server.id)
                    self._context.record_answer(state, answer.metadata.status)
                    return answer
                self._health.record_failure(server.id)
                if not self._should_retry_error(
                    resolved.route, service, server, answer.metadata.status
                ):
                    return answer
                best = answer
                tried.add(server.id)
            runs += 1
            if runs >= resolved.route.max_servers:
                if best is not None:
                    return best
                raise state.give_up_refusal("answer_lost")

    async def _acquire(
        self, state: CallState, service: str, excluded: set[str]
    ) -> BackendServer | None:
        """Return a server with room; a service that reports its pace has a queue."""
        if self._queues is not None:
            queue = self._queues.for_service(service)
            if queue.applies():
                return await queue.place(self._queues.queued_call(state, excluded))
        return self._choose(state, service, excluded)

    def _choose(
        self, state: CallState, service: str, excluded: set[str]
    ) -> BackendServer | None:
        """Choose among the servers that have room, preferring those not avoided.

        The request counts for the limit of the chosen server from now on.
        """
        route, zones = state.resolved.route, state.resolved.zones
        servers = self._backends.serving(service, zones=zones)
        servers = [each for each in servers if each.id not in excluded]
        servers = choose_for_call(servers, self._health, repeatable=route.idempotent)
        reachable = [s for s in servers if not self._health.avoided(s.id)]
        candidates = [
            server
            for server in reachable or servers
            if self._loads.calls(server.id, REPORTED_LOAD_MAX_AGE_SECONDS)
            < MAX_CALLS_PER_SLOT * server.slots
        ]
        return self._choose_among(candidates)

    def _choose_among(self, servers: Sequence[BackendServer]) -> BackendServer | None:
        return choose_within_limits(
            servers, self._server_choice, self._cost, self._limits
        )

    def _cost(self, server: BackendServer) -> tuple[float, float]:
        calls = self._loads.calls(server.id, REPORTED_LOAD_MAX_AGE_SECONDS)
        calls = calls_counted(calls, server, self._health)
        penalty = self._health.penalty(server.id) * self._backends.return_cost(server)
        penalty *= cold_cost(server, self._backends, self._limits)
        near = server.availability_zone == self._availability_zone
        if self._pace.affects(server.service):
            work = self._pace.work_seconds(server.service)
            pace = self._pace.ratio(server.run)
            completion = expected_completion(
                work=work,
                calls=calls,
                slots=server.slots,
                pace=pace,
                latency=0.0 if near else ZONE_LATENCY_SECONDS,
            )
            cost = spread_completion(
                completion * penalty,
                work=work,
                slots=server.slots,
                pace=pace,
                random=self._random,
            )
            return cost, 0.0
        cost = (calls + 1) / server.slots * penalty
        # This zone is preferred by half a call, as the others are 0.5 ms away.
        return cost - (0.5 / server.slots if near else 0.0), self._random.random()

    def _should_retry_error(
        self, route: Route, service: str, server: BackendServer, status: int
    ) -> bool:
        """Return whether to retry a call that was answered with an error status.

        The error may be the call's own, unless this server fails more often than the
        others. Such a call is retried only while the retry budget is plentiful, and not
        after a time-out, which would leave it no time.
        """
        if route.kind is not CallKind.SAFE:
            return False
        others = [
            each.id for each in self._backends.serving(service) if each.id != server.id
        ]
        if self._health.fails_more_than(server.id, others):
            return True
        return status != GATEWAY_TIMEOUT and self._budget.plentiful(service)

    def _no_server_refusal(self, service: str, zones: frozenset[str] | None) -> Refused:
        servers = self._backends.serving(service, zones=zones)
        if servers:
            runs = [each.run for each in servers]
            if all(map(self._limits.limited, runs)):
                wait = self._limits.retry_after(runs)
                return Refused(
                    503, limited_reason(runs, self._limits), retry_after=wait
                )
            return Refused(503, "servers_full", retry_after=0.1)
        pause = self._backends.soonest_resumption(service, zones)
        if pause is not None:
            return Refused(503, "servers_paused", retry_after=pause)
        reason = self._backends.unavailable_reason(service, zones=zones)
        if reason is not None:
            return Refused(503, reason, retry_after=ZONE_RETRY_SECONDS)
        return Refused(503, "no_server", retry_after=0.5)

    async def _send(
        self, state: CallState, server: BackendServer, is_retry: bool
    ) -> CompleteAnswer:
        call, resolved = state.call, state.resolved
        # An idle connection may have died unnoticed. A call that can't be sent again
        # needs a new one.
        idle = MAX_IDLE_SECONDS if resolved.route.idempotent else 0.0
        calls_before = self._loads.calls(server.id, REPORTED_LOAD_MAX_AGE_SECONDS)
        self._loads.begin(server.id, 0)
        self._context.on_load_changed()
        exchange: Exchange | None = None
        objective = resolved.route.objective.total_seconds()
        look = self._clock.callLater(
            objective, self._context.reach.look_into, server.service
        )
        try:
            connection = await self._context.connect(
                state, server, max_idle_seconds=idle
            )
            parameters = SendParameters(
                server=server.id,
                account=state.account_name,
                seconds_left=state.seconds_left(),
                last_event_id=call.last_event_id,
            )
            head = self._codec.forward_request(call, parameters)
            exchange = Exchange(head, call.body)
            state.record_send(server.id, self._context.describe_pace(server))
            calls = self._loads.calls(server.id, REPORTED_LOAD_MAX_AGE_SECONDS)
            sent_at = self._clock.seconds()
            exchange.start(connection, self._context.pool.release)
            answer = Deferred.fromCoroutine(
                self._receive_answer(call, exchange, server, sent_at)
            )
            is_last_attempt = is_retry or (
                state.run_count >= resolved.route.max_servers
            )
            if resolved.route.kind is CallKind.SAFE and not is_last_attempt:
                seconds = self._silence_seconds(server, objective)
                if self._can_retry_elsewhere(state, server):
                    answer.addTimeout(
                        seconds, self._clock, on_silence(server, "answer")
                    )
            whole = await answer
            if whole.metadata.not_run:
                state.record_not_run(server.id)
                return whole
            self._context.quarantine.record_alive(server.run, sent_at)
            if whole.metadata.success:
                seconds = self._clock.seconds() - sent_at
                work = unqueued_seconds(seconds, calls, server.slots)
                self._pace.record_work(server, resolved.route.name, work)
            if self._queues is not None and whole.metadata.success:
                load = whole.metadata.load
                if load is not None:
                    calls_before = max(calls_before, load.running + load.waiting)
                self._queues.for_service(server.service).record_duration(
                    server, self._clock.seconds() - sent_at, calls_before
                )
            if whole.metadata.success and resolved.route.kind is CallKind.STREAMING:
                stream = EventStream(resumable=False)
                stream.feed(whole.body)
                ensure_whole_stream(stream, whole.head, server.id)
            return whole
        finally:
            if look.active():
                look.cancel()
            if exchange is not None:
                exchange.cancel()
            self._loads.end(server.id, 0)
            self._context.on_load_changed()
            if self._queues is not None:
                self._queues.for_service(server.service).place_waiting()

    def _silence_seconds(self, server: BackendServer, objective: float) -> float:
        """Return the time after which a safe call is retried at another server."""
        seconds = FIRST_SEND_TIMEOUT_OBJECTIVES * objective
        if self._queues is None:
            return seconds
        queue = self._queues.for_service(server.service)
        if not queue.applies():
            return seconds
        return max(seconds, QUEUED_RESPONSE_FACTOR * queue.response_seconds(server))

    def _can_retry_elsewhere(self, state: CallState, server: BackendServer) -> bool:
        service, zones = state.service(), state.resolved.zones
        others = [
            each
            for each in self._backends.serving(service, zones=zones)
            if each.id != server.id and not self._limits.limited(each.run)
        ]
        return bool(others) and self._budget.remaining_share(service) > 1

    async def _receive_answer(
        self,
        call: ForwardedCall,
        exchange: Exchange,
        server: BackendServer,
        sent_at: float,
    ) -> CompleteAnswer:
        head = await exchange.read_head()
        self._context.record_notice(server, exchange, head, sent_at)
        body = await self._context.body_memory.read_body(exchange)
        metadata = self._codec.parse_answer(
            call, head, on_kept_connection=exchange.connection.reused
        )
        try:
            validate_answer(metadata, server.id)
        except InvalidBackendResponseError:
            if not metadata.echoes_call_id:
                # The answer to this call may follow, on the next call's exchange.
                exchange.connection.abort()
            raise
        return CompleteAnswer(head, metadata, body)


def validate_answer(metadata: AnswerMetadata, server: str) -> None:
    """Raise ``InvalidBackendResponseError`` unless the answer belongs to the call."""
    if metadata.not_run:
        return
    if not metadata.echoes_call_id:
        reason = "does not echo the id of the call"
    elif not metadata.has_seal:
        reason = "has no seal of the server"
    elif metadata.has_content_encoding:
        reason = "has a content encoding, which was not requested"
    else:
        return
    text = f"answer {metadata.status} of backend server {server!r} {reason}"
    raise InvalidBackendResponseError(text, step="answer", peer=server)


def ensure_whole_stream(stream: EventStream, head: ResponseHead, server: str) -> None:
    """Check a stream whose body has ended.

    Raises ``BackendLostError`` if it was broken off, and ``WrongContinuationError`` if
    it does not go on with what the caller has received.
    """
    stream.ensure_continued()
    framing = head.framing
    if stream.broken_off(ends_with_connection=framing is BodyFraming.CLOSE):
        text = f"stream of backend server {server!r} was broken off"
        text += f" (body ended by {framing.value})"
        raise BackendLostError(text, step="stream", peer=server)
