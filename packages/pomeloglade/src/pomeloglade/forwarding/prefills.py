"""Prefill of prompts at engines that are separate from the decode engines."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from ..errors import (
    BackendError,
    BackendNotServingError,
    InvalidBackendResponseError,
)
from ..transport.body_memory import MAX_CONTROL_BODY_BYTES
from ..transport.http_exchange import Exchange, ServerConnection
from .backends import BackendServer
from .call_state import CallState
from .calls import SendParameters
from .cold_servers import cold_cost
from .event_log import EventLog
from .prefill_pauses import PrefillPauses
from .send_context import CONNECT_TIMEOUT_SECONDS, SendContext, on_silence
from .server_pace import NORMAL

INITIAL_TOKENS_PER_SECOND = 50_000.0
"""Initial value of the measured speed of prefill engines."""

RATE_WEIGHT = 0.1
TIMEOUT_SECONDS = 0.6
"""Time that a prefill may take beyond its expected time in the queue before it is
abandoned; this leaves a third of the usual objective."""

MAX_QUEUE_OBJECTIVES = 0.6
"""Fraction of the objective for which a prompt may wait for a prefill engine. Beyond
it a decode engine may prefill the prompt itself, which delays its streams."""

LOCAL_PREFILL_SPEED = 0.5
"""Prefill speed of a decode engine, relative to that of a prefill engine."""

CROSS_ZONE_PENALTY_TOKENS = 500
"""Queued tokens added to the cost of a prefill engine outside the decode engine's
zone: a KV transfer between zones takes twice as long."""

IDLE_COST_TOKENS = 1_000
"""Queued tokens added to the cost of each prefill engine."""

HANDLE_LIFETIME_FRACTION = 0.8
"""Fraction of a handle's lifetime within which it is offered to a decode engine; the
rest is for the request's transit and the transfer's queue."""

MAX_IDLE_SECONDS = 2.0
"""Idle time up to which a connection is used for a prefill, which may be repeated."""

FREE_TIMEOUT_SECONDS = 1.0
FREE_MAX_IDLE_SECONDS = 4.0


class PrefillFailedError(Exception):
    """A prefill engine failed to prefill the prompt; the call must be placed again."""


@dataclass(frozen=True, slots=True)
class KvCache:
    """A prompt's KV cache at a prefill engine, which drops it when it expires."""

    server: BackendServer
    handle: str
    expires_at: float


