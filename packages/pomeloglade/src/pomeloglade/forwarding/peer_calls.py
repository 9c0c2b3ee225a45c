"""Passes calls on to other instances while this one has no way to the servers."""

import contextlib
from collections.abc import Mapping
from random import Random

import msgspec
from twisted.internet.defer import CancelledError
from twisted.internet.task import LoopingCall

from pomeloglade_coordination.json_decoding import decode_json

from ..errors import (
    BackendError,
    BackendLostError,
    BackendUnreachableError,
    WrongContinuationError,
)
from ..transport.body_memory import MAX_CONTROL_BODY_BYTES
from ..transport.http_exchange import Exchange, ResponseHead
from ..transport.responder import Responder
from .allowed_regions import NO_SERVER_IN_REGION
from .backends import ZONE_OUT_OF_USE
from .call_state import CallState
from .calls import Refused, answer_headers
from .event_stream import EventStream
from .instance_availability import InstanceAvailability
from .instance_groups import Peer
from .plain_calls import ensure_whole_stream
from .send_context import CONNECT_TIMEOUT_SECONDS, OUT_OF_REACH, SendContext

PASSED_ON_REASONS = frozenset(
    (
        OUT_OF_REACH,
        "answer_lost",
        "engines_full",
        "servers_full",
        "stream_lost",
        "waited_in_vain",
    )
)
"""Reasons for which a call is not refused but passed on by such an instance."""

FINAL_REASONS = frozenset(
    ("ends_servers", "servers_limited", NO_SERVER_IN_REGION, ZONE_OUT_OF_USE)
)
"""Reasons of other instances' refusals that all of them have."""

NOT_RUN_STATUSES = frozenset((400, 401, 403, 404, 408, 413, 421, 429, 431, 503))
"""Statuses of another instance's own answers to calls that it has not run."""

TIME_LIMIT_STATUS = 504

MAX_PEERS = 3
"""Instances that are asked for one call. More than one is needed only until all know
which others are cut off."""

MAX_IDLE_SECONDS = 4.0
AVOID_SECONDS = 1.0
"""Time for which an instance that did not take a call gets no other."""

SILENT_SECONDS = 0.4
"""Time without an answer after which an instance gets no further calls. It may be
frozen; an instance that is well refuses or answers most calls within 0.2 s."""

TRANSIT_SECONDS = 0.02
"""Time left for the answer to come back before the call's time limit."""

MIN_SECONDS_LEFT = 0.05
"""A call with less time left is not passed on any more."""


