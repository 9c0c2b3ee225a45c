"""Streams of model engines: the prompt is read at one, tokens are made at another."""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ..errors import (
    BackendError,
    BackendLeftError,
    BackendLostError,
    BackendUnreachableError,
)
from ..transport.http_exchange import (
    AnswerHead,
    ConnectionPool,
    Exchange,
    ServerConnection,
)
from ..transport.http_site import Responder
from .backends import Backends, BackendServer
from .call_state import CallState
from .calls import CallCodec, Dispatch, Refused, end_to_end
from .engine_queue import EngineQueue, Need
from .event_log import EventLog
from .event_stream import EventStream
from .loads import Loads
from .plain_calls import CONNECT_SECONDS, check_answer
from .resend_budget import ResendBudget
from .server_health import ServerHealth

PREFILL_TOKENS_PER_SECOND = 50_000.0
"""Assumed until prefills have been timed."""

PREFILL_WEIGHT = 0.1
PREFILL_TIMEOUT_SECONDS = 0.6
"""Silence of a prefill beyond the time its queue explains, after which the prompt
is read elsewhere; it leaves a third of the usual objective."""

PREFILL_QUEUE_OBJECTIVES = 0.6
"""Part of the objective that a prompt may wait for a prefill engine; beyond it a
decode engine may read the prompt itself, which delays its streams."""

DECODE_READ_PART = 0.5
"""Speed of a decode engine in reading prompts, against a prefill engine's."""


READ_SPACING_SECONDS = 0.08
"""Pause between two prompts that a decode engine reads: its streams need it to make
an event, or their pauses add up."""

HANDLE_PART = 0.8
"""Part of a handle's time within which it is offered again; the rest is for the
way and the transfer's queue."""


@dataclass(frozen=True, slots=True)
class KvCache:
    """A prompt's KV cache that waits at a prefill engine until it lapses."""

    server: BackendServer
    handle: str
    lapses: float


