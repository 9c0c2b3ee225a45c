"""Stage orders to engines, given by the one instance that holds a lease."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from pomeloglade_coordination.key_value import KeyValueStore
from pomeloglade_coordination.lease import LeaseHolder

from ..errors import BackendError
from ..transport.body_memory import MAX_CONTROL_BODY_BYTES
from ..transport.http_exchange import Exchange, RequestHead, ResponseHead
from .backends import BackendServer
from .calls import StageOrder
from .send_context import SendContext
from .store_view import StoreView

PREFILL_SHARE = 0.24
"""Fraction of a service's engines that are prefill engines. A prompt of 5,000 tokens
takes an engine 0.09 s; its answer of 5,000 tokens takes a tenth of an engine for
3 s."""

CHECK_INTERVAL_SECONDS = 1.0
MAX_LEASE_JITTER_SECONDS = 2.0
"""Longest random delay before an instance tries to acquire a free lease. It spreads the
attempts, so that few fail because another instance was first."""

LEASE_SECONDS = 6.0
IMBALANCE_SECONDS = 5.0
"""How long the number of prefill engines must be wrong before one is changed while the
service has calls. After a crash, or a short partition of its availability zone, an
engine is back sooner, while a stage change takes an engine out of service for ten
seconds."""

MIN_ENGINES_FOR_PREFILL = 3
"""With fewer engines than this, all prefill locally. From three on a prefill engine
is worthwhile: a decode engine prefills at half the speed and delays its streams."""

STAGE_CHANGE_SECONDS = 12.0
"""Longest time for which an engine receives no calls after an order: it finishes its
calls, takes six seconds to change, and then registers with its new stage."""

CALL_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
STATUS_ACCEPTED = 202
STATUS_UNCHANGED = 200


class StageOrders:
    """Keeps the number of each service's prefill engines at its target.

    Only the holder of a lease gives orders; the revision of the lease's key is the
    fencing token. A new holder waits for ``pause_seconds`` before its first order, so
    that it does not follow an order of the previous holder too soon.

    Parameters
    ----------
    key : str
        The key of the lease in the store.
    on_order : callable
        Called with the id of each engine that is about to receive an order.
    pause_seconds : float
        Seconds that must pass between the orders of two holders.
    prefill_share : float
        Fraction of a service's engines that are prefill engines.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        store: KeyValueStore,
        holder: str,
        key: str,
        pause_seconds: float,
        prefill_share: float,
        context: SendContext,
        store_view: StoreView,
        random: Random,
        on_order: Callable[[str], None],
    ) -> None:
        self._on_order = on_order
        self._clock = clock
        self._holder = holder
        self._pause_seconds = pause_seconds
        self._prefill_share = prefill_share
        self._context = context
        self._codec = context.codec
        self._pool = context.pool
        self._store_view = store_view
        self._backends = context.backends
        self._loads = context.loads
        self._log = context.log
        self._lease = LeaseHolder(
            clock=clock,
            store=store,
            key=key,
            holder=holder,
            random=random,
            time_to_live=timedelta(seconds=LEASE_SECONDS),
            on_change=self._lease_changed,
        )
        self._random = random
        self._acquire_at: float | None = None
        self._acquiring = False
        self._held_since = 0.0
        self._era_changed_at = float("-inf")
        store.era.subscribe(self._era_changed)
        self._imbalanced_since_by_service: dict[str, float] = {}
        self._ordered_by_server: dict[str, tuple[str, float]] = {}
        self._timer: Any = None

    def start(self) -> None:
        """Start the periodic check of the lease and the engines."""
        self._timer = self._clock.callLater(CHECK_INTERVAL_SECONDS, self._check)

    def stop(self) -> None:
        """Release the lease and stop the checks."""
        self._lease.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def changing(self) -> list[str]:
        """Return the engines that were ordered recently and have not changed yet."""
        oldest = self._clock.seconds() - STAGE_CHANGE_SECONDS
        for server, (stage, at) in list(self._ordered_by_server.items()):
            entry = self._backends.get(server)
            if at < oldest or entry is None or entry.stage == stage:
                del self._ordered_by_server[server]
        return list(self._ordered_by_server)

    def _try_acquire_lease(self) -> None:
        """Try to acquire the lease while no instance holds it.

        Each attempt costs calls to the store, so none is made while the lease is held.
        """
        now = self._clock.seconds()
        if self._lease.valid():
            return
        if self._store_view.order_lease_held:
            self._acquire_at = None
            if self._acquiring:
                self._acquiring = False
                self._lease.stop()
        elif self._acquire_at is None:
            self._acquire_at = now + self._random.uniform(0.0, MAX_LEASE_JITTER_SECONDS)
        elif now >= self._acquire_at and not self._acquiring:
            self._acquiring = True
            self._lease.start()

    def _lease_changed(self) -> None:
        self._held_since = self._clock.seconds()
        self._log.event(
            "order_right", held=self._lease.valid(), fence=self._lease.fencing_token
        )

    def _may_order(self) -> bool:
        """Return whether no earlier holder can give orders any more."""
        if not self._lease.valid():
            return False
        now = self._clock.seconds()
        # A holder that does not yet know of a new era of the store may still trust a
        # lease of the previous one.
        since_era = now - self._era_changed_at
        return now - self._held_since > self._pause_seconds and (
            since_era > LEASE_SECONDS + self._pause_seconds
        )

    def _era_changed(self) -> None:
        self._era_changed_at = self._clock.seconds()

    def _check(self) -> None:
        self._timer = self._clock.callLater(CHECK_INTERVAL_SECONDS, self._check)
        deployment = self._store_view.deployment
        self._try_acquire_lease()
        if deployment is None or not self._may_order():
            return
        for service in deployment.services_by_name.values():
            if service.engines is None:
                continue
            chosen = self._choose(service.name)
            if chosen is None:
                continue
            done = Deferred.fromCoroutine(self._order(*chosen))
            done.addErrback(self._log_order_failure, chosen[0])

    def _choose(self, service: str) -> tuple[BackendServer, str] | None:
        """Return an engine to change and its new stage, or ``None``."""
        prefill, decode = self._stages(service)
        engines = len(prefill) + len(decode)
        wanted = prefill_engine_count(engines, self._prefill_share)
        if len(prefill) == wanted:
            self._imbalanced_since_by_service.pop(service, None)
            return None
        now = self._clock.seconds()
        since = self._imbalanced_since_by_service.setdefault(service, now)
        if len(prefill) > wanted:
            candidates, stage = prefill, "decode"
        elif len(decode) > 1:
            candidates, stage = decode, "prefill"
        else:
            return None
        changing = set(self.changing())
        candidates = [
            each
            for each in candidates
            if each.id not in changing and not self._backends.paused_for(each)
        ]
        if not candidates:
            return None
        calls = sum(self._loads.total(each.id).calls for each in prefill + decode)
        if calls and now - since < IMBALANCE_SECONDS:
            return None
        return (
            min(candidates, key=lambda s: (self._loads.total(s.id).tokens, s.id)),
            stage,
        )

    def _stages(self, service: str) -> tuple[list[BackendServer], list[BackendServer]]:
        """Return the prefill and decode engines; recent orders count as completed."""
        changing = set(self.changing())
        prefill: list[BackendServer] = []
        decode: list[BackendServer] = []
        for stage, engines in (("prefill", prefill), ("decode", decode)):
            for server in self._backends.registered(service, stage):
                if server.id not in changing:
                    engines.append(server)
                elif self._ordered_by_server[server.id][0] == "prefill":
                    prefill.append(server)
                else:
                    decode.append(server)
        return prefill, decode

    async def _order(self, server: BackendServer, stage: str) -> None:
        request = self._codec.engine_report_request(server)
        _, body = await self._call(server, request, b"")
        report = self._codec.parse_engine_report(body)
        self._loads.record_engine_report(server.id, report)
        if report.busy or report.stage == stage:
            self._log.event(
                "stage_order_needless",
                server=server.id,
                stage=report.stage,
                busy=report.busy,
            )
            return
        order = StageOrder(
            stage, self._holder, self._lease.fencing_token, report.accepted_orders
        )
        request, data = self._codec.stage_order_request(server, order)
        self._ordered_by_server[server.id] = (stage, self._clock.seconds())
        self._on_order(server.id)
        head, _ = await self._call(server, request, data)
        self._log.event(
            "stage_ordered",
            server=server.id,
            stage=stage,
            fence=order.fencing_token,
            orders=order.expected_orders,
            status=head.status,
            accepted=head.status in (STATUS_UNCHANGED, STATUS_ACCEPTED),
        )

    async def _call(
        self, server: BackendServer, request: RequestHead, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        connection = await self._pool.acquire_connection(
            server.address, max_idle_seconds=0.0, timeout=CONNECT_TIMEOUT_SECONDS
        )
        if not self._may_order():
            self._pool.release(connection)
            raise BackendError(
                f"engine {server.id!r} not called: order lease is invalid or too new",
                step="order",
            )
        if not self._backends.in_use(server):
            self._pool.release(connection)
            raise BackendError(
                f"engine {server.id!r} not called: its zone is out of use",
                step="order",
            )
        exchange = Exchange(request, body)
        sent_at = self._clock.seconds()
        self._context.limits.record_send(server.run)
        exchange.start(connection, self._pool.release)
        answer = Deferred.fromCoroutine(self._receive_answer(exchange))
        answer.addTimeout(CALL_TIMEOUT_SECONDS, self._clock)
        try:
            head, content = await answer
            self._context.record_notice(server, exchange, head, sent_at)
            return head, content
        finally:
            exchange.cancel()

    async def _receive_answer(self, exchange: Exchange) -> tuple[ResponseHead, bytes]:
        head = await exchange.read_head()
        memory = self._context.body_memory
        return head, await memory.read_body(exchange, MAX_CONTROL_BODY_BYTES)

    def _log_order_failure(self, failure: Any, server: BackendServer) -> None:
        self._log.event(
            "stage_not_ordered", server=server.id, reason=repr(failure.value)
        )


def prefill_engine_count(engines: int, share: float = PREFILL_SHARE) -> int:
    """Return the target number of prefill engines among a service's engines.

    With a ``share`` of 0, all prompts are prefilled locally by decode engines.

    >>> [prefill_engine_count(count) for count in (2, 3, 4, 11, 14)]
    [0, 1, 1, 3, 3]
    """
    if engines < MIN_ENGINES_FOR_PREFILL or share <= 0:
        return 0
    return max(1, round(share * engines))
