"""Tests of model orders: two zones, frozen lease holders, the weight store's rate."""

import random
from dataclasses import replace
from datetime import timedelta

import pytest
from bench.budget_model import Event, excess_tokens
from treq.testing import StubTreq
from twisted.internet.task import Clock

from fakes import FakeEngines
from faulty_fleet import (
    FaultyStore,
    ProcessClock,
    SimulatedNetwork,
    SimulationClock,
    StoreFault,
)
from pomeloglade.coordination.current_configuration import CurrentConfiguration
from pomeloglade.coordination.engine import EngineState
from pomeloglade.coordination.model_orders import (
    ModelOrderCounter,
    ModelOrders,
    weight_store_limits,
)
from pomeloglade.errors import BackendLostError
from pomeloglade.state.deployment import BackendServer, Deployment, Model, WeightStore
from pomeloglade.state.folder import BadFolderError, read_folder
from pomeloglade.state.folder_checks import WEIGHT_STORE_ACCOUNT, is_name
from pomeloglade.transport.engines import HttpEngines
from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.lease import LEASE_TIME_TO_LIVE, LeaseCounter
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.orders import (
    MAX_PROCESS_PAUSE,
    DesiredState,
    Order,
    OrderCounter,
    OrderKind,
    OrderRefusedError,
)
from pomeloglade_coordination.share_owners import FixedOwners
from pomeloglade_coordination.shares import TICK_SECONDS, Grant, Shares
from pomeloglade_standins.engine import EngineStandIn

ZONES = {"za": ("a1", "a2"), "zb": ("b1", "b2")}
LOAD_TOKENS = 1000
WEIGHT_STORE = WeightStore(rate=100, burst=2000)
TIMEOUT = timedelta(seconds=1)
ORDER_DELAY_SECONDS = (LEASE_TIME_TO_LIVE + MAX_PROCESS_PAUSE).total_seconds()
"""Longest wait of a new lease holder for an engine that does not check fencing."""


def engine(name, zone="za", **fields):
    return BackendServer(
        name, zone, f"{name}:1", "llm", "decode", checks_fencing=True, **fields
    )


def deployment(*engines, version="v1", models=(), load=LOAD_TOKENS, store=WEIGHT_STORE):
    model = Model("m", "llm", version, load)
    return Deployment(
        availability_zones=tuple(ZONES),
        backend_servers_by_name={each.name: each for each in engines},
        models_by_name={each.name: each for each in (model, *models)},
        weight_store=store,
    )


class TimedEngines(FakeEngines):
    """Fake engines that record when they accept orders."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.times = []

    def send_order(self, server, order):
        count_before = len(self.orders)
        done = super().send_order(server, order)
        if len(self.orders) > count_before:
            self.times.append(self.world.seconds())
        return done

    @property
    def accepted(self):
        return [(server, order.state.value) for server, order in self.orders]


class Instance:
    """The components of one instance that model orders need."""

    def __init__(self, fleet, name, zone):
        self.process = ProcessClock(fleet.world)
        members = [Member(n, z, 1) for z, names in ZONES.items() for n in names]
        own = Member(name, zone, 1)
        self.shares = Shares(
            clock=self.process,
            members=FixedMembership(own, tuple(m for m in members if m != own)),
            sender=fleet.links.join(name, self.process, self._receive),
            owners=FixedOwners(ZONES),
        )
        self.store = FaultyStore(fleet.world, self.process, fleet.shared)
        self.in_force = CurrentConfiguration()
        self.orders = ModelOrders(
            own=own,
            clock=self.process,
            store=self.store,
            in_force=self.in_force,
            engines=fleet.engines,
            shares=self.shares,
            random=random.Random(name),
            longest_pause=fleet.longest_pause,
        )
        self.orders.start()
        self._tick()

    def adopt(self, revision, configuration):
        self.in_force.adopt(revision, configuration)
        self.shares.configure(weight_store_limits(configuration), revision)

    def count(self, counter):
        return self.orders.counters()[counter]

    def _receive(self, source, message):
        self.shares.receive(source, message)

    def _tick(self):
        self.shares.tick()
        self.process.callLater(TICK_SECONDS, self._tick)


class Fleet:
    """Two zones of two instances; the first of each holds its lease."""

    def __init__(self, longest_pause=MAX_PROCESS_PAUSE):
        self.longest_pause = longest_pause
        self.world = SimulationClock()
        self.shared = MemoryKeyValueStore(self.world)
        self.links = SimulatedNetwork(self.world)
        self.engines = TimedEngines(self.world)
        self.revision = 0
        self.instances = {
            name: Instance(self, name, zone)
            for zone, names in ZONES.items()
            for name in names
        }

    def adopt(self, configuration, only=None):
        self.revision += 1
        for name, instance in self.instances.items():
            if only is None or name in only:
                instance.adopt(self.revision, configuration)
                self.world.run(0.05)

    def fill_weight_store(self):
        """Wait until the weight store's burst is available in full."""
        self.adopt(deployment())
        self.world.run(2 * WEIGHT_STORE.burst / WEIGHT_STORE.rate)

    def drain_weight_store(self):
        """Spend all available tokens of the weight store, from the other zone."""
        shares = self.instances["b1"].shares
        results = []
        while not results or isinstance(results[-1], Grant):
            acquiring = shares.acquire(WEIGHT_STORE_ACCOUNT, 100, TIMEOUT)
            acquiring.addCallback(results.append)
            self.world.run(0.2)
            if isinstance(results[-1], Grant):
                assert shares.confirm(results[-1])


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.fill_weight_store()
    return fleet