class Prefills:
    """Chooses prefill engines, prefills prompts and frees unused KV caches.

    Attributes
    ----------
    pauses : PrefillPauses
        Which prompts decode engines should not prefill beside their streams.
    """

    def __init__(
        self, context: SendContext, log: EventLog, pauses: PrefillPauses
    ) -> None:
        self._context = context
        self._log = log
        self.pauses = pauses
        self._rate = INITIAL_TOKENS_PER_SECOND

    def local_prefill_rate(self) -> float:
        """Return the prefill speed of a decode engine in tokens per second."""
        return LOCAL_PREFILL_SPEED * self._rate

    def available(
        self, service: str, objective: float, zones: frozenset[str] | None = None
    ) -> bool:
        """Return whether a prefill engine can start a prompt soon enough.

        The prompt may wait for at most ``MAX_QUEUE_OBJECTIVES`` times ``objective``.
        With ``zones``, only engines in these zones count.
        """
        return self._choose(service, objective, "", zones=zones) is not None

    async def run(
        self, state: CallState, decode: BackendServer, handle_seconds: float
    ) -> KvCache | None:
        """Prefill a call's prompt; return ``None`` if no prefill engine is available.

        Also returns ``None`` if the chosen engine's limit, or for a repeated prefill
        the retry budget, is exhausted. Raises ``PrefillFailedError`` if the engine
        fails.
        """
        objective = state.resolved.route.objective.total_seconds()
        tokens = state.call.prompt.prompt_tokens
        zone, zones = decode.availability_zone, state.resolved.zones
        server = self._choose(state.service(), objective, zone, tokens, zones)
        if server is None:
            return None
        if not self._context.limits.try_take(server.run):
            return None
        if state.prefill_count and not self._context.budget.try_spend(state.service()):
            return None
        context = self._context
        queued, pace = context.loads.total(server.id).tokens, self._pace(server)
        timeout = (queued + tokens) * pace / self._rate + TIMEOUT_SECONDS
        context.loads.begin(server.id, tokens)
        context.on_load_changed()
        exchange: Exchange | None = None
        connection: ServerConnection | None = None
        try:
            connection = await context.connect(
                state, server, max_idle_seconds=MAX_IDLE_SECONDS
            )
            parameters = SendParameters(
                server=server.id,
                account=state.account_name,
                seconds_left=state.seconds_left(),
                prefill_only=True,
            )
            request = context.codec.forward_request(state.call, parameters)
            exchange = Exchange(request, state.call.body)
            state.prefill_count += 1
            state.record_step(server.id, "prefill")
            started = context.clock.seconds()
            exchange.start(connection, context.pool.release)
            answer = Deferred.fromCoroutine(
                self._receive_handle(state, exchange, server, started)
            )
            answer.addTimeout(timeout, context.clock, on_silence(server, "prefill"))
            handle = await answer
            context.quarantine.record_alive(server.run, started)
            context.health.record_success(server.id)
            if not queued:
                self._record_rate(tokens * pace, context.clock.seconds() - started)
            expires_at = (
                context.clock.seconds() + HANDLE_LIFETIME_FRACTION * handle_seconds
            )
            return KvCache(server, handle, expires_at)
        except BackendNotServingError as error:
            raise PrefillFailedError(str(error)) from error
        except BackendError as error:
            state.record_step(server.id, "prefill_lost", str(error))
            context.record_loss(state, server, error)
            # An idle connection may have been closed by the server unnoticed.
            if connection is None or not connection.reused:
                context.health.record_unreachable(server.id)
            raise PrefillFailedError(str(error)) from error
        finally:
            if exchange is not None:
                exchange.cancel()
            context.loads.end(server.id, tokens)
            context.on_load_changed()

    def discard(self, cache: KvCache) -> None:
        """Free a KV cache that will not be fetched, before it expires by itself.

        A server that leaves, is paused or has reached its limit gets no request for it.
        """
        if not self._context.backends.usable(cache.server):
            return
        if not self._context.limits.try_take(cache.server.run):
            return
        freed = Deferred.fromCoroutine(self._send_free(cache))
        freed.addTimeout(FREE_TIMEOUT_SECONDS, self._context.clock)
        freed.addErrback(
            lambda failure: self._log.event(
                "kv_cache_not_freed",
                server=cache.server.id,
                reason=str(failure.value),
            )
        )

    def _pace(self, server: BackendServer) -> float:
        """Return how long a prefill takes at a server, relative to normal."""
        pace = self._context.pace
        return NORMAL if pace is None else pace.ratio(server.run)

    def _choose(
        self,
        service: str,
        objective: float,
        zone: str,
        tokens: int = 0,
        zones: frozenset[str] | None = None,
    ) -> BackendServer | None:
        context = self._context
        servers = [
            each
            for each in context.backends.serving(service, "prefill", zones)
            if not context.health.avoided(each.id) and context.limits.has_room(each.run)
        ]
        if not servers:
            return None

        def cost(server: BackendServer) -> float:
            queued = context.loads.total(server.id).tokens
            far = server.availability_zone != zone
            # Without the constant, an idle engine that fails would cost nothing.
            queued += IDLE_COST_TOKENS + (CROSS_ZONE_PENALTY_TOKENS if far else 0)
            if context.pace is not None and context.pace.affects(service):
                # The prompt itself takes longer at a slow server, too.
                queued = (queued + tokens) * self._pace(server)
            queued *= context.backends.return_cost(server)
            queued *= context.health.penalty(server.id)
            return queued * cold_cost(server, context.backends, context.limits)

        best = min(servers, key=cost)
        queued = context.loads.total(best.id).tokens
        queue_seconds = queued * self._pace(best) / self._rate
        return best if queue_seconds <= MAX_QUEUE_OBJECTIVES * objective else None

    async def _receive_handle(
        self,
        state: CallState,
        exchange: Exchange,
        server: BackendServer,
        sent_at: float,
    ) -> str:
        context = self._context
        head = await exchange.read_head()
        context.record_notice(server, exchange, head, sent_at)
        body = await context.body_memory.read_body(exchange, MAX_CONTROL_BODY_BYTES)
        kept = exchange.connection.reused
        metadata = context.codec.parse_answer(state.call, head, on_kept_connection=kept)
        if metadata.echoes_other_id or (kept and not metadata.echoes_call_id):
            # A late second copy of an answer may name the KV cache of another call.
            exchange.connection.abort()
            text = f"prefill's answer of backend server {server.id!r} is another call's"
            raise InvalidBackendResponseError(text, step="prefill", peer=server.id)
        if metadata.not_run or not metadata.success:
            # A rejected prefill counts against the retry budget.
            self._context.budget.try_spend(state.service())
            if not self._context.backends.paused_for(server):
                self._context.health.record_rejection(server.id)
            state.record_step(server.id, "prefill_rejected", str(metadata.status))
            raise PrefillFailedError(f"status {metadata.status}")
        return self._context.codec.parse_prefill_result(body).handle

    def _record_rate(self, tokens: int, seconds: float) -> None:
        if seconds > 0:
            self._rate += RATE_WEIGHT * (tokens / seconds - self._rate)

    async def _send_free(self, cache: KvCache) -> None:
        context, address = self._context, cache.server.address
        connection = await context.pool.acquire_connection(
            address,
            max_idle_seconds=FREE_MAX_IDLE_SECONDS,
            timeout=CONNECT_TIMEOUT_SECONDS,
        )
        if not context.backends.in_use(cache.server):
            context.pool.release(connection)
            return
        exchange = Exchange(
            context.codec.free_kv_cache_request(cache.handle, address), b""
        )
        sent_at = context.clock.seconds()
        exchange.start(connection, context.pool.release)
        try:
            head = await exchange.read_head()
            context.record_notice(cache.server, exchange, head, sent_at)
            await context.body_memory.read_body(exchange, MAX_CONTROL_BODY_BYTES)
        finally:
            exchange.cancel()