class ModelCalls:
    """Runs streams on engines, resuming those that may be resumed.

    A decode engine's slot and memory are taken before the prompt is read, as the
    KV cache lapses soon after.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        codec: CallCodec,
        pool: ConnectionPool,
        backends: Backends,
        loads: Loads,
        health: ServerHealth,
        budget: ResendBudget,
        queue_for: Callable[[str], EngineQueue],
        changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._codec = codec
        self._pool = pool
        self._backends = backends
        self._loads = loads
        self._health = health
        self._budget = budget
        self._queue_for = queue_for
        self._changed = changed
        self._log = log
        self._prefill_rate = PREFILL_TOKENS_PER_SECOND

    async def run(self, state: CallState, responder: Responder) -> None:
        """Stream the answer to the caller, or raise ``Refused`` before its head."""
        caches: list[KvCache] = []
        try:
            await self._run(state, responder, caches)
        finally:
            for cache in caches:
                self._free(cache)

    async def _run(
        self, state: CallState, responder: Responder, caches: list[KvCache]
    ) -> None:
        """Try engines; ``caches`` holds the KV cache that nobody has taken yet."""
        stream = EventStream(
            resumable=state.resolved.route.resumable,
            last_id=state.call.last_event_id,
        )
        without: set[str] = set()
        run_at: set[str] = set()
        while True:
            resolved = state.resolve()
            service = state.service()
            if state.sendings and not self._budget.take(service):
                raise state.given_up("resend_budget")
            queue = self._queue_for(service)
            server = await self._placed(state, queue, frozenset(without))
            started = self._clock.seconds()
            tokens = state.call.prompt.held_tokens if state.call.prompt else 0
            try:
                await self._attempt(state, responder, stream, server, caches)
                self._health.succeeded(server.id)
                queue.finished(self._clock.seconds() - started)
                return
            except _RejectedError as error:
                state.note(server.id, "rejected", str(error))
                self._health.rejected(server.id)
                without.add(server.id)
            except BackendLeftError as error:
                state.note(server.id, "left", str(error))
                without.add(server.id)
            except BackendUnreachableError as error:
                state.note(server.id, "unreachable", str(error))
                self._health.unreachable(server.id)
                without.add(server.id)
            except BackendError as error:
                state.note(server.id, "lost", str(error))
                self._health.unreachable(server.id)
                run_at.add(server.id)
                without.add(server.id)
                if not resolved.route.resumable:
                    raise state.given_up("stream_lost") from error
                if len(run_at) >= resolved.route.max_servers:
                    raise state.given_up("stream_lost") from error
            finally:
                self._loads.end(server.id, tokens)
                self._changed()
                queue.pump()

    async def _placed(
        self, state: CallState, queue: EngineQueue, without: frozenset[str]
    ) -> BackendServer:
        call, resolved = state.call, state.resolved
        priority = resolved.route.priority
        if resolved.account is not None and resolved.account.priority is not None:
            priority = resolved.account.priority
        try:
            return await queue.place(
                need=Need(
                    tokens=call.prompt.held_tokens if call.prompt else 0,
                    prompt_tokens=call.prompt.prompt_tokens if call.prompt else 0,
                    longest_pause=resolved.route.longest_pause.total_seconds(),
                    without=without,
                ),
                priority=priority,
                arrived=state.waiting_since(),
                objective=resolved.route.objective.total_seconds(),
            )
        except Refused as refused:
            raise state.refusal(
                refused.status, refused.reason, retry_after=refused.retry_after
            ) from refused
        finally:
            self._changed()

    async def _attempt(
        self,
        state: CallState,
        responder: Responder,
        stream: EventStream,
        server: BackendServer,
        caches: list[KvCache],
    ) -> None:
        now = self._clock.seconds()
        if caches and not (
            now < caches[0].lapses and self._backends.usable(caches[0].server)
        ):
            caches.clear()
        if not caches and not stream.begun and state.call.prompt is not None:
            cache = await self._prefill(state, server)
            if cache is not None:
                caches.append(cache)
        reading = _Reading(self._clock, self._loads, server.id)
        if not caches and state.call.prompt is not None:
            reading.begin(state.call.prompt.prompt_tokens)
            self._changed()
        exchange: Exchange | None = None
        try:
            connection = await self._pool.connection(
                server.address, max_idle_seconds=0.0, timeout=CONNECT_SECONDS
            )
            self._check(state, server, connection)
            source = None
            if caches:
                source = (caches[0].server.address, caches[0].handle)
            dispatch = Dispatch(
                server=server.id,
                account=state.account_name,
                seconds_left=state.seconds_left(),
                kv_source=source,
                last_event_id=stream.last_id,
            )
            request = self._codec.request(state.call, dispatch)
            exchange = Exchange(request, state.call.body)
            state.sent(server.id)
            exchange.start(connection, self._pool.release)
            head = await exchange.head()
            facts = self._codec.answer_facts(state.call, head)
            if facts.not_run:
                state.rejected(server.id)
                raise _RejectedError(f"status {facts.status}")
            caches.clear()
            check_answer(facts, server.id)
            reading.end()
            await self._forward(state, responder, stream, head, exchange)
        finally:
            reading.end()
            if exchange is not None:
                exchange.cancel()

    def _check(
        self, state: CallState, server: BackendServer, connection: ServerConnection
    ) -> None:
        """Check all beliefs once more, as the last step before the first byte."""
        try:
            state.resolve()
            self._backends.check(server, state.service())
        except (Refused, BackendLeftError):
            self._pool.release(connection)
            raise

    async def _forward(
        self,
        state: CallState,
        responder: Responder,
        stream: EventStream,
        head: AnswerHead,
        exchange: Exchange,
    ) -> None:
        """Pass events on as they arrive; a failure's whole answer if it is one."""
        if not 200 <= head.status < 300:
            body = await exchange.body_bytes()
            if stream.begun:
                text = f"resumed stream was answered with {head.status}"
                raise BackendLostError(text, step="resume")
            responder.answer(head.status, answer_headers(head), body)
            return
        if not stream.begun:
            stream.begun = True
            state.note("", "head")
            responder.begin(head.status, answer_headers(head))
        try:
            while chunk := await exchange.read():
                data = stream.take(chunk)
                if data:
                    now = self._clock.seconds()
                    if not stream.passed_on:
                        state.note("", "first")
                    else:
                        pause = now - stream.passed_on_at
                        state.longest_pause = max(state.longest_pause, pause)
                    stream.passed_on_at = now
                    stream.passed_on += len(data)
                    responder.write(data)
                    await responder.drained()
        except BackendError:
            stream.broken()
            raise
        rest = stream.rest()
        if rest:
            responder.write(rest)
        responder.end()

    async def _prefill(self, state: CallState, decode: BackendServer) -> KvCache | None:
        """Read the prompt at a prefill engine; ``None`` leaves it to ``decode``."""
        service = state.service()
        objective = state.resolved.route.objective.total_seconds()
        server = self._prefill_server(service, objective, decode.availability_zone)
        if server is None:
            return None
        tokens = state.call.prompt.prompt_tokens
        queued = self._loads.work(server.id).tokens / self._prefill_rate
        expected = queued + tokens / self._prefill_rate
        self._loads.begin(server.id, tokens)
        self._changed()
        exchange: Exchange | None = None
        try:
            started = self._clock.seconds()
            connection = await self._pool.connection(
                server.address, max_idle_seconds=0.0, timeout=CONNECT_SECONDS
            )
            self._check(state, server, connection)
            dispatch = Dispatch(
                server=server.id,
                account=state.account_name,
                seconds_left=state.seconds_left(),
                prefill_only=True,
            )
            request = self._codec.request(state.call, dispatch)
            exchange = Exchange(request, state.call.body)
            state.note(server.id, "prefill")
            exchange.start(connection, self._pool.release)
            answer = Deferred.fromCoroutine(self._prefill_answer(state, exchange))
            bound = expected + PREFILL_TIMEOUT_SECONDS
            answer.addTimeout(bound, self._clock, _too_slow(server))
            result = await answer
            self._health.succeeded(server.id)
            seconds = self._clock.seconds() - started
            if not queued and seconds > 0:
                rate = tokens / seconds
                self._prefill_rate += PREFILL_WEIGHT * (rate - self._prefill_rate)
            pool = self._queue_for(service).pool
            lapses = self._clock.seconds() + HANDLE_PART * pool.handle_seconds
            return KvCache(server, result, lapses)
        except _RejectedError as error:
            state.note(server.id, "prefill_rejected", str(error))
            self._health.failed(server.id)
            return None
        except BackendLeftError as error:
            state.note(server.id, "prefill_left", str(error))
            return None
        except BackendError as error:
            state.note(server.id, "prefill_lost", str(error))
            self._health.unreachable(server.id)
            return None
        finally:
            if exchange is not None:
                exchange.cancel()
            self._loads.end(server.id, tokens)
            self._changed()

    async def _prefill_answer(self, state: CallState, exchange: Exchange) -> str:
        head = await exchange.head()
        body = await exchange.body_bytes()
        facts = self._codec.answer_facts(state.call, head)
        if facts.not_run or not facts.success:
            raise _RejectedError(f"status {facts.status}")
        return self._codec.prefill_result(body).handle

    def read_rate(self) -> float:
        """Return the prompt tokens a second that a decode engine reads."""
        return DECODE_READ_PART * self._prefill_rate

    def prefill_free(self, service: str, objective: float) -> bool:
        """Whether a prompt would soon be read by a prefill engine."""
        return self._prefill_server(service, objective, "") is not None

    def _prefill_server(
        self, service: str, objective: float, zone: str
    ) -> BackendServer | None:
        servers = [
            each
            for each in self._backends.serving(service, "prefill")
            if not self._health.avoided(each.id)
        ]
        if not servers:
            return None

        def cost(server: BackendServer) -> float:
            far = server.availability_zone != zone
            queued = self._loads.work(server.id).tokens
            return queued * self._health.penalty(server.id) + (500 if far else 0)

        best = min(servers, key=cost)
        queued = self._loads.work(best.id).tokens / self._prefill_rate
        return best if queued <= PREFILL_QUEUE_OBJECTIVES * objective else None

    def _free(self, cache: KvCache) -> None:
        """Free a KV cache that nobody will take; it would lapse by itself."""
        freed = Deferred.fromCoroutine(self._send_free(cache))
        freed.addTimeout(1.0, self._clock)
        freed.addErrback(
            lambda failure: self._log.event(
                "kv_cache_not_freed",
                server=cache.server.id,
                reason=str(failure.value),
            )
        )

    async def _send_free(self, cache: KvCache) -> None:
        address = cache.server.address
        connection = await self._pool.connection(
            address, max_idle_seconds=4.0, timeout=CONNECT_SECONDS
        )
        exchange = Exchange(self._codec.free_handle(cache.handle, address), b"")
        exchange.start(connection, self._pool.release)
        try:
            await exchange.body_bytes()
        finally:
            exchange.cancel()


class _Reading:
    """Counts one prompt that a decode engine reads, and some time after it."""

    def __init__(self, clock: IReactorTime, loads: Loads, server: str) -> None:
        self._clock = clock
        self._loads = loads
        self._server = server
        self._tokens: int | None = None

    def begin(self, tokens: int) -> None:
        self._tokens = tokens
        self._loads.begin_reading(self._server, tokens)

    def end(self) -> None:
        tokens, self._tokens = self._tokens, None
        if tokens is not None:
            self._clock.callLater(
                READ_SPACING_SECONDS, self._loads.end_reading, self._server, tokens
            )


class _RejectedError(Exception):
    """An engine promised that it has not run the call."""


def _too_slow(server: BackendServer) -> Callable[[object, float], None]:
    def give_up(_: object, seconds: float) -> None:
        text = f"prefill engine {server.id!r} was silent for {seconds:g} s"
        raise BackendLostError(text, step="prefill", peer=server.id)

    return give_up


def answer_headers(head: AnswerHead) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a backend server's answer that a caller gets."""
    return tuple(
        each for each in end_to_end(head.headers) if each[0] != b"content-length"
    )