def test_only_the_lease_holder_orders_engines_and_only_in_its_own_zone(fleet):
    leaving = engine("left", state="leaving")
    plain = replace(engine("api"), role="plain")
    fleet.adopt(deployment(engine("d1"), engine("d2", "zb"), leaving, plain))
    fleet.world.run(30)
    assert sorted(fleet.engines.accepted) == [("d1", "v1"), ("d2", "v1")]
    sent = {n: i.count(OrderCounter.SENT) for n, i in fleet.instances.items()}
    assert sent == {"a1": 1, "a2": 0, "b1": 1, "b2": 0}
    a1 = fleet.instances["a1"]
    assert a1.count(ModelOrderCounter.ENGINES_WANTED) == 1
    assert a1.count(ModelOrderCounter.ENGINES_AT_VERSION) == 1


def test_several_models_in_one_pool_are_counted_and_not_ordered(fleet):
    other = Model("other", "llm")
    fleet.adopt(deployment(engine("d1"), models=(other,)))
    fleet.world.run(30)
    assert fleet.engines.accepted == []
    counter = ModelOrderCounter.POOLS_WITH_SEVERAL_MODELS
    assert fleet.instances["a1"].count(counter) == 1


@pytest.mark.parametrize("checks", [True, False])
def test_frozen_holder_with_a_queued_order_sends_nothing_after_resuming(fleet, checks):
    server = replace(engine("d1"), checks_fencing=checks)
    fleet.adopt(deployment(server))
    fleet.world.run(ORDER_DELAY_SECONDS + 1)
    fleet.adopt(deployment(server, version="v2"), only={"a1", "a2"})
    fleet.world.run(ORDER_DELAY_SECONDS + 30)
    fleet.drain_weight_store()
    fleet.adopt(deployment(server, version="v3"), only={"a1"})
    holder = fleet.instances["a1"]
    assert holder.count(ModelOrderCounter.LOADS_REFUSED) == 1
    holder.process.frozen = True
    frozen_at = fleet.world.seconds()
    fleet.adopt(deployment(server, version="v4"), only={"a2"})
    fleet.world.run(3 * ORDER_DELAY_SECONDS)
    holder.process.unfreeze()
    fleet.world.run(30)
    values = [value for _server, value in fleet.engines.accepted]
    assert values == ["v1", "v2", "v4"]
    if not checks:
        assert fleet.engines.times[-1] >= frozen_at + ORDER_DELAY_SECONDS


