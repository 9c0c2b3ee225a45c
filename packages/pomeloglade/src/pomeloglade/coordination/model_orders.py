"""Orders engines to load the model versions that the configuration names."""

import enum
import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    DeferredLock,
    fail,
)
from twisted.internet.task import deferLater

from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.key_value import KeyValueStore
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.orders import (
    MAX_PROCESS_PAUSE,
    DesiredState,
    Order,
    OrderKind,
    Orders,
)
from pomeloglade_coordination.refusals import Refusal
from pomeloglade_coordination.shares import Grant, Shares

from ..state.deployment import BackendServer, Deployment, Model
from ..state.folder_checks import WEIGHT_STORE_ACCOUNT
from .current_configuration import CurrentConfiguration
from .engine import Engines, EngineState

ACQUIRE_TIMEOUT = timedelta(seconds=1)
RETRY_DELAY = timedelta(seconds=1)
"""Shortest delay after a refusal, and the delay after a grant that has lapsed."""


class ModelOrderCounter(enum.Enum):
    """Counters of model orders, besides those of the orders and of their lease.

    The ``ENGINES_...`` members are gauges: the engines that have a target version
    now, and how many of them last reported it as loaded to this instance.
    """

    ENGINES_WANTED = "engines_wanted"
    ENGINES_AT_VERSION = "engines_at_version"
    POOLS_WITH_SEVERAL_MODELS = "pools_with_several_models"
    LOADS_GRANTED = "loads_granted"
    LOADS_REFUSED = "loads_refused"
    LOAD_GRANTS_LAPSED = "load_grants_lapsed"
    LOADS_WITHDRAWN = "loads_withdrawn"


class LoadWithdrawnError(CoordinationError):
    """A load was withdrawn because the targets or the lease have changed."""


@dataclass(frozen=True, slots=True)
class _EngineTarget:
    state: DesiredState
    checks_fencing: bool


def weight_store_limits(deployment: Deployment) -> dict[str, Limit]:
    """Return the weight store's limit under its reserved account, if there is one."""
    store = deployment.weight_store
    if store is None:
        return {}
    return {WEIGHT_STORE_ACCOUNT: Limit(store.rate, store.burst)}


