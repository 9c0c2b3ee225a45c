"""Bursts in a large fleet, in which instances place calls unknown to each other."""

from dataclasses import replace
from random import Random

import pytest
from tests.forwarding_fakes import Harness, engine_queue, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.deployment import EnginePool
from pomeloglade.forwarding.engine_waiters import EngineRequirements
from pomeloglade.forwarding.loads import Loads, ServerCalls
from pomeloglade.forwarding.placement_spread import PlacementSpread
from pomeloglade.forwarding.remote_queues import RemoteQueues
from pomeloglade.forwarding.report_intervals import propagation_seconds
from pomeloglade.forwarding.server_health import ServerHealth

ENGINES = 45
CAPACITY = 45_000
CALLS_A_SECOND = 64


class Fleet:
    """Instances that place calls at the same engines and report to each other late."""

    def __init__(self, instances):
        self.clock = Clock()
        self.size = instances
        self.delay = propagation_seconds(instances)
        self.engines = [
            server("e" * number, "llm", "decode", 64)
            for number in range(1, 1 + ENGINES)
        ]
        self.loads = [Loads(self.clock) for _ in range(instances)]
        self.spreads = [
            PlacementSpread(self.clock, Random(number), min_choice, lambda: instances)
            for number in range(instances)
        ]
        self.peak_by_engine = {}
        self.random = Random(1)

    def place(self):
        """Place a call at the engine that seems to be the emptiest."""
        number = self.random.randrange(self.size)
        loads = self.loads[number]
        chosen = self.spreads[number].choose(
            self.engines, lambda each: (loads.total(each.id).calls, each.id)
        )
        loads.begin(chosen.id, 5_000)
        peak = sum(
            each.own().get(chosen.id, ServerCalls()).calls for each in self.loads
        )
        self.peak_by_engine[chosen.id] = max(
            peak, self.peak_by_engine.get(chosen.id, 0)
        )
        self.clock.callLater(self.delay, self._tell, number, dict(loads.own()))

    def _tell(self, number, calls):
        for other, loads in enumerate(self.loads):
            if other != number:
                loads.apply_report(f"entry-{number}", calls)


def min_choice(servers, cost):
    return min(servers, key=cost)


# Guards against filling the emptiest engine from all instances at once: 1.9 million
# tokens of prompts read for calls that the engine then rejected.
@pytest.mark.parametrize("instances", [22, 90])
def test_burst_does_not_fill_one_engine_from_all_instances(instances):
    fleet = Fleet(instances)
    for _ in range(3 * CALLS_A_SECOND):
        fleet.place()
        fleet.clock.advance(1.0 / CALLS_A_SECOND)
    mean = 3 * CALLS_A_SECOND / ENGINES
    assert max(fleet.peak_by_engine.values()) <= 2 * mean


@pytest.mark.parametrize("instances", [1, 6, 16])
def test_few_instances_choose_the_emptiest_engine(instances):
    fleet = Fleet(instances)
    for _ in range(ENGINES):
        fleet.place()
        fleet.clock.advance(1.0 / CALLS_A_SECOND)
    assert set(fleet.peak_by_engine.values()) == {1}


@pytest.fixture
def queue():
    """Return a queue with two engines, and the calls that it knows of."""
    clock = Clock()
    loads, backends = Loads(clock), Backends(clock, lambda _: None)
    engines = [server(name, "llm", "decode", 64) for name in ("a", "bb")]
    backends.replace_all(engines, lenient=False)
    queue = engine_queue(
        clock, backends, loads, ServerHealth(clock), RemoteQueues(clock)
    )
    queue.pool = EnginePool(64, CAPACITY)
    return queue, loads, engines


# Guards against sending a prompt to an engine that others have filled meanwhile.
def test_call_moves_from_an_engine_that_others_filled_if_another_has_room(queue):
    queue, loads, (first, _) = queue
    requirements = EngineRequirements(9_000, cached=True)
    loads.begin(first.id, 9_000)
    loads.apply_report("other", {first.id: ServerCalls(4, 36_000)})
    assert not queue.should_move(first, requirements)
    loads.apply_report("other", {first.id: ServerCalls(5, 45_000)})
    assert queue.should_move(first, requirements)
    failed = replace(requirements, excluded=frozenset({"bb"}))
    assert not queue.should_move(first, failed)
    full = ServerCalls(5, 45_000)
    loads.apply_report("other", {first.id: full, "bb": full})
    assert not queue.should_move(first, requirements)


# Guards against reading a prompt for an engine that will reject it.
def test_prefilled_call_is_sent_to_another_engine_if_its_own_was_filled_meanwhile():
    decodes = [server(name, "llm", "decode", 4) for name in ("dec-a", "dec-bb")]
    harness = Harness(server("pre", "llm", "prefill"), *decodes)
    harness.model_call("/digests/1")
    (prefill,) = harness.network.requests
    assert harness.loads.own().keys() >= {"dec-a"}
    harness.loads.apply_report("other", {"dec-a": ServerCalls(3, 50_000)})
    prefill.answer_prefill()
    run = harness.network.requests[-1]
    assert run.header("X-Pomeloglade-Expect-Instance") == b"dec-bb"
    assert run.header("X-Pomeloglade-Kv-Source").endswith(b"/h1")
    assert sum(each.prefill for each in harness.network.requests) == 1
    assert "dec-a" not in harness.loads.own()