def test_lease_lost_and_acquired_again_during_a_wait_restarts_the_wait():
    pause = timedelta(minutes=5)
    fleet = Fleet(longest_pause=pause)
    fleet.fill_weight_store()
    server = replace(engine("d1"), checks_fencing=False)
    fleet.adopt(deployment(server))
    fleet.world.run(pause.total_seconds() + 10)
    fleet.drain_weight_store()
    slow = WeightStore(WEIGHT_STORE.rate // 10, WEIGHT_STORE.burst)
    fleet.adopt(deployment(server, version="v2", store=slow))
    holder = fleet.instances["a1"]
    holder.store.fault = StoreFault.DOWN
    fleet.world.run(8)
    assert fleet.instances["a2"].orders.orders.lease.valid()
    last_valid = fleet.world.seconds()
    fleet.instances["a2"].orders.stop()
    holder.store.fault = StoreFault.NONE
    fleet.world.run(3 * pause.total_seconds())
    assert fleet.engines.accepted == [("d1", "v1"), ("d1", "v2")]
    assert fleet.engines.times[-1] >= last_valid + pause.total_seconds()


def test_waiting_load_requests_tokens_at_most_once_a_second(fleet):
    fleet.drain_weight_store()
    fleet.adopt(deployment(engine("d1"), load=WEIGHT_STORE.burst))
    start = fleet.world.seconds()
    fleet.world.run(3 * WEIGHT_STORE.burst / WEIGHT_STORE.rate)
    assert fleet.engines.accepted == [("d1", "v1")]
    refused = fleet.instances["a1"].count(ModelOrderCounter.LOADS_REFUSED)
    assert refused <= fleet.engines.times[0] - start


def test_late_order_of_a_former_holder_is_rejected_by_an_engine_that_checks(fleet):
    fleet.adopt(deployment(engine("d1")))
    fleet.world.run(1)
    _name, late = fleet.engines.orders[-1]
    fleet.instances["a1"].process.alive = False
    fleet.adopt(deployment(engine("d1"), version="v2"), only={"a2"})
    fleet.world.run(60)
    refused = []
    fleet.engines.send_order(engine("d1"), late).addErrback(refused.append)
    assert refused
    assert fleet.engines.states["d1", OrderKind.VERSION] == EngineState("v2")


@pytest.mark.parametrize("seed", range(3))
def test_two_zones_together_never_exceed_the_weight_stores_rate(fleet, seed):
    randomness = random.Random(seed)
    engines = [engine(f"{zone}{i}", zone) for zone in ZONES for i in range(4)]
    start = fleet.world.seconds()
    for version in range(4):
        fleet.adopt(deployment(*engines, version=f"v{version}"))
        fleet.world.run(randomness.uniform(5, 60))
    fleet.world.run(120)
    events = [Event(at, LOAD_TOKENS) for at in fleet.engines.times]
    assert excess_tokens(events, Limit(WEIGHT_STORE.rate, WEIGHT_STORE.burst)) == 0
    # The rate must be used as well, and every engine must end at the last version.
    assert (
        len(events) * LOAD_TOKENS
        >= (fleet.world.seconds() - start) * WEIGHT_STORE.rate / 3
    )
    states = {state.value for state in fleet.engines.states.values()}
    assert states == {"v3"}


def test_configuration_change_while_a_load_waits_withdraws_that_load(fleet):
    engines = [engine(f"d{i}") for i in range(4)]
    fleet.adopt(deployment(*engines))
    fleet.world.run(2)
    assert len(fleet.engines.accepted) == 2
    fleet.adopt(deployment(*engines, version="v2"))
    fleet.world.run(60)
    holder = fleet.instances["a1"]
    assert holder.count(ModelOrderCounter.LOADS_WITHDRAWN) > 0
    assert [value for _s, value in fleet.engines.accepted] == ["v1"] * 2 + ["v2"] * 4
    assert holder.count(ModelOrderCounter.LOADS_GRANTED) == 6


def test_small_load_does_not_wait_for_a_withdrawn_large_one(fleet):
    fleet.drain_weight_store()
    fleet.adopt(deployment(engine("d1"), load=WEIGHT_STORE.burst))
    fleet.world.run(1)
    fleet.adopt(deployment(engine("d1"), version="v2", load=WEIGHT_STORE.rate))
    fleet.world.run(4)
    assert fleet.engines.accepted == [("d1", "v2")]


def test_engine_that_is_loading_is_not_ordered_again(fleet):
    state = EngineState("v0", loading="v1")
    fleet.engines.states["d1", OrderKind.VERSION] = state
    fleet.adopt(deployment(engine("d1")))
    fleet.world.run(60)
    holder = fleet.instances["a1"]
    assert fleet.engines.accepted == []
    assert holder.count(ModelOrderCounter.ENGINES_AT_VERSION) == 0
    fleet.engines.states["d1", OrderKind.VERSION] = EngineState("v0")
    fleet.world.run(30)
    assert fleet.engines.accepted == [("d1", "v1")]


def test_engine_that_fails_an_order_or_loses_its_version_is_ordered_again(fleet):
    lost = BackendLostError("lost", step="order", peer="d1")
    fleet.engines.errors_by_step["order", "d1"] = lost
    fleet.adopt(deployment(engine("d1"), engine("d2")))
    fleet.world.run(30)
    assert sorted(fleet.engines.accepted) == [("d1", "v1"), ("d2", "v1")]
    assert fleet.instances["a1"].count(OrderCounter.ENGINE_FAILED) == 1
    del fleet.engines.states["d1", OrderKind.VERSION]
    fleet.world.run(30)
    assert fleet.engines.accepted[2:] == [("d1", "v1")]


def test_platform_outage_stops_orders_until_it_ends(fleet):
    fleet.adopt(deployment(engine("d1")))
    fleet.world.run(2)
    for instance in fleet.instances.values():
        instance.store.fault = StoreFault.DOWN
    fleet.world.run(10)
    fleet.adopt(deployment(engine("d1"), version="v2"))
    fleet.world.run(60)
    assert fleet.engines.accepted == [("d1", "v1")]
    assert fleet.instances["a1"].count(LeaseCounter.LOST) == 1
    for instance in fleet.instances.values():
        instance.store.fault = StoreFault.NONE
    fleet.world.run(30)
    assert fleet.engines.accepted == [("d1", "v1"), ("d1", "v2")]


def test_no_client_account_can_have_the_weight_stores_name(tmp_path):
    assert not is_name(WEIGHT_STORE_ACCOUNT)
    text = (
        'availability_zones = ["za"]\n[weight_store]\nrate = 5\nburst = 10\n'
        f'[accounts."{WEIGHT_STORE_ACCOUNT}"]\nrate = 1\nburst = 1\n'
        '[models.m]\npool = "llm"\nversion = "v 1"\nload_tokens = 11\n'
    )
    (tmp_path / "a.toml").write_text(text)
    with pytest.raises(BadFolderError) as caught:
        read_folder(tmp_path)
    keys = {problem.key for problem in caught.value.problems}
    assert {"models.m.version", "models.m.load_tokens"} < keys
    assert f"accounts.{WEIGHT_STORE_ACCOUNT}" in keys


def test_stopped_instance_releases_the_lease_of_its_zone(fleet):
    fleet.adopt(deployment(engine("d1")))
    fleet.world.run(2)
    stopped = fleet.instances["a1"]
    lapsed = stopped.count(OrderCounter.LEASE_LAPSED)
    stopped.orders.stop()
    fleet.adopt(deployment(engine("d1"), version="v2"))
    fleet.world.run(20)
    assert fleet.engines.accepted == [("d1", "v1"), ("d1", "v2")]
    assert fleet.instances["a2"].count(OrderCounter.SENT) == 1
    assert stopped.count(OrderCounter.LEASE_LAPSED) == lapsed


class StubHttp:
    """Carries exchanges to an engine stand-in without sockets."""

    def __init__(self, stub):
        self._stub = stub

    def send(self, exchange):
        return self._stub.request(
            exchange.method, exchange.url, data=exchange.body, unbuffered=True
        )


@pytest.mark.filterwarnings("ignore:Using readBody with a transport")
def test_orders_are_sent_over_the_engine_protocol():
    order = Order("d1", DesiredState(OrderKind.VERSION, "v1"), 7)
    stale = replace(order, fencing_token=6)
    for checks in (True, False):
        clock = Clock()
        stub = StubTreq(EngineStandIn(clock, checks_fencing=checks).app.resource())
        engines = HttpEngines(StubHttp(stub), clock)
        results = []
        server = replace(engine("d1"), address="127.0.0.1:1")
        for call in (
            engines.send_order(server, order),
            engines.send_order(server, stale),
            engines.read_state(server, OrderKind.VERSION),
            engines.read_state(server, OrderKind.ROLE),
        ):
            call.addBoth(results.append)
            stub.flush()
        assert bool(results[1] and results[1].check(OrderRefusedError)) is checks
        assert results[2:] == [EngineState("v1"), EngineState("")]