class ModelOrders:
    """Orders the engines of the own availability zone to load model versions.

    Every instance follows the configuration in force, but only the holder of the
    zone's lease sends orders. An instance competes for the lease once the
    configuration names a version. Each load costs tokens of the weight store's
    rate, which are acquired for one load at a time. An order does not make an
    engine eligible for requests: a joining engine stays joining.

    Parameters
    ----------
    own : Member
        This instance, with the incarnation of the running process.
    shares : Shares
        Shares the weight store's rate; must be configured with
        ``weight_store_limits`` in addition to the limits of client accounts.
    longest_pause : timedelta
        Longest pause of the process that is allowed for between its last check
        of the lease and the sending of an order.
    """

    def __init__(
        self,
        *,
        own: Member,
        clock: Clock,
        store: KeyValueStore,
        in_force: CurrentConfiguration,
        engines: Engines,
        shares: Shares,
        random: random.Random,
        longest_pause: timedelta = MAX_PROCESS_PAUSE,
    ) -> None:
        self._zone = own.availability_zone
        self._clock = clock
        self._in_force = in_force
        self._engines = engines
        self._shares = shares
        self._running = False
        self._generation = 0
        self._targets_by_server: dict[str, _EngineTarget] = {}
        self._states_by_server: dict[str, EngineState] = {}
        self._counts: Counter[ModelOrderCounter] = Counter()
        self._load_lock = DeferredLock()
        self._pending_delay: Deferred[None] | None = None
        self.orders = Orders(
            clock=clock,
            store=store,
            own=own,
            availability_zone=self._zone,
            engines=self,
            random=random,
            acquire=self._acquire,
            longest_pause=longest_pause,
        )
        in_force.subscribe(self._schedule_update)

    def start(self) -> None:
        """Start to follow the configuration in force."""
        self._running = True
        self._schedule_update()

    def stop(self) -> "Deferred[None]":
        """Release the lease; orders already sent may still take effect."""
        self._running = False
        self._apply_targets({})
        return self.orders.stop()

    def counters(self) -> Mapping[enum.Enum, int]:
        """Return the counters of this component, its orders and its lease."""
        targets = self._targets_by_server
        counts: Counter[enum.Enum] = Counter(self._counts)
        counts.update(self.orders.counters)
        counts.update(self.orders.results)
        counts.update(self.orders.lease.counters)
        counts[ModelOrderCounter.ENGINES_WANTED] = len(targets)
        counts[ModelOrderCounter.ENGINES_AT_VERSION] = sum(
            self._states_by_server.get(name) == EngineState(each.state.value)
            for name, each in targets.items()
        )
        return counts

    def send(self, order: Order) -> "Deferred[None]":
        """Send an order to the engine that it names."""
        server = self._server(order.server)
        return (
            self._engines.send_order(server, order)
            if server
            else _fail_unknown_server(order.server)
        )

    def read(self, server: str, kind: OrderKind) -> "Deferred[str]":
        """Return the value that an engine is loading, or else its current one.

        A load in progress counts as current, so that it is not ordered and paid
        for again; if it fails, the next reading shows that.
        """
        backend_server = self._server(server)
        if backend_server is None:
            return _fail_unknown_server(server)
        self._states_by_server.pop(server, None)
        reading = self._engines.read_state(backend_server, kind)
        return reading.addCallback(self._record_state, server)

    def _record_state(self, state: EngineState, server: str) -> str:
        self._states_by_server[server] = state
        return state.loading or state.value

    def _server(self, name: str) -> BackendServer | None:
        return self._in_force.deployment.backend_servers_by_name.get(name)

    def _schedule_update(self) -> None:
        # The new limits are set in shares only after the subscribers are called.
        self._clock.callLater(0, self._update_targets)

    def _update_targets(self) -> None:
        if self._running:
            self._apply_targets(self._targets(self._in_force.deployment))

    def _apply_targets(self, targets_by_server: dict[str, _EngineTarget]) -> None:
        previous = self._targets_by_server
        if targets_by_server == previous:
            return
        self._targets_by_server = targets_by_server
        self._withdraw_loads()
        for name in previous.keys() - targets_by_server.keys():
            self._states_by_server.pop(name, None)
            self.orders.remove_desired_states(name)
        for name, target in sorted(targets_by_server.items()):
            if target != previous.get(name):
                self.orders.set_desired_state(
                    name, target.state, checks_fencing=target.checks_fencing
                )
        if targets_by_server:
            self.orders.start()

    def _targets(self, deployment: Deployment) -> dict[str, _EngineTarget]:
        models_by_pool: dict[str, list[Model]] = {}
        for model in deployment.models_by_name.values():
            models_by_pool.setdefault(model.pool, []).append(model)
        ambiguous_pools = [
            pool
            for pool, models in models_by_pool.items()
            if len(models) > 1 and any(model.version for model in models)
        ]
        self._counts[ModelOrderCounter.POOLS_WITH_SEVERAL_MODELS] = len(ambiguous_pools)
        state_by_pool = {
            pool: _desired_state(models[0], deployment)
            for pool, models in models_by_pool.items()
            if len(models) == 1 and models[0].version
        }
        return {
            server.name: _EngineTarget(
                state_by_pool[server.pool], server.checks_fencing
            )
            for server in deployment.backend_servers_by_name.values()
            if server.pool in state_by_pool and self._may_be_ordered(server)
        }

    def _may_be_ordered(self, server: BackendServer) -> bool:
        return (
            server.availability_zone == self._zone
            and server.role in ("prefill", "decode")
            and server.state in ("joining", "serving")
        )

    def _acquire(self, tokens: int) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._acquire_serially(tokens))

    async def _acquire_serially(self, tokens: int) -> None:
        generation = self._generation
        fencing_token = self.orders.lease.fencing_token
        await self._load_lock.acquire()
        try:
            while not await self._try_acquire(tokens, generation, fencing_token):
                pass
        finally:
            self._load_lock.release()
        self._counts[ModelOrderCounter.LOADS_GRANTED] += 1

    async def _try_acquire(
        self, tokens: int, generation: int, fencing_token: int
    ) -> bool:
        self._check_current(generation, fencing_token)
        result = await self._shares.acquire(
            WEIGHT_STORE_ACCOUNT, tokens, ACQUIRE_TIMEOUT
        )
        if isinstance(result, Refusal):
            self._counts[ModelOrderCounter.LOADS_REFUSED] += 1
            await self._delay(max(result.retry_after or RETRY_DELAY, RETRY_DELAY))
            return False
        return await self._confirm_grant(result, generation, fencing_token)

    async def _confirm_grant(
        self, grant: Grant, generation: int, fencing_token: int
    ) -> bool:
        try:
            self._check_current(generation, fencing_token)
        except LoadWithdrawnError:
            self._shares.refund(grant, grant.tokens)
            raise
        if self._shares.confirm(grant):
            return True
        self._counts[ModelOrderCounter.LOAD_GRANTS_LAPSED] += 1
        await self._delay(RETRY_DELAY)
        return False

    def _check_current(self, generation: int, fencing_token: int) -> None:
        """Raise ``LoadWithdrawnError`` if the targets or the lease have changed.

        A lease that was lost and acquired again counts as changed: another holder
        may have sent orders in between, so the wait for orders still on their way
        has to start again.
        """
        lease = self.orders.lease
        same_lease = lease.valid() and lease.fencing_token == fencing_token
        if generation != self._generation or not same_lease:
            self._counts[ModelOrderCounter.LOADS_WITHDRAWN] += 1
            raise LoadWithdrawnError("target version or lease has changed", step="load")

    async def _delay(self, delay: timedelta) -> None:
        self._pending_delay = deferLater(self._clock, delay.total_seconds())
        try:
            await self._pending_delay
        except CancelledError:
            pass  # by ``_withdraw_loads``: the next check then raises an error
        finally:
            self._pending_delay = None

    def _withdraw_loads(self) -> None:
        self._generation += 1
        if self._pending_delay is not None:
            self._pending_delay.cancel()


def _desired_state(model: Model, deployment: Deployment) -> DesiredState:
    load_tokens = model.load_tokens if deployment.weight_store else 0
    return DesiredState(OrderKind.VERSION, model.version, load_tokens)


def _fail_unknown_server(server: str) -> "Deferred":
    text = f"backend server {server!r} is not in the configuration"
    return fail(CoordinationError(text, step="order", peer=server))
