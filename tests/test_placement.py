"""Tests of the assignment of requests to replicas."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.task import Clock

from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.placement import Assignment, Job, Placement, Replica
from pomeloglade_coordination.placement_messages import PlacementGrant
from pomeloglade_coordination.placement_owner import SLOT_LEASE_SECONDS
from pomeloglade_coordination.refusals import Reason, Refusal
from pomeloglade_coordination.suspects import Suspects

POOL = "assessor-llm"
REPLICAS = (
    Replica("p1", POOL, "prefill", "zone-a", 4),
    Replica("d1", POOL, "decode", "zone-a", 2),
    Replica("d2", POOL, "decode", "zone-b", 2),
)


class Fleet:
    """Three instances whose messages take a millisecond and arrive in order.

    Instances in ``down`` send and receive nothing; those in ``mute`` send nothing.
    """

    def __init__(self, clock, replicas=REPLICAS):
        self.clock = clock
        self.down = set()
        self.mute = set()
        self.answers_by_id = {}
        self.members = [
            Member("i1", "zone-a", 1),
            Member("i2", "zone-a", 1),
            Member("i3", "zone-b", 1),
        ]
        self.views = {}
        self.placements = {}
        self.suspects = {}
        for member in self.members:
            self._add(member)
        for placement in self.placements.values():
            placement.configure(replicas)
        self.advance(0.01)

    def _add(self, member):
        name = member.instance
        view = self.views[name] = FixedMembership(member, tuple(self.members))
        sender = _Sender(self, name)
        suspects = self.suspects[name] = Suspects(
            clock=self.clock, members=view, sender=sender
        )
        self.placements[name] = Placement(
            clock=self.clock,
            members=view,
            sender=sender,
            random=Random(1),
            suspects=suspects,
        )

    def deliver(self, source, target, message):
        """Deliver a message to placement and suspects, if both instances are up."""
        if source not in self.down and target not in self.down:
            self.placements[target].receive(source, message)
            self.suspects[target].receive(source, message)

    def owner(self):
        """Return the placement owner of the replicas."""
        up = next(name for name in self.placements if name not in self.down)
        return self.placements[up]._owner_of(POOL)

    def others(self):
        """Return the other instances that are up."""
        up = [name for name in self.placements if name not in self.down]
        return [name for name in up if name != self.owner()]

    def stop(self, instance):
        """Stop an instance and remove it from the others' views."""
        self.down.add(instance)
        for name, view in self.views.items():
            if name not in self.down:
                view.set_members(
                    tuple(m for m in self.members if m.instance not in self.down)
                )

    def assign(self, instance, request_id, **changes):
        """Request an assignment and record every answer."""
        answers = self.answers_by_id[request_id] = []
        now = self.clock.seconds()
        job = Job(request_id, "club", 1, POOL, "model", 1000, 100, now + 1.1)
        job = replace(job, **changes)
        self.placements[instance].assign(job).addCallback(answers.append)
        return answers

    def assigned(self):
        """Return the requests that were assigned replicas."""
        return [
            request_id
            for request_id, answers in self.answers_by_id.items()
            if answers and isinstance(answers[0], Assignment)
        ]

    def advance(self, seconds, step=0.005):
        """Advance the clock, with ticks at the instances that are up."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            for name, placement in self.placements.items():
                if name not in self.down:
                    placement.tick()
                    self.suspects[name].tick()


class _Sender:
    def __init__(self, fleet, instance):
        self.fleet = fleet
        self.instance = instance

    def send(self, instance, message):
        fleet = self.fleet
        if self.instance not in fleet.mute:
            fleet.clock.callLater(
                0.001, fleet.deliver, self.instance, instance, message
            )


@pytest.fixture
def fleet(clock):
    return Fleet(clock)


def _fill(fleet, instances):
    for number, instance in enumerate(instances):
        fleet.assign(instance, f"held-{number}")
        fleet.advance(0.01)
        fleet.placements[instance].prefilled(f"held-{number}")
    fleet.advance(0.01)
    assert len(fleet.assigned()) == len(instances)


def test_request_that_will_miss_its_target_is_refused_before_it(clock, fleet):
    _fill(fleet, ["i1", "i2", "i3", "i1"])
    asked_at = clock.seconds()
    answers = fleet.assign("i2", "late")
    while not answers:
        fleet.advance(0.005)
    assert answers[0].reason is Reason.FIRST_TOKEN_TARGET_MISSED
    assert answers[0].not_run
    assert answers[0].retry_after.total_seconds() > 0
    assert clock.seconds() - asked_at < 1.1


def test_new_owner_counts_holdings_of_all_instances_before_granting(fleet):
    killed = fleet.owner()
    first, second = fleet.others()
    _fill(fleet, [first, second, first, second])
    queued = fleet.assign(first, "queued", patient=True, give_up_at=60.0)
    fleet.advance(0.01)
    fleet.stop(killed)
    fleet.advance(SLOT_LEASE_SECONDS + 0.5)
    assert queued == []
    fleet.placements[second].release("held-1")
    fleet.advance(0.02)
    assert [type(answer) for answer in queued] == [Assignment]


def test_slots_of_a_dead_owner_stay_reserved_for_their_lease(fleet):
    killed = fleet.owner()
    other = fleet.others()[0]
    _fill(fleet, [killed] * 4)
    fleet.stop(killed)
    queued = fleet.assign(other, "queued", patient=True, give_up_at=60.0)
    fleet.advance(SLOT_LEASE_SECONDS - 0.5)
    assert queued == []
    fleet.advance(1.0)
    assert len(queued) == 1


def test_slots_of_a_dead_instance_stay_reserved_for_their_lease(fleet):
    killed, other = fleet.others()
    _fill(fleet, [killed] * 4)
    fleet.stop(killed)
    queued = fleet.assign(other, "queued", patient=True, give_up_at=60.0)
    fleet.advance(SLOT_LEASE_SECONDS - 0.5)
    assert queued == []
    fleet.advance(1.0)
    assert len(queued) == 1


def test_slots_of_a_restarted_instance_stay_reserved_for_their_lease(fleet):
    restarted, other = fleet.others()
    _fill(fleet, [restarted] * 4)
    fleet.placements[restarted]._holdings_by_id.clear()
    members = [
        replace(member, incarnation=2) if member.instance == restarted else member
        for member in fleet.members
    ]
    for view in fleet.views.values():
        view.set_members(tuple(members))
    fleet.placements[restarted]._last_loss_at = None
    queued = fleet.assign(other, "queued", patient=True, give_up_at=60.0)
    fleet.advance(SLOT_LEASE_SECONDS - 0.5)
    assert queued == []
    fleet.advance(1.0)
    assert len(queued) == 1


def test_joining_owner_grants_nothing_before_all_instances_report_holdings(clock):
    joining = Fleet(clock).owner()
    fleet = Fleet(clock)
    present = [m for m in fleet.members if m.instance != joining]
    for member in present:
        fleet.views[member.instance].set_members(tuple(present))
    fleet.advance(SLOT_LEASE_SECONDS + 0.1)
    _fill(fleet, [member.instance for member in present] * 2)
    fleet.views[joining].set_members(())
    for view in fleet.views.values():
        view.set_members(tuple(fleet.members))
    queued = fleet.assign(joining, "queued", patient=True, give_up_at=60.0)
    fleet.advance(0.1)
    assert fleet.owner() == joining
    assert queued == []


def test_holdings_query_is_repeated_when_its_answer_was_lost(fleet):
    owner = fleet.owner()
    instance = fleet.others()[0]
    fleet.mute.add(instance)
    fleet.placements[owner]._owners_by_group[POOL].instance_joined(instance)
    fleet.advance(0.1)
    fleet.mute.clear()
    answers = fleet.assign(instance, "r1")
    fleet.advance(0.7)
    assert [type(answer) for answer in answers] == [Assignment]


def test_load_report_unblocks_slots_of_a_new_owner_before_the_lease_ends(clock, fleet):
    fleet.stop(fleet.owner())
    fleet.advance(0.1)
    queued = fleet.assign(fleet.owner(), "queued", patient=True, give_up_at=60.0)
    fleet.advance(0.1)
    assert queued == []
    for placement in fleet.placements.values():
        for replica in REPLICAS:
            placement.observe_load(replica.name, 0, 0, clock.seconds())
    fleet.advance(0.01)
    assert len(queued) == 1


def test_grant_of_a_resumed_former_owner_is_not_used(clock, fleet):
    frozen = fleet.owner()
    other = fleet.others()[0]
    answers = fleet.assign(other, "r1", patient=True, give_up_at=60.0)
    number = max(fleet.placements[other]._pending_by_id["r1"].asked_at_by_number)
    fleet.stop(frozen)
    fleet.advance(0.1)
    fleet.down.discard(frozen)
    stale = PlacementGrant(POOL, number, "r1", "p1", "d1", "")
    fleet.deliver(frozen, other, stale)
    assert answers == []
    assert fleet.placements[other].counters()["grants_unused"] == 1


def test_resumed_owner_grants_nothing_before_all_instances_report_holdings(
    clock, fleet
):
    owner = fleet.owner()
    first, second = fleet.others()
    _fill(fleet, [first, second, first, second])
    fleet.down.add(owner)
    fleet.placements[first].release("held-0")
    fleet.advance(2.0)
    fleet.down.discard(owner)
    fleet.down.add(second)
    answers = fleet.assign(owner, "r1", patient=True, give_up_at=60.0)
    fleet.advance(0.3)
    assert answers == []
    fleet.down.discard(second)
    fleet.advance(SLOT_LEASE_SECONDS)
    assert len(answers) == 1
    assert fleet.placements[owner].counters()["pauses"] == 1


def test_queued_request_is_refused_once_all_decode_replicas_drain(fleet):
    _fill(fleet, ["i1", "i2", "i3", "i1"])
    queued = fleet.assign("i2", "queued", patient=True, give_up_at=60.0)
    leaving = [replace(r, accepting=r.role != "decode") for r in REPLICAS]
    fleet.advance(0.01)
    for placement in fleet.placements.values():
        placement.configure(leaving)
    fleet.placements["i1"].release("held-0")
    fleet.advance(0.02)
    assert [answer.reason for answer in queued] == [Reason.NO_BACKEND_SERVER]


def test_replica_gets_no_new_requests_for_a_while_after_an_engine_refusal(fleet):
    refused = fleet.assign("i1", "r1")
    fleet.advance(0.01)
    full = refused[0].decode
    fleet.placements["i1"].refused_by_engine("r1", full)
    fleet.advance(0.01)
    again = [fleet.assign("i1", f"again-{n}") for n in range(2)]
    third = fleet.assign("i1", "again-2")
    fleet.advance(0.1)
    assert full not in {answers[0].decode for answers in again}
    assert third == []
    fleet.advance(0.5)
    assert third[0].decode == full


def test_cancel_that_crosses_the_grant_frees_the_slot_once(fleet):
    instance = fleet.others()[0]
    answers = fleet.assign(instance, "r1")
    fleet.clock.advance(0.001)
    fleet.placements[instance].cancel("r1")
    fleet.placements[instance].cancel("r1")
    fleet.placements[instance].release("r1")
    fleet.advance(0.05)
    assert [answer.reason for answer in answers] == [Reason.CANCELLED]
    assert fleet.placements[instance].in_flight("d1") == 0
    _fill(fleet, ["i1", "i2", "i3", "i1"])


def test_grant_is_freed_when_its_cancel_was_lost(fleet):
    owner = fleet.owner()
    instance = fleet.others()[0]
    fleet.assign(instance, "r1")
    fleet.clock.advance(0.0015)
    fleet.mute.add(instance)
    fleet.placements[instance].cancel("r1")
    fleet.mute.clear()
    fleet.advance(0.05)
    held = fleet.placements[owner]._owners_by_group[POOL]._reservations_by_id
    assert list(held) == []


def test_repeated_grant_is_kept_when_holdings_were_sent_before_it(fleet):
    owner = fleet.owner()
    instance = fleet.others()[0]
    answers = fleet.assign(instance, "r1")
    fleet.clock.advance(0.0015)
    fleet.down.add(instance)
    fleet.clock.advance(0.1)
    fleet.down.discard(instance)
    group_owner = fleet.placements[owner]._owners_by_group[POOL]
    group_owner.instance_joined(instance)
    fleet.placements[instance]._repeat_requests(force=True)
    fleet.advance(0.05)
    assert [type(answer) for answer in answers] == [Assignment]
    assert list(group_owner._reservations_by_id) == ["r1"]


def test_lost_release_is_detected_by_the_holdings_count(fleet):
    owner = fleet.owner()
    instance = fleet.others()[0]
    _fill(fleet, [instance] * 4)
    fleet.down.add(owner)
    fleet.placements[instance].release("held-0")
    fleet.advance(0.5)
    fleet.down.discard(owner)
    fleet.advance(5.0)
    answers = fleet.assign(instance, "r1")
    fleet.advance(0.05)
    assert len(answers) == 1


def test_request_goes_to_the_replica_with_its_prefix_unless_too_busy(clock):
    second = Replica("p2", POOL, "prefill", "zone-a", 4)
    fleet = Fleet(clock, (*REPLICAS, second))
    prefills = []
    for number in range(3):
        answers = fleet.assign("i1", f"r{number}", prefix=(1, 2))
        fleet.advance(0.01)
        prefills.append(answers[0].prefill)
    assert prefills[0] == prefills[1]
    assert prefills[2] != prefills[0]


INSTANCES = st.sampled_from(["i1", "i2", "i3"])


class PlacementMachine(RuleBasedStateMachine):
    """Checks that the slots held at all instances never exceed the replicas' slots."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(Clock())
        self.instance_by_id = {}
        self.ended = set()
        self.lost_at_by_instance = {}

    def _live(self, request_id):
        return self.instance_by_id[request_id] not in self.fleet.down

    def _request_ids_with_slots(self):
        now = self.fleet.clock.seconds()
        for request_id in self.fleet.assigned():
            lost_at = self.lost_at_by_instance.get(self.instance_by_id[request_id])
            lapsed = lost_at is not None and now - lost_at >= SLOT_LEASE_SECONDS
            if request_id not in self.ended and not lapsed:
                yield request_id

    @rule(instance=INSTANCES, count=st.integers(1, 6), patient=st.booleans())
    def assign(self, instance, count, patient):
        """Request assignments at one instance."""
        if instance in self.fleet.down:
            return
        for _ in range(count):
            request_id = f"r{len(self.instance_by_id)}"
            self.instance_by_id[request_id] = instance
            give_up_at = self.fleet.clock.seconds() + 20.0
            self.fleet.assign(
                instance, request_id, patient=patient, give_up_at=give_up_at
            )

    @rule(data=st.data(), ending=st.sampled_from(["release", "cancel", "refuse"]))
    def end(self, data, ending):
        """Release, cancel or refuse one request."""
        live = [i for i in self.instance_by_id if self._live(i) and i not in self.ended]
        if not live:
            return
        request_id = data.draw(st.sampled_from(live))
        placement = self.fleet.placements[self.instance_by_id[request_id]]
        if ending == "cancel":
            placement.cancel(request_id)
        elif request_id in self.fleet.assigned() and ending == "refuse":
            answer = self.fleet.answers_by_id[request_id][0]
            placement.refused_by_engine(request_id, answer.decode)
        elif request_id in self.fleet.assigned():
            placement.prefilled(request_id)
            placement.release(request_id)
        else:
            return
        self.ended.add(request_id)

    @rule(seconds=st.sampled_from([0.005, 0.02, 0.6, 3.0]))
    def wait(self, seconds):
        """Advance the clock."""
        self.fleet.advance(seconds, step=min(seconds, 0.1))

    @precondition(lambda self: not self.fleet.down)
    @rule(instance=INSTANCES, seconds=st.sampled_from([0.1, 2.0, 4.0]))
    def freeze(self, instance, seconds):
        """Pause an instance for less than a lease and let it rejoin."""
        self.fleet.stop(instance)
        self.fleet.advance(seconds, step=0.1)
        self.fleet.down.discard(instance)
        for view in self.fleet.views.values():
            view.set_members(tuple(self.fleet.members))

    @precondition(lambda self: len(self.fleet.down) < 2)
    @rule(instance=INSTANCES)
    def kill(self, instance):
        """Stop an instance for good."""
        if instance not in self.fleet.down:
            self.lost_at_by_instance[instance] = self.fleet.clock.seconds()
            self.fleet.stop(instance)

    @invariant()
    def slots_are_never_exceeded(self):
        """No replica has more requests than slots."""
        for replica in REPLICAS:
            if replica.role == "decode":
                held = [
                    request_id
                    for request_id in self._request_ids_with_slots()
                    if self.fleet.answers_by_id[request_id][0].decode == replica.name
                ]
                assert len(held) <= replica.slots

    def teardown(self):
        """Check that every request of a live instance has exactly one answer."""
        self.fleet.advance(25.0, step=0.1)
        for request_id, answers in self.fleet.answers_by_id.items():
            assert len(answers) == 1 or (not self._live(request_id) and not answers)
            assert all(isinstance(each, Assignment | Refusal) for each in answers)


TestPlacementMachine = PlacementMachine.TestCase
TestPlacementMachine.settings = settings(
    max_examples=60, stateful_step_count=25, phases=[Phase.generate]
)
