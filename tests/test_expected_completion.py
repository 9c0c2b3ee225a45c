"""Placement by expected completion: pure decisions, then calls on scripted servers."""

from collections import Counter
from random import Random

import pytest
from tests.forwarding_fakes import Harness, server

from pomeloglade.forwarding.engine_waiters import EngineRequirements
from pomeloglade.forwarding.expected_completion import (
    expected_completion,
    spread_completion,
)
from pomeloglade.forwarding.server_pace import DIFFERENCE_SECONDS

WORK = 0.06
SERVERS = [server(name, slots=6) for name in ("a", "bb", "ccc")]
ENGINES = [server(name, "llm", "decode", slots=4) for name in ("a", "bb", "ccc")]


def completion(calls, pace, **options):
    return expected_completion(work=WORK, calls=calls, slots=6, pace=pace, **options)


@pytest.fixture
def harness():
    harness = Harness(*SERVERS)
    harness.advance(0.1)
    return harness


def addresses(harness):
    """Return the number of requests that each server got, by its id."""
    by_address = {each.address: each.id for each in (*SERVERS, *ENGINES)}
    return Counter(by_address[each.address] for each in harness.network.requests)


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        (completion(5, 1.0), completion(0, 2.5)),  # a free slot is all that it needs
        (completion(0, 2.5), completion(17, 1.0)),  # but waiting may take longer
        (completion(1, 1.0), completion(4, 1.0)),
        (completion(6, 0.5), completion(6, 1.0)),
        (completion(3, 1.0), completion(3, 1.0, latency=0.001)),
    ],
)
def test_the_server_that_completes_a_call_earlier_is_preferred(earlier, later):
    assert earlier < later


def test_equal_completions_are_chosen_in_proportion_to_capacity():
    random, chosen = Random(1), Counter()
    slots_by_server = {"small": 2, "large": 6}
    for _ in range(4_000):
        costs = {
            name: spread_completion(
                0.1, work=WORK, slots=slots, pace=1.0, random=random
            )
            for name, slots in slots_by_server.items()
        }
        chosen[min(costs, key=costs.get)] += 1
    assert chosen["large"] / chosen.total() == pytest.approx(0.75, abs=0.03)


def test_calls_avoid_a_slow_third_of_the_servers_until_the_others_are_full(harness):
    for each, percent in zip(SERVERS, (250, 100, 100), strict=True):
        harness.pace.record_reported(each, percent)
    for _ in range(10):
        harness.call("/bookings/1")
    assert addresses(harness)["a"] <= 1
    harness.network.requests[0].answer()
    assert harness.log.events[-1][1]["steps"][0].endswith("pace 1.00")
    assert harness.health.penalty("a") == 1.0  # it is slow and not broken
    # Beyond the free slots, calls at the slow one end before those that wait.
    for _ in range(20):
        harness.call("/bookings/1")
    assert 1 <= addresses(harness)["a"] <= 10


def test_calls_are_placed_as_before_without_any_pace(harness):
    chosen = []
    for _ in range(9):
        harness.call("/bookings/1")
        chosen.append(harness.network.requests[-1].address)
    # The least loaded server each time: no two get calls that differ by two.
    for count in range(1, 10):
        counts = Counter(chosen[:count])
        assert max(counts.values()) - min(counts[s.address] for s in SERVERS) <= 1
        assert harness.pace.describe(SERVERS[0]) == ""


def test_lasting_slow_and_fast_servers_are_used_by_their_speed(harness):
    seconds_by_address = dict(
        zip([each.address for each in SERVERS], (0.03, 0.06, 0.12), strict=True)
    )

    def respond(request):
        seconds = seconds_by_address[request.address]
        harness.clock.callLater(seconds, request.answer)

    harness.network.on_request = respond
    for _ in range(400):
        harness.call("/bookings/1")
        harness.advance(0.01)
    harness.advance(DIFFERENCE_SECONDS)
    assert harness.pace.affects("api")
    harness.network.requests.clear()
    for _ in range(300):
        harness.call("/bookings/1")
        harness.advance(0.01)
    counts = addresses(harness)
    assert counts["a"] > counts["bb"] > counts["ccc"]
    assert counts["ccc"] < 30


def test_instances_with_the_same_figures_do_not_all_choose_the_same_server():
    # The pace changes every 100 ms. Each instance learns of it at once, and of the
    # others' calls only after that time, as over reports.
    random, most = Random(3), []
    harnesses = []
    for _ in range(20):
        instance = Harness(*SERVERS)
        instance.forwarder._plain_calls._random = Random(random.random())
        harnesses.append(instance)
    for _ in range(30):
        percents = random.choices((100, 104, 110, 250), (4, 4, 4, 2), k=3)
        counts = Counter()
        for harness in harnesses:
            for each, percent in zip(SERVERS, percents, strict=True):
                harness.pace.record_reported(each, percent)
            harness.call("/bookings/1")
            request = harness.network.requests[-1]
            counts[request.address] += 1
            request.answer()
            harness.advance(0.1)
        if percents.count(250) == 0:
            most.append(max(counts.values()) / 20)
            assert len(counts) == 3
    assert len(most) > 5
    assert max(most) < 0.8


def test_engines_of_a_slow_third_get_fewer_streams():
    harness, placed = Harness(*ENGINES), []
    for each, percent in zip(ENGINES, (800, 100, 100), strict=True):
        harness.pace.record_reported(each, percent)
    for _ in range(6):
        waiting = harness.queue.place(
            requirements=EngineRequirements(tokens=100),
            priority=1,
            arrived=harness.clock.seconds(),
            objective=0.9,
        )
        waiting.addCallback(placed.append)
    counts = Counter(each.id for each in placed)
    assert counts["a"] <= 1
    assert counts.total() == 6


def test_a_prefill_goes_where_it_ends_first_and_a_slow_phase_changes_no_rate():
    engines = [server(name, "llm", "prefill") for name in ("pre-a", "pre-bb")]
    harness = Harness(*engines, server("dec", "llm", "decode"))
    harness.loads.begin("pre-bb", 2_000)
    for each, percent in zip(engines, (250, 100), strict=True):
        harness.pace.record_reported(each, percent)
    harness.model_call()
    (request,) = harness.network.requests
    assert request.address == engines[1].address
    request.answer_prefill()
    harness.loads.begin("pre-bb", 40_000)
    rate = harness.prefills.local_prefill_rate()
    harness.model_call()
    request = harness.network.requests[-1]
    assert request.address == engines[0].address
    harness.clock.advance(2.5 * 5_000 / 50_000)
    request.answer_prefill()
    assert harness.prefills.local_prefill_rate() == pytest.approx(rate)
