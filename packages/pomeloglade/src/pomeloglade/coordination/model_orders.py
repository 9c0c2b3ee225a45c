"""Keeps engines at the model versions that the configuration names."""

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
    LONGEST_PAUSE,
    DesiredState,
    Order,
    OrderKind,
    Orders,
)
from pomeloglade_coordination.refusals import Refusal
from pomeloglade_coordination.shares import Grant, Shares

from ..state.deployment import BackendServer, Deployment, Model
from ..state.folder_checks import WEIGHT_STORE_ACCOUNT
from .engine import Engines, EngineState
from .in_force import InForce

ACQUIRE_TIMEOUT = timedelta(seconds=1)
RETRY_DELAY = timedelta(seconds=1)
"""Shortest wait after a refusal, and the wait after a grant whose lease lapsed."""


class ModelOrderCounter(enum.Enum):
    """What model orders count, beside the orders and their lease.

    The ``ENGINES`` members are levels: what is wanted now, and how many of
    those engines last reported the version as loaded to this instance.
    """

    ENGINES_WANTED = "engines_wanted"
    ENGINES_AT_VERSION = "engines_at_version"
    POOLS_WITH_SEVERAL_MODELS = "pools_with_several_models"
    LOADS_GRANTED = "loads_granted"
    LOADS_REFUSED = "loads_refused"
    LOAD_GRANTS_LAPSED = "load_grants_lapsed"
    LOADS_WITHDRAWN = "loads_withdrawn"


class LoadWithdrawnError(CoordinationError):
    """The load is not to be paid for: its order or the lease has changed."""


@dataclass(frozen=True, slots=True)
class _Wanted:
    state: DesiredState
    checks_fencing: bool


def weight_store_limits(deployment: Deployment) -> dict[str, Limit]:
    """Return the weight store's limit by its reserved account, if it has one."""
    store = deployment.weight_store
    if store is None:
        return {}
    return {WEIGHT_STORE_ACCOUNT: Limit(store.rate, store.burst)}


