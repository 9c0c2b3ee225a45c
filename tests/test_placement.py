"""Tests of placement."""

from random import Random

import pytest

from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.placement import Assignment, Job, Placement, Replica
from pomeloglade_coordination.refusals import Reason


class _Network:
    """Delivers messages between placements after a delay, in order."""

    def __init__(self, clock):
        self.clock = clock
        self.delay = 0.001
        self.placements_by_instance = {}
        self.down = set()

    def sender(self, instance):
        return _Sender(self, instance)

    def deliver(self, source, target, message):
        if source not in self.down and target not in self.down:
            self.placements_by_instance[target].receive(source, message)


class _Sender:
    def __init__(self, network, instance):
        self.network = network
        self.instance = instance

    def send(self, instance, message):
        network = self.network
        network.clock.callLater(
            network.delay, network.deliver, self.instance, instance, message
        )


def job(request_id, clock, **changes):
    values = {
        "account": "club",
        "weight": 1,
        "pool": "assessor-llm",
        "kind": "model",
        "prompt_tokens": 1000,
        "output_tokens": 100,
        "deadline": clock.seconds() + 1.1,
    }
    return Job(request_id, **{**values, **changes})


REPLICAS = (
    Replica("p1", "assessor-llm", "prefill", "zone-a", 2),
    Replica("d1", "assessor-llm", "decode", "zone-a", 2),
    Replica("d2", "assessor-llm", "decode", "zone-b", 2),
)


class _Fleet:
    def __init__(self, clock, replicas=REPLICAS):
        self.clock = clock
        self.network = _Network(clock)
        self.members = [
            Member("i1", "zone-a", 1),
            Member("i2", "zone-a", 1),
            Member("i3", "zone-b", 1),
        ]
        self.views_by_instance = {}
        for member in self.members:
            view = FixedMembership(member, tuple(self.members))
            self.views_by_instance[member.instance] = view
            self.network.placements_by_instance[member.instance] = Placement(
                clock=clock,
                members=view,
                sender=self.network.sender(member.instance),
                random=Random(1),
            )
        for each in self.placements():
            each.configure(replicas)
        self.advance(0.01)

    def placements(self):
        return list(self.network.placements_by_instance.values())

    def advance(self, seconds, step=0.005):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            for instance, each in self.network.placements_by_instance.items():
                if instance not in self.network.down:
                    each.tick()


@pytest.fixture
def fleet(clock):
    return _Fleet(clock)


def test_slots_are_shared_by_all_instances(clock, fleet):
    answers = []
    for number, placement in enumerate(fleet.placements() * 2):
        placement.assign(job(f"r{number}", clock)).addCallback(answers.append)
        fleet.advance(0.01)
        placement.prefilled(f"r{number}")
    fleet.advance(0.02)
    assert len(answers) == 4
    assert all(isinstance(answer, Assignment) for answer in answers)
    fleet.advance(1.2)
    assert [answer.reason for answer in answers[4:]] == [Reason.TARGET_MISSED] * 2
