"""Tests of recovery: engine memory of dead instances and unknown requests."""

import random

import pytest
from twisted.internet.defer import fail, succeed

from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.recovery import HeldRequest, Recovery
from pomeloglade_coordination.request_ids import RequestId, RequestIds

SWEEP_BOUND_SECONDS = 2.5
SERVERS = {
    f"{role}-{number}": "zone" for role in ("prefill", "decode") for number in (1, 2)
}


class Engines:
    """Engines that hold requests and can be unreachable."""

    def __init__(self):
        self.held = set()
        self.unreachable = set()

    def hold(self, server, request_id):
        """Hold memory for a request."""
        self.held.add((server, str(request_id)))

    def list_held(self, server):
        """Return the requests that a server holds memory for."""
        if server in self.unreachable:
            return fail(CoordinationError("no route"))
        ids = [RequestId.parse(text) for s, text in sorted(self.held) if s == server]
        return succeed(
            tuple(HeldRequest(str(i), i.instance, i.incarnation) for i in ids)
        )

    def cancel(self, server, request_id):
        """Release a request's memory."""
        if server in self.unreachable:
            return fail(CoordinationError("no route"))
        self.held.discard((server, request_id))
        return succeed(None)


@pytest.fixture
def engines():
    return Engines()


@pytest.fixture
def fleet(clock, engines):
    """Return four instances of a zone by name."""
    members = [Member(f"i{number}", "zone", 2) for number in range(4)]
    fleet = {}

    class Sender:
        def send(self, instance, message):
            if instance in fleet:
                fleet[instance].receive("peer", message)

    for own in members:
        recovery = Recovery(
            clock=clock,
            members=FixedMembership(own, tuple(m for m in members if m != own)),
            engines=engines,
            random=random.Random(own.instance),
            availability_zones_by_server=lambda: SERVERS,
            is_in_progress=lambda request_id: request_id.endswith(".2.1"),
            sender=Sender(),
        )
        recovery.start()
        fleet[own.instance] = recovery
    return fleet


def kill(fleet, instance, *, fenced=True):
    dead = fleet.pop(instance)
    dead.stop()
    for recovery in fleet.values():
        others = [m for m in recovery._members.live() if m.instance != instance]
        recovery._members.set_members(
            tuple(m for m in others if m != recovery._members.own)
        )
        if fenced:
            recovery.member_fenced(Member(instance, "zone", 2))


def test_memory_held_for_a_dead_instance_is_released_in_every_phase(
    fleet, engines, clock
):
    engines.hold("prefill-1", "i0.2.1")
    engines.hold("prefill-2", "i0.2.2")
    engines.hold("decode-1", "i0.2.2")
    engines.hold("decode-2", "i0.2.3")
    engines.hold("decode-2", "i1.2.1")
    kill(fleet, "i0")
    clock.pump([0.1] * 5)
    assert engines.held == {("decode-2", "i1.2.1")}


def test_sweeps_are_taken_over_when_the_sweeping_instances_die(fleet, engines, clock):
    for server in SERVERS:
        engines.hold(server, "i0.2.2")
    engines.unreachable = set(SERVERS)
    kill(fleet, "i0")
    clock.pump([0.1] * 5)
    kill(fleet, "i1")
    kill(fleet, "i2")
    engines.unreachable = set()
    clock.pump([0.1] * int(SWEEP_BOUND_SECONDS * 10))
    assert engines.held == set()


def test_request_that_arrives_after_its_instance_is_fenced_is_released(
    fleet, engines, clock
):
    kill(fleet, "i0")
    clock.pump([0.1] * 30)
    engines.hold("prefill-1", "i0.2.9")
    clock.pump([0.1] * int(SWEEP_BOUND_SECONDS * 10))
    assert engines.held == set()


def test_unreachable_engine_is_swept_once_it_is_back(fleet, engines, clock):
    engines.hold("decode-1", "i0.2.2")
    engines.unreachable = {"decode-1"}
    kill(fleet, "i0")
    clock.pump([0.5] * 120)
    engines.unreachable = set()
    clock.pump([0.1] * int(SWEEP_BOUND_SECONDS * 10))
    assert engines.held == set()


def test_request_of_an_earlier_run_of_its_instance_is_released(fleet, engines, clock):
    engines.hold("decode-1", "i0.1.7")
    clock.pump([0.1] * int(SWEEP_BOUND_SECONDS * 10))
    assert engines.held == set()


def test_ended_request_that_an_engine_still_holds_is_released(fleet, engines, clock):
    engines.hold("decode-1", "i3.2.1")
    engines.hold("decode-1", "i3.2.8")
    clock.pump([0.1] * 49)
    assert engines.held == {("decode-1", "i3.2.1")}


def test_release_is_repeated_until_the_engine_confirms(fleet, engines, clock):
    engines.hold("decode-1", "i3.2.1")
    engines.unreachable = {"decode-1"}
    fleet["i3"].release("decode-1", "i3.2.1")
    clock.pump([0.5] * 20)
    engines.unreachable = set()
    clock.pump([0.1] * 11)
    assert engines.held == set()


def test_memory_of_an_absent_instance_is_released_after_the_absence_timeout(
    fleet, engines, clock
):
    engines.hold("decode-1", "i0.2.2")
    kill(fleet, "i0", fenced=False)
    clock.pump([0.5] * 40)
    assert engines.held == {("decode-1", "i0.2.2")}
    clock.pump([0.5] * 40)
    assert engines.held == set()


def test_request_ids_contain_the_issuing_instance_and_incarnation():
    ids = RequestIds(Member("entry.a-1", "zone", 3))
    text = str(ids.issue())
    assert RequestId.parse(text) == RequestId("entry.a-1", 3, 1)
    assert str(ids.issue()) != text
    assert [RequestId.parse(each) for each in ("", "a", "a.b.c", ".1.2")] == [None] * 4