class ModelOrders:
    """Orders the engines of the own availability zone to their model versions.

    Every instance follows the configuration in force; the holder of the zone's
    lease sends the orders. It competes for the lease from the first version on.
    Loads are paid for from the weight store's rate, one at a time. Engines get
    no requests on account of an order: a joining engine stays joining.

    Parameters
    ----------
    own : Member
        This run of the instance.
    shares : Shares
        Shares the weight store's rate; it must be configured with
        ``weight_store_limits`` beside the limits of client accounts.
    longest_pause : timedelta
        How long a process may be paused between its last check and the moment
        at which an order leaves.
    """

    def __init__(
        self,
        *,
        own: Member,
        clock: Clock,
        store: KeyValueStore,
        in_force: InForce,
        engines: Engines,
        shares: Shares,
        random: random.Random,
        longest_pause: timedelta = LONGEST_PAUSE,
    ) -> None:
        self._zone = own.availability_zone
        self._clock = clock
        self._in_force = in_force
        self._engines = engines
        self._shares = shares
        self._running = False
        self._generation = 0
        self._wanted_by_server: dict[str, _Wanted] = {}
        self._states_by_server: dict[str, EngineState] = {}
        self._counts: Counter[ModelOrderCounter] = Counter()
        self._loading = DeferredLock()
        self._pausing: Deferred[None] | None = None
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
        in_force.subscribe(self._changed)

    def start(self) -> None:
        """Begin to follow the configuration in force."""
        self._running = True
        self._changed()

    def stop(self) -> "Deferred[None]":
        """Release the lease; orders already sent may still take effect."""
        self._running = False
        self._put_in_force({})
        return self.orders.stop()

    def counters(self) -> Mapping[enum.Enum, int]:
        """Return the counters of model orders, of the orders and of the lease."""
        wanted = self._wanted_by_server
        counts: Counter[enum.Enum] = Counter(self._counts)
        counts.update(self.orders.counters)
        counts.update(self.orders.results)
        counts.update(self.orders.lease.counters)
        counts[ModelOrderCounter.ENGINES_WANTED] = len(wanted)
        counts[ModelOrderCounter.ENGINES_AT_VERSION] = sum(
            self._states_by_server.get(name) == EngineState(each.state.value)
            for name, each in wanted.items()
        )
        return counts

    def send(self, order: Order) -> "Deferred[None]":
        """Send an order to the engine that it names."""
        server = self._server(order.server)
        return self._engines.order(server, order) if server else _gone(order.server)

    def read(self, server: str, kind: OrderKind) -> "Deferred[str]":
        """Return what an engine is loading, or else what it has in force.

        A load under way counts as in force, so that it is not ordered and paid
        for again; should it fail, the next reading shows that.
        """
        found = self._server(server)
        if found is None:
            return _gone(server)
        self._states_by_server.pop(server, None)
        reading = self._engines.read_state(found, kind)
        return reading.addCallback(self._note, server)

    def _note(self, state: EngineState, server: str) -> str:
        self._states_by_server[server] = state
        return state.loading or state.value

    def _server(self, name: str) -> BackendServer | None:
        return self._in_force.deployment.backend_servers_by_name.get(name)

    def _changed(self) -> None:
        # The other parts take the configuration first, shares among them.
        self._clock.callLater(0, self._follow)

    def _follow(self) -> None:
        if self._running:
            self._put_in_force(self._wanted(self._in_force.deployment))

    def _put_in_force(self, wanted_by_server: dict[str, _Wanted]) -> None:
        former = self._wanted_by_server
        if wanted_by_server == former:
            return
        self._wanted_by_server = wanted_by_server
        self._withdraw_loads()
        for name in former.keys() - wanted_by_server.keys():
            self._states_by_server.pop(name, None)
            self.orders.withdraw(name)
        for name, wanted in sorted(wanted_by_server.items()):
            if wanted != former.get(name):
                self.orders.order(
                    name, wanted.state, checks_fencing=wanted.checks_fencing
                )
        if wanted_by_server:
            self.orders.start()

    def _wanted(self, deployment: Deployment) -> dict[str, _Wanted]:
        models_by_pool: dict[str, list[Model]] = {}
        for model in deployment.models_by_name.values():
            models_by_pool.setdefault(model.pool, []).append(model)
        crowded = [
            pool
            for pool, models in models_by_pool.items()
            if len(models) > 1 and any(model.version for model in models)
        ]
        self._counts[ModelOrderCounter.POOLS_WITH_SEVERAL_MODELS] = len(crowded)
        state_by_pool = {
            pool: _desired_state(models[0], deployment)
            for pool, models in models_by_pool.items()
            if len(models) == 1 and models[0].version
        }
        return {
            server.name: _Wanted(state_by_pool[server.pool], server.checks_fencing)
            for server in deployment.backend_servers_by_name.values()
            if server.pool in state_by_pool and self._is_ordered(server)
        }

    def _is_ordered(self, server: BackendServer) -> bool:
        return (
            server.availability_zone == self._zone
            and server.role in ("prefill", "decode")
            and server.state in ("joining", "serving")
        )

    def _acquire(self, tokens: int) -> "Deferred[None]":
        return Deferred.fromCoroutine(self._acquire_in_turn(tokens))

    async def _acquire_in_turn(self, tokens: int) -> None:
        generation = self._generation
        fencing_number = self.orders.lease.fencing_number
        await self._loading.acquire()
        try:
            while not await self._try_acquire(tokens, generation, fencing_number):
                pass
        finally:
            self._loading.release()
        self._counts[ModelOrderCounter.LOADS_GRANTED] += 1

    async def _try_acquire(
        self, tokens: int, generation: int, fencing_number: int
    ) -> bool:
        self._check_wanted(generation, fencing_number)
        result = await self._shares.acquire(
            WEIGHT_STORE_ACCOUNT, tokens, ACQUIRE_TIMEOUT
        )
        if isinstance(result, Refusal):
            self._counts[ModelOrderCounter.LOADS_REFUSED] += 1
            await self._pause(max(result.retry_after or RETRY_DELAY, RETRY_DELAY))
            return False
        return await self._spend(result, generation, fencing_number)

    async def _spend(self, grant: Grant, generation: int, fencing_number: int) -> bool:
        try:
            self._check_wanted(generation, fencing_number)
        except LoadWithdrawnError:
            self._shares.refund(grant, grant.tokens)
            raise
        if self._shares.confirm(grant):
            return True
        self._counts[ModelOrderCounter.LOAD_GRANTS_LAPSED] += 1
        await self._pause(RETRY_DELAY)
        return False

    def _check_wanted(self, generation: int, fencing_number: int) -> None:
        """Raise ``LoadWithdrawnError`` unless nothing has changed meanwhile.

        A lease lost and taken again counts as a change: another holder may have
        sent orders in between, which are to be waited out anew.
        """
        lease = self.orders.lease
        same_lease = lease.valid() and lease.fencing_number == fencing_number
        if generation != self._generation or not same_lease:
            self._counts[ModelOrderCounter.LOADS_WITHDRAWN] += 1
            raise LoadWithdrawnError("the load is not wanted any more", step="load")

    async def _pause(self, pause: timedelta) -> None:
        self._pausing = deferLater(self._clock, pause.total_seconds())
        try:
            await self._pausing
        except CancelledError:
            pass
        finally:
            self._pausing = None

    def _withdraw_loads(self) -> None:
        self._generation += 1
        if self._pausing is not None:
            self._pausing.cancel()


def _desired_state(model: Model, deployment: Deployment) -> DesiredState:
    load_tokens = model.load_tokens if deployment.weight_store else 0
    return DesiredState(OrderKind.VERSION, model.version, load_tokens)


def _gone(server: str) -> "Deferred":
    text = f"backend server {server!r} is not in the configuration"
    return fail(CoordinationError(text, step="order", peer=server))
