"""Tests of orders to engines: changes of the lease holder, paused holders, faults."""

import random
from datetime import timedelta

import pytest
from twisted.internet.defer import Deferred, fail, succeed

from faulty_fleet import FaultyStore, ProcessClock, SimulationClock
from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.lease import LEASE_TIME_TO_LIVE
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.orders import (
    MAX_PROCESS_PAUSE,
    DesiredState,
    OrderKind,
    OrderRefusedError,
    OrderResult,
    Orders,
)

OLD = DesiredState(OrderKind.MODEL, "old", load_tokens=10)
NEW = DesiredState(OrderKind.MODEL, "new", load_tokens=10)
FIRST_ORDER_DELAY_SECONDS = (LEASE_TIME_TO_LIVE + MAX_PROCESS_PAUSE).total_seconds()


class Engines:
    """Engines of which only the one named ``checking`` checks fencing tokens."""

    def __init__(self, world):
        self.world = world
        self.state_by_server = {}
        self.applied = []
        self.highest = 0
        self.broken = False
        self.lose_answers = False

    def send(self, order):
        """Apply an order, or refuse it if its token is stale."""
        if self.broken:
            return fail(CoordinationError("engine does not answer"))
        if order.server == "checking":
            if order.fencing_token < self.highest:
                return fail(OrderRefusedError("stale"))
            self.highest = order.fencing_token
        self.state_by_server[order.server] = order.state.value
        self.applied.append((self.world.seconds(), order.server, order.state.value))
        if self.lose_answers:
            return fail(CoordinationError("answer lost"))
        return succeed(None)

    def read(self, server, _kind):
        """Return the value in force."""
        return succeed(self.state_by_server.get(server, ""))


@pytest.fixture
def world():
    return SimulationClock()


@pytest.fixture
def engines(world):
    return Engines(world)


@pytest.fixture
def start(world, engines):
    shared = MemoryKeyValueStore(world)

    def start_orders(name, acquire=lambda _tokens: succeed(None)):
        process = ProcessClock(world)
        orders = Orders(
            clock=process,
            store=FaultyStore(world, process, shared),
            own=Member(name, "zone", 1),
            availability_zone="zone",
            engines=engines,
            random=random.Random(name),
            acquire=acquire,
        )
        orders.process = process
        orders.start()
        world.run(1)
        return orders

    return start_orders


@pytest.mark.parametrize("server", ["checking", "ignoring"])
def test_order_queued_by_a_paused_holder_is_never_sent(start, world, engines, server):
    granted = Deferred()
    first = start("first", acquire=lambda _tokens: granted)
    second = start("second")
    checks = server == "checking"
    first.set_desired_state(server, OLD, checks_fencing=checks)
    world.run(FIRST_ORDER_DELAY_SECONDS + 1)
    first.process.frozen = True
    results = []
    second.set_desired_state(server, NEW, checks_fencing=checks)
    world.run(20)
    second.set_desired_state(server, NEW, checks_fencing=checks).addCallback(
        results.append
    )
    world.run(FIRST_ORDER_DELAY_SECONDS + 20)
    first.process.rightNow = world.seconds()
    granted.callback(None)
    first.process.unfreeze()
    world.run(20)
    assert results == [OrderResult.APPLIED]
    assert {value for _when, _server, value in engines.applied} == {"new"}


def test_fencing_token_grows_with_each_holder(start, world, engines):
    first = start("first")
    old_token = first.lease.fencing_token
    first.process.alive = False
    second = start("second")
    world.run(20)
    second.set_desired_state("checking", NEW, checks_fencing=True)
    world.run(1)
    assert second.lease.fencing_token > old_token
    assert engines.highest > old_token
    assert engines.state_by_server["checking"] == "new"


def test_engine_without_fencing_gets_no_order_until_earlier_leases_expired(
    start, world, engines
):
    first = start("first")
    first.set_desired_state("ignoring", OLD, checks_fencing=False)
    world.run(FIRST_ORDER_DELAY_SECONDS + 1)
    last_valid = world.seconds()
    first.process.alive = False
    second = start("second")
    second.set_desired_state("ignoring", NEW, checks_fencing=False)
    world.run(3 * FIRST_ORDER_DELAY_SECONDS)
    when = [when for when, _server, value in engines.applied if value == "new"]
    assert when
    assert min(when) >= last_valid + FIRST_ORDER_DELAY_SECONDS


def test_late_order_of_a_former_holder_is_corrected_after_read_back(
    start, world, engines
):
    holder = start("holder")
    holder.set_desired_state("ignoring", NEW, checks_fencing=False)
    world.run(FIRST_ORDER_DELAY_SECONDS + 1)
    engines.state_by_server["ignoring"] = "old"
    world.run(30)
    assert engines.state_by_server["ignoring"] == "new"


@pytest.mark.parametrize("fault", ["broken", "lose_answers"])
def test_failed_order_is_repeated_until_read_back(start, world, engines, fault):
    holder = start("holder")
    setattr(engines, fault, True)
    results = []
    holder.set_desired_state("checking", NEW, checks_fencing=True).addCallback(
        results.append
    )
    world.run(5)
    setattr(engines, fault, False)
    world.run(5)
    assert results == [OrderResult.APPLIED]
    assert engines.state_by_server["checking"] == "new"


def test_only_the_holder_sends_orders_and_an_applied_state_is_not_loaded_again(
    start, world, engines
):
    spent = []
    holder = start("holder", acquire=lambda tokens: succeed(spent.append(tokens)))
    other = start("other")
    results = []
    other.set_desired_state("checking", OLD, checks_fencing=True).addCallback(
        results.append
    )
    holder.set_desired_state("checking", NEW, checks_fencing=True)
    holder.set_desired_state("checking", NEW, checks_fencing=True)
    world.run(timedelta(minutes=5).total_seconds())
    assert results == [OrderResult.NOT_HOLDER]
    assert [value for _when, _server, value in engines.applied] == ["new"]
    assert spent == [10]


def test_holder_that_reacquires_the_lease_waits_for_earlier_leases_again(
    start, world, engines
):
    granted = Deferred()
    first = start("first", acquire=lambda _tokens: granted)
    first.set_desired_state("ignoring", OLD, checks_fencing=False)
    world.run(FIRST_ORDER_DELAY_SECONDS + 1)
    first.process.frozen = True
    second = start("second")
    world.run(20)
    assert second.lease.valid()
    second.process.alive = False
    first.process.unfreeze()
    world.run(20)
    assert first.lease.valid()
    granted.callback(None)
    world.run(5)
    assert engines.applied == []
    world.run(2 * FIRST_ORDER_DELAY_SECONDS)
    assert [value for _when, _server, value in engines.applied] == ["old"]
