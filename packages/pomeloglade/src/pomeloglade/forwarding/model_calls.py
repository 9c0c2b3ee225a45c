"""Model calls: prefill at one engine, then decode and streaming at another."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from ..errors import (
    BackendError,
    BackendNotServingError,
    BackendUnreachableError,
    WrongContinuationError,
)
from ..transport.http_exchange import Exchange, ResponseHead, ServerConnection
from ..transport.responder import Responder
from .backends import BackendServer
from .call_state import CallState
from .calls import SendParameters, answer_headers
from .engine_queue import EngineQueue
from .engine_waiters import EngineRequirements
from .event_stream import EventStream
from .fleet_contact import FleetContact
from .local_prefill import LocalPrefill
from .plain_calls import ensure_whole_stream, validate_answer
from .prefills import KvCache, PrefillFailedError, Prefills
from .send_context import SendContext, on_silence
from .stream_origins import StreamOrigins
from .stream_take_up import StreamTakeUp
from .version_history import VersionHistory

SERVER_ERROR = 500
"""Lowest status of an error of the server."""

RETRY_COST = 2
"""Requests that a retry takes from the retry budget: a prefill and the call."""

STREAM_SILENCE_SECONDS = 2.0
"""Time without an event with data after which a resumable stream is resumed at another
engine. Callers give up after twice that time; events usually follow each other within a
tenth of a second. Other bytes don't count, as an engine that stalls may
still send some."""

FIRST_EVENT_OBJECTIVES = 2.0
"""The same, in objectives, before the first event. The call is late by then, and most
engines send it much sooner."""


class ModelCalls:
    """Streams model calls from engines and resumes them where the route allows it.

    A decode engine's slot and memory are allocated before the prefill, because the
    KV cache expires soon after it.
    """

    def __init__(
        self,
        context: SendContext,
        prefills: Prefills,
        queue_for: Callable[[str], EngineQueue],
        origins: StreamOrigins,
        versions: VersionHistory,
        contact: FleetContact,
    ) -> None:
        self._context = context
        self._prefills = prefills
        self._queue_for = queue_for
        self._take_up = StreamTakeUp(origins, versions, contact)

    async def run(self, state: CallState, responder: Responder) -> None:
        """Stream the answer to the caller, or raise ``Refused``."""
        caches: list[KvCache] = []
        try:
            await self._run(state, responder, caches)
        finally:
            for cache in caches:
                self._discard(state, cache)

    async def _run(
        self, state: CallState, responder: Responder, caches: list[KvCache]
    ) -> None:
        """Try engines until one has streamed the answer to its end.

        ``caches`` holds at most one KV cache, as long as no engine has fetched it.
        """
        stream = EventStream(
            resumable=state.resolved.route.resumable,
            last_id=state.call.last_event_id,
        )
        state.stream = stream
        if stream.resumable and stream.last_id is not None:
            stream.origin = await self._take_up.find_origin(state)
        health, clock = self._context.health, self._context.clock
        excluded: set[str] = set()
        rejecting: set[str] = set()
        failed_servers: set[str] = set()
        while True:
            resolved = state.resolve()
            service = state.service()
            self._context.ensure_in_reach(service)
            self._context.ensure_not_quarantined(state)
            if state.send_count and not self._context.budget.remaining(service):
                raise state.give_up_refusal("resend_budget")
            queue = self._queue_for(service)
            server = await self._acquire_engine(
                state, queue, stream, frozenset(excluded), frozenset(rejecting), caches
            )
            started = clock.seconds()
            tokens = state.call.prompt.mean_kv_tokens if state.call.prompt else 0
            try:
                avoided = frozenset(excluded | rejecting)
                await self._send(state, responder, stream, server, caches, avoided)
                if responder.status < SERVER_ERROR:
                    health.record_success(server.id)
                    self._context.record_answer(state, responder.status)
                    queue.record_duration(clock.seconds() - started)
                return
            except _FaultyEngineError as error:
                state.record_step(server.id, "faulty", str(error))
                failed_servers.add(server.id)
                excluded.add(server.id)
            except PrefillFailedError:
                # The engine still has room, but it was not chosen for a local
                # prefill, which would delay its streams.
                continue
            except _CrowdedError as error:
                state.record_step(server.id, "crowded", str(error))
                continue
            except _RejectedError as error:
                state.record_step(server.id, "rejected", str(error))
                # A paused engine is chosen again only after its pause.
                if not self._context.backends.paused_for(server):
                    health.record_rejection(server.id)
                    rejecting.add(server.id)
            except BackendNotServingError as error:
                state.record_step(server.id, "left", str(error))
                excluded.add(server.id)
            except BackendUnreachableError as error:
                state.record_step(server.id, "unreachable", str(error))
                health.record_unreachable(server.id)
                excluded.add(server.id)
            except BackendError as error:
                wrong = isinstance(error, WrongContinuationError)
                state.record_step(
                    server.id,
                    "wrong" if wrong else "lost",
                    f"{error}, {stream.describe_ids()}",
                )
                health.record_unreachable(server.id)
                self._context.record_loss(state, server, error)
                failed_servers.add(server.id)
                excluded.add(server.id)
                if (
                    not stream.may_go_on
                    or state.servers_tried + len(failed_servers)
                    >= resolved.route.max_servers
                ):
                    raise state.give_up_refusal("stream_lost") from error
            finally:
                self._context.loads.end(server.id, tokens)
                self._context.on_load_changed()
                queue.place_waiting()

    async def _acquire_engine(
        self,
        state: CallState,
        queue: EngineQueue,
        stream: EventStream,
        excluded: frozenset[str],
        rejecting: frozenset[str],
        caches: list[KvCache],
    ) -> BackendServer:
        """Wait for an engine with a free slot and memory, and allocate them.

        An engine that rejected the call is asked again only if the stream needs its
        software version, after the time for which it is avoided.
        """
        resolved = state.resolved
        priority = resolved.route.priority
        if resolved.account is not None and resolved.account.priority is not None:
            priority = resolved.account.priority
        self._drop_unusable(state, caches)
        if stream.origin is None:
            excluded |= rejecting
        try:
            return await queue.place(
                requirements=self._requirements(state, stream, caches, excluded),
                priority=priority,
                arrived=state.waiting_since(),
                objective=resolved.route.objective.total_seconds(),
                account_usage=state.account_usage,
            )
        finally:
            self._context.on_load_changed()

    def _requirements(
        self,
        state: CallState,
        stream: EventStream,
        caches: list[KvCache],
        excluded: frozenset[str],
    ) -> EngineRequirements:
        call, resolved = state.call, state.resolved
        return EngineRequirements(
            tokens=call.prompt.mean_kv_tokens if call.prompt else 0,
            prompt_tokens=call.prompt.prompt_tokens if call.prompt else 0,
            longest_pause=resolved.route.longest_pause.total_seconds(),
            excluded=excluded,
            cached=bool(caches),
            software_version=stream.origin.software_version if stream.origin else None,
            zones=resolved.zones,
            repeatable=resolved.route.resumable,
        )

    def _may_be_fetched(self, state: CallState, cache: KvCache) -> bool:
        """Return whether the zone of a KV cache is in use and allowed for the call."""
        backends = self._context.backends
        return backends.in_use(cache.server) and backends.is_in(
            cache.server, state.resolved.zones
        )

    def _discard(self, state: CallState, cache: KvCache) -> None:
        """Free a KV cache, unless the call may send nothing to its server any more."""
        if self._may_be_fetched(state, cache):
            self._prefills.discard(cache)

    def _drop_unusable(self, state: CallState, caches: list[KvCache]) -> None:
        now = self._context.clock.seconds()
        # A server that leaves or is paused still passes on the caches that it holds.
        if caches and not (
            now < caches[0].expires_at
            and self._context.backends.get(caches[0].server.id)
            and self._may_be_fetched(state, caches[0])
        ):
            caches.clear()

    async def _send(
        self,
        state: CallState,
        responder: Responder,
        stream: EventStream,
        server: BackendServer,
        caches: list[KvCache],
        avoided: frozenset[str],
    ) -> None:
        """Send a call to a decode engine and forward its stream.

        The connection is opened before the prefill, which would be wasted if the
        engine can't be reached. After it, a call whose engine others have filled goes
        to another one that is not ``avoided``, unless it was sent before: the retry
        that it took from the budget would be lost.
        """
        context, prompt = self._context, state.call.prompt
        local_prefill = LocalPrefill(context.clock, context.loads, server.id)
        exchange: Exchange | None = None
        connection: ServerConnection | None = None
        try:
            if prompt is not None and not caches and not self._prefill_available(state):
                local_prefill.begin(prompt.prompt_tokens)
                context.on_load_changed()
            connection = await context.connect(state, server)
            if state.send_count and not context.budget.try_spend(state.service()):
                # Before the prefill, which would be wasted.
                raise state.give_up_refusal("resend_budget")
            self._drop_unusable(state, caches)
            if not caches and prompt is not None and state.trial is None:
                # A trial is made at one server only, which reads the prompt itself.
                queue = self._queue_for(state.service())
                cache = await self._prefills.run(
                    state, server, queue.pool.handle_seconds
                )
                if cache is not None:
                    caches.append(cache)
                context.revalidate(state, server)
                if caches and not self._may_be_fetched(state, caches[0]):
                    caches.clear()
                    raise PrefillFailedError("KV cache must not be fetched any more")
                if caches and not state.send_count:
                    requirements = self._requirements(state, stream, caches, avoided)
                    if queue.should_move(server, requirements):
                        raise _CrowdedError("other calls have taken its KV memory")
            if caches:
                local_prefill.end()
            elif prompt is not None:
                local_prefill.begin(prompt.prompt_tokens)
                context.on_load_changed()
            if connection.closed:
                text = f"connection to {server.address} closed before it was used"
                raise BackendUnreachableError(text, step="connect", peer=server.id)
            source = None
            if caches:
                source = (caches[0].server.address, caches[0].handle)
            parameters = SendParameters(
                server=server.id,
                account=state.account_name,
                seconds_left=state.seconds_left(),
                kv_source=source,
                last_event_id=stream.last_id,
            )
            request = context.codec.forward_request(state.call, parameters)
            exchange = Exchange(request, state.call.body)
            details = (server.software_version, context.describe_pace(server))
            state.record_send(server.id, " ".join(filter(None, details)))
            sent_at = context.clock.seconds()
            stream.begin_answer()
            exchange.start(connection, context.pool.release)
            try:
                head = await self._with_silence_timeout(
                    stream, server, exchange.read_head(), _patience(state, stream)
                )
            except BackendError:
                # The engine may have fetched the KV cache before it failed.
                while caches:
                    self._discard(state, caches.pop())
                raise
            context.record_notice(server, exchange, head, sent_at)
            metadata = context.codec.parse_answer(
                state.call, head, on_kept_connection=connection.reused
            )
            if metadata.not_run:
                state.record_not_run(server.id)
                raise _RejectedError(f"status {metadata.status}")
            caches.clear()
            validate_answer(metadata, server.id)
            context.quarantine.record_alive(server.run, sent_at)
            local_prefill.end()
            await self._forward(state, responder, stream, server, head, exchange)
        finally:
            local_prefill.end()
            if exchange is not None:
                exchange.cancel()
            elif connection is not None:
                context.pool.release(connection)

    def _prefill_available(self, state: CallState) -> bool:
        objective = state.resolved.route.objective.total_seconds()
        zones = state.resolved.zones
        return self._prefills.available(state.service(), objective, zones)

    async def _forward(
        self,
        state: CallState,
        responder: Responder,
        stream: EventStream,
        server: BackendServer,
        head: ResponseHead,
        exchange: Exchange,
    ) -> None:
        """Forward events as they arrive, or an error answer as a whole."""
        if not 200 <= head.status < 300:
            body = await self._context.body_memory.read_body(exchange)
            if head.status >= SERVER_ERROR:
                self._context.health.record_failure(server.id)
                if self._should_retry_error(state, server):
                    raise _FaultyEngineError(f"status {head.status}")
            stream.ensure_status(head.status)
            responder.answer(head.status, answer_headers(head), body)
            return
        stream.ensure_status(head.status)
        if not stream.begun:
            stream.begun = True
            if self._take_up.record_origin(state, stream, server):
                self._context.on_load_changed()
            state.record_step("", "head")
            responder.write_head(head.status, answer_headers(head))
        clock = self._context.clock
        allowed_pause = state.resolved.route.longest_pause.total_seconds()
        forwarded_at: float | None = None
        stalls_at = clock.seconds() + _patience(state, stream)
        try:
            while chunk := await self._with_silence_timeout(
                stream, server, exchange.read_chunk(), stalls_at - clock.seconds()
            ):
                data_events = stream.data_events
                data = stream.feed(chunk)
                if stream.data_events > data_events:
                    stalls_at = clock.seconds() + STREAM_SILENCE_SECONDS
                self._context.body_memory.hold(exchange, stream.held_bytes)
                if data:
                    self._record_pause(state, stream, len(data))
                    responder.write(data)
                    written_at = clock.seconds()
                    if forwarded_at is not None:
                        pause = written_at - forwarded_at
                        self._prefills.pauses.record(server, pause, allowed_pause)
                    await responder.wait_writable()
                    forwarded_at = clock.seconds()
                    # While the caller does not read, neither is the engine read.
                    stalls_at += forwarded_at - written_at
            place = "inside an event" if stream.inside_event else "after an event"
            details = (head.framing.value, place, stream.describe_ids())
            state.record_step(server.id, "end", ", ".join(details))
            ensure_whole_stream(stream, head, server.id)
        except BackendError:
            stream.discard_answer()
            raise
        finally:
            self._context.body_memory.release(exchange)
        rest = stream.finish()
        if rest:
            responder.write(rest)
        responder.end()

    def _should_retry_error(self, state: CallState, server: BackendServer) -> bool:
        """Return whether to retry a call elsewhere that an engine answered by an error.

        The error is taken to be the call's own unless this engine fails more often
        than the others. The retry may need a prefill, which counts as another one.
        """
        service, route = state.service(), state.resolved.route
        others = [
            each.id
            for each in self._context.backends.serving(service, server.stage)
            if each.id != server.id
        ]
        return (
            route.resumable
            and state.run_count < route.max_servers
            and self._context.budget.remaining(service) >= RETRY_COST
            and self._context.health.fails_more_than(server.id, others)
        )

    async def _with_silence_timeout(
        self,
        stream: EventStream,
        server: BackendServer,
        receiving: object,
        seconds: float,
    ) -> object:
        """Wait for a stream's next part, with a timeout if the stream is resumable."""
        part = Deferred.fromCoroutine(receiving)
        if stream.resumable:
            part.addTimeout(
                max(0.0, seconds),
                self._context.clock,
                on_silence(server, "stream"),
            )
        return await part

    def _record_pause(self, state: CallState, stream: EventStream, length: int) -> None:
        now = self._context.clock.seconds()
        if stream.forwarded_bytes:
            pause = now - stream.forwarded_at
            allowed = state.resolved.route.longest_pause.total_seconds()
            if state.longest_pause <= allowed < pause:
                state.record_step("", "paused", f"{pause:.3f} s")
            state.longest_pause = max(state.longest_pause, pause)
        else:
            state.record_step("", "first")
        stream.forwarded_bytes += length
        stream.forwarded_at = now


def _patience(state: CallState, stream: EventStream) -> float:
    """Return the seconds without an event after which a stream is resumed."""
    if stream.data_events:
        return STREAM_SILENCE_SECONDS
    objective = state.resolved.route.objective.total_seconds()
    return min(STREAM_SILENCE_SECONDS, FIRST_EVENT_OBJECTIVES * objective)


class _FaultyEngineError(Exception):
    """An engine that fails often answered a call by an error."""


class _CrowdedError(Exception):
    """An engine has too many calls by now, and another one has room."""


class _RejectedError(Exception):
    """An engine rejected the call and promised not to have run it."""