class PeerCalls:
    """Sends calls to other instances, which handle them like their own callers' calls.

    The other instance resolves the call, chooses servers and sends; it keeps to its
    configuration, the servers' limits, the retry budget and the quarantine, of which it
    knows more: servers that this one has lost may have answered it. This one has
    counted the call for its account's limit and for the retry budget. A call that may
    have run is passed on only if it may run again, to one server each time.
    Answers are passed back unchanged, and a call that was passed on once is not passed
    on again.

    Parameters
    ----------
    context : SendContext
        The components of this instance that are needed to send calls.
    availability : InstanceAvailability
        Which instances can take calls.
    """

    def __init__(
        self, context: SendContext, availability: InstanceAvailability, random: Random
    ) -> None:
        self._context = context
        self._availability = availability
        self._random = random
        self._addresses_by_instance: dict[str, str] = {}
        self._zones_by_instance: dict[str, str] = {}
        self._avoid_until_by_instance: dict[str, float] = {}
        self._answered_at_by_instance: dict[str, float] = {}

    def set_peers(self, peers_by_instance: Mapping[str, Peer]) -> None:
        """Set the other registered instances."""
        self._addresses_by_instance = {
            name: f"{peer.address[0]}:{peer.address[1]}"
            for name, peer in peers_by_instance.items()
        }
        self._answered_at_by_instance = {
            name: at
            for name, at in self._answered_at_by_instance.items()
            if name in peers_by_instance
        }
        self._zones_by_instance = {
            name: peer.availability_zone for name, peer in peers_by_instance.items()
        }

    def may_pass_on(
        self, state: CallState, responder: Responder, refused: Refused
    ) -> bool:
        """Return whether a call that is refused here may be passed on instead."""
        if state.passed_on or refused.reason not in PASSED_ON_REASONS:
            return False
        if not self._context.reach.out_of_reach(state.service()):
            return False
        route = state.resolved.route
        if state.may_have_run and (
            not route.idempotent or state.run_count >= route.max_servers
        ):
            return False
        stream = state.stream
        return not responder.head_sent or (stream is not None and stream.may_go_on)

    async def run(
        self, state: CallState, responder: Responder, refused: Refused
    ) -> None:
        """Pass a call on, and its answer back; raise ``Refused`` if none answers."""
        spend = state.send_count > 0
        tried: set[str] = set()
        while len(tried) < MAX_PEERS and state.seconds_left() >= MIN_SECONDS_LEFT:
            peer = self._choose(state, tried)
            if peer is None:
                break
            tried.add(peer)
            state.resolve()
            if not self._may_take(state, peer):
                continue
            if spend and not self._context.budget.try_spend(state.service()):
                raise state.give_up_refusal("resend_budget")
            try:
                await self._send(state, responder, peer)
                return
            except _PeerRefusedError as error:
                state.record_not_run(peer)
                state.record_step(peer, "refused", error.reason)
                refused = Refused(503, error.reason, retry_after=error.retry_after)
                if error.reason in FINAL_REASONS:
                    break
                if error.reason == OUT_OF_REACH:
                    self._avoid(peer)
                spend = spend or error.reason != OUT_OF_REACH
            except BackendUnreachableError as error:
                state.record_step(peer, "unreachable", str(error))
                self._avoid(peer)
            except BackendError as error:
                wrong = isinstance(error, WrongContinuationError)
                ids = f", {state.stream.describe_ids()}" if state.stream else ""
                state.record_step(peer, "wrong" if wrong else "lost", f"{error}{ids}")
                if not wrong and not isinstance(error, _PeerFailedError):
                    self._avoid(peer)
                spend = True
                refused = state.give_up_refusal("answer_lost")
                if not self.may_pass_on(state, responder, refused):
                    raise refused from error
        raise refused

    def _may_take(self, state: CallState, peer: str) -> bool:
        """Return whether a call may be sent to the region of another instance."""
        zone = self._zones_by_instance.get(peer, "")
        return self._context.regions.instance_may_take(zone, state.resolved.zones)

    def _choose(self, state: CallState, tried: set[str]) -> str | None:
        """Return the instance to ask next, or ``None``.

        If all are reported as unavailable, or do not answer, one that is reported as
        unavailable is asked all the same: it may lack another service's servers, or
        reach them again.
        """
        now = self._context.clock.seconds()
        names = [
            each for each in self._addresses_by_instance if self._may_take(state, each)
        ]
        available = [
            name
            for name in names
            if name not in tried and self._availability.available(name)
        ]
        candidates = self._not_avoided(available, now)
        if not candidates and not tried:
            candidates = self._not_avoided(names, now)
            available = available or names
        return self._random.choice(candidates or available) if available else None

    def _not_avoided(self, instances: list[str], now: float) -> list[str]:
        return [
            name
            for name in instances
            if self._avoid_until_by_instance.get(name, 0.0) <= now
        ]

    def _avoid(self, peer: str) -> None:
        now = self._context.clock.seconds()
        for name, until in list(self._avoid_until_by_instance.items()):
            if until <= now:
                del self._avoid_until_by_instance[name]
        self._avoid_until_by_instance[peer] = now + AVOID_SECONDS

    async def _send(self, state: CallState, responder: Responder, peer: str) -> None:
        context, call, stream = self._context, state.call, state.stream
        idempotent = state.resolved.route.idempotent
        connection = await context.pool.acquire_connection(
            self._addresses_by_instance[peer],
            # An idle connection may have died unnoticed.
            max_idle_seconds=MAX_IDLE_SECONDS if idempotent else 0.0,
            timeout=CONNECT_TIMEOUT_SECONDS,
        )
        begun = stream is not None and stream.begun
        head = context.codec.pass_on_request(
            call,
            seconds_left=max(0.001, state.seconds_left() - TRANSIT_SECONDS),
            # One server each time: what a lost instance has used can't be known.
            servers_tried=state.resolved.route.max_servers - 1,
            last_event_id=stream.last_id if stream is not None else call.last_event_id,
            first_call_id=call.first_call_id or (call.id if begun else None),
        )
        exchange = Exchange(head, call.body)
        state.record_send(peer, "passed on")
        if stream is not None:
            stream.begin_answer()
        exchange.start(connection, context.pool.release)
        silence = self._watch_silence(peer)
        try:
            answer = await exchange.read_head()
            self._answered_at_by_instance[peer] = context.clock.seconds()
            metadata = context.codec.parse_answer(
                call, answer, on_kept_connection=exchange.connection.reused
            )
            if not metadata.has_seal:
                await self._raise_refusal(exchange, answer, peer)
            if stream is not None:
                stream.ensure_status(answer.status)
            success = 200 <= answer.status < 300
            if stream is not None and success:
                await self._forward(state, responder, stream, exchange, answer, peer)
                return
            body = await context.body_memory.read_body(exchange)
            responder.answer(answer.status, answer_headers(answer), body)
        except CancelledError:
            if state.expired and not exchange.has_head:
                self._avoid(peer)
            raise
        finally:
            silence.stop()
            exchange.cancel()

    def _watch_silence(self, peer: str) -> LoopingCall:
        """Avoid an instance while it answers none of the calls that it was sent.

        The call itself goes on to wait, as the instance may have run it.
        """
        clock = self._context.clock
        sent_at = clock.seconds()

        def check() -> None:
            answered_at = self._answered_at_by_instance.get(peer, float("-inf"))
            if answered_at < sent_at:
                self._avoid(peer)

        silence = LoopingCall(check)
        silence.clock = clock
        silence.start(SILENT_SECONDS, now=False)
        return silence

    async def _raise_refusal(
        self, exchange: Exchange, answer: ResponseHead, peer: str
    ) -> None:
        """Raise the error that another instance's own answer stands for."""
        body = await self._context.body_memory.read_body(
            exchange, MAX_CONTROL_BODY_BYTES
        )
        if answer.status == TIME_LIMIT_STATUS:
            raise Refused(TIME_LIMIT_STATUS, "time_limit")
        if answer.status not in NOT_RUN_STATUSES:
            text = f"instance {peer!r} answered {answer.status} by itself"
            raise _PeerFailedError(text, step="answer", peer=peer)
        reason = f"status {answer.status}"
        # A request that the site rejects has no body.
        with contextlib.suppress(msgspec.MsgspecError):
            reason = decode_json(body, _Refusal).reason
        seconds = self._context.codec.parse_retry_after(answer)
        raise _PeerRefusedError(reason, seconds)

    async def _forward(
        self,
        state: CallState,
        responder: Responder,
        stream: EventStream,
        exchange: Exchange,
        head: ResponseHead,
        peer: str,
    ) -> None:
        """Forward the events of a stream as they arrive."""
        memory = self._context.body_memory
        if not stream.begun:
            stream.begun = True
            responder.write_head(head.status, answer_headers(head))
        try:
            while chunk := await exchange.read_chunk():
                data = stream.feed(chunk)
                memory.hold(exchange, stream.held_bytes)
                if data:
                    responder.write(data)
                    await responder.wait_writable()
            details = (head.framing.value, stream.describe_ids())
            state.record_step(peer, "end", ", ".join(details))
            ensure_whole_stream(stream, head, peer)
        except BackendError:
            stream.discard_answer()
            raise
        finally:
            memory.release(exchange)
        rest = stream.finish()
        if rest:
            responder.write(rest)
        responder.end()


class _PeerFailedError(BackendLostError):
    """Another instance lost the answer to a call that may have run."""


class _Refusal(msgspec.Struct):
    reason: str


class _PeerRefusedError(Exception):
    """Another instance answered by itself that it has not run the call."""

    def __init__(self, reason: str, retry_after: float | None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after
