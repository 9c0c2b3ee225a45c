"""Prompts that are read at prefill engines, apart from the decode engines."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from ..errors import BackendError, BackendLeftError
from ..transport.http_exchange import Exchange
from .backends import BackendServer
from .call_state import CallState
from .calls import Dispatch
from .event_log import EventLog
from .sending import CONNECT_SECONDS, SendingParts, silent

TOKENS_PER_SECOND = 50_000.0
"""Speed of a prefill engine that is assumed until prefills have been timed."""

RATE_WEIGHT = 0.1
TIMEOUT_SECONDS = 0.6
"""Silence of a prefill beyond the time its queue explains, after which the prompt
is read elsewhere; it leaves a third of the usual objective."""

QUEUE_OBJECTIVES = 0.6
"""Part of the objective that a prompt may wait for a prefill engine; beyond it a
decode engine may read the prompt itself, which delays its streams."""

DECODE_READ_PART = 0.5
"""Speed of a decode engine in reading prompts, against a prefill engine's."""

FAR_TOKENS = 500
"""Queued tokens that an engine in the decode engine's zone may have more: a transfer
between zones takes twice as long."""

HANDLE_PART = 0.8
"""Part of a handle's time within which it is offered; the rest is for the way and
the transfer's queue."""

FREE_SECONDS = 1.0
FREE_IDLE_SECONDS = 4.0


class PrefillFailedError(Exception):
    """A prefill engine did not read the prompt; another way must be chosen."""


@dataclass(frozen=True, slots=True)
class KvCache:
    """A prompt's KV cache that waits at a prefill engine until it lapses."""

    server: BackendServer
    handle: str
    lapses: float


class Prefills:
    """Chooses prefill engines, has prompts read and frees what nobody takes."""

    def __init__(self, parts: SendingParts, log: EventLog) -> None:
        self._parts = parts
        self._log = log
        self._rate = TOKENS_PER_SECOND

    def decode_read_rate(self) -> float:
        """Return the prompt tokens a second that a decode engine reads."""
        return DECODE_READ_PART * self._rate

    def free(self, service: str, objective: float) -> bool:
        """Whether a prompt would soon be read by a prefill engine."""
        return self._choose(service, objective, "") is not None

    async def read(
        self, state: CallState, decode: BackendServer, handle_seconds: float
    ) -> KvCache | None:
        """Have a call's prompt read; ``None`` if no prefill engine is free.

        Raises ``PrefillFailedError`` if an engine was tried in vain.
        """
        objective = state.resolved.route.objective.total_seconds()
        server = self._choose(state.service(), objective, decode.availability_zone)
        if server is None:
            return None
        if state.prefills and not self._parts.budget.take(state.service()):
            return None
        parts, tokens = self._parts, state.call.prompt.prompt_tokens
        queued = parts.loads.work(server.id).tokens
        bound = (queued + tokens) / self._rate + TIMEOUT_SECONDS
        parts.loads.begin(server.id, tokens)
        parts.changed()
        exchange: Exchange | None = None
        try:
            connection = await parts.connect(state, server)
            dispatch = Dispatch(
                server=server.id,
                account=state.account_name,
                seconds_left=state.seconds_left(),
                prefill_only=True,
            )
            request = parts.codec.request(state.call, dispatch)
            exchange = Exchange(request, state.call.body)
            state.prefills += 1
            state.note(server.id, "prefill")
            started = parts.clock.seconds()
            exchange.start(connection, parts.pool.release)
            answer = Deferred.fromCoroutine(self._handle(state, exchange, server))
            answer.addTimeout(bound, parts.clock, silent(server, "prefill"))
            handle = await answer
            parts.health.succeeded(server.id)
            if not queued:
                self._timed(tokens, parts.clock.seconds() - started)
            lapses = parts.clock.seconds() + HANDLE_PART * handle_seconds
            return KvCache(server, handle, lapses)
        except BackendLeftError as error:
            raise PrefillFailedError(str(error)) from error
        except BackendError as error:
            state.note(server.id, "prefill_lost", str(error))
            parts.health.unreachable(server.id)
            raise PrefillFailedError(str(error)) from error
        finally:
            if exchange is not None:
                exchange.cancel()
            parts.loads.end(server.id, tokens)
            parts.changed()

    def discard(self, cache: KvCache) -> None:
        """Free a KV cache that nobody will take; it would lapse by itself."""
        freed = Deferred.fromCoroutine(self._send_free(cache))
        freed.addTimeout(FREE_SECONDS, self._parts.clock)
        freed.addErrback(
            lambda failure: self._log.event(
                "kv_cache_not_freed",
                server=cache.server.id,
                reason=str(failure.value),
            )
        )

    def _choose(
        self, service: str, objective: float, zone: str
    ) -> BackendServer | None:
        parts = self._parts
        servers = [
            each
            for each in parts.backends.serving(service, "prefill")
            if not parts.health.avoided(each.id)
        ]
        if not servers:
            return None

        def cost(server: BackendServer) -> float:
            queued = parts.loads.work(server.id).tokens
            far = server.availability_zone != zone
            return queued * parts.health.penalty(server.id) + (FAR_TOKENS if far else 0)

        best = min(servers, key=cost)
        queued = parts.loads.work(best.id).tokens / self._rate
        return best if queued <= QUEUE_OBJECTIVES * objective else None

    async def _handle(
        self, state: CallState, exchange: Exchange, server: BackendServer
    ) -> str:
        head, body = await exchange.whole()
        facts = self._parts.codec.answer_facts(state.call, head)
        if facts.not_run or not facts.success:
            # A rejected prefill counts as a repeated sending.
            self._parts.budget.take(state.service())
            self._parts.health.rejected(server.id)
            state.note(server.id, "prefill_rejected", str(facts.status))
            raise PrefillFailedError(f"status {facts.status}")
        return self._parts.codec.prefill_result(body).handle

    def _timed(self, tokens: int, seconds: float) -> None:
        if seconds > 0:
            self._rate += RATE_WEIGHT * (tokens / seconds - self._rate)

    async def _send_free(self, cache: KvCache) -> None:
        parts, address = self._parts, cache.server.address
        connection = await parts.pool.connection(
            address, max_idle_seconds=FREE_IDLE_SECONDS, timeout=CONNECT_SECONDS
        )
        exchange = Exchange(parts.codec.free_handle(cache.handle, address), b"")
        exchange.start(connection, parts.pool.release)
        try:
            await exchange.body_bytes()
        finally:
            exchange.cancel()
