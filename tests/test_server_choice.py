"""Policies that choose a backend server."""

from collections import Counter
from random import Random

from tests.forwarding_fakes import Harness, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.server_choice import ServerChoicePolicy, server_choice
from pomeloglade.forwarding.server_health import (
    SUSPECT_FAILURES,
    SUSPECT_SECONDS,
    ServerHealth,
)
from pomeloglade.forwarding.tally import Tally

COST_BY_SERVER = {"a": 3, "b": 1, "c": 2}


def test_least_loaded_policy_chooses_the_server_of_the_least_cost():
    choose = server_choice(ServerChoicePolicy.LEAST_LOADED, Random(1))
    assert choose(list(COST_BY_SERVER), COST_BY_SERVER.get) == "b"


def test_uniform_policy_chooses_all_servers_equally_often():
    choose = server_choice(ServerChoicePolicy.UNIFORM, Random(1))
    chosen = Counter(
        choose(list(COST_BY_SERVER), COST_BY_SERVER.get) for _ in range(3000)
    )
    assert all(900 < count < 1100 for count in chosen.values())


# Unsafe calls went on to a server that reset each of them: 78 of some 400 within five
# seconds on a day on which one of two plain servers in use did so.
def test_calls_that_may_not_be_repeated_avoid_a_server_that_loses_all():
    harness = Harness(server("a"), server("bb"))
    failing = {harness.backends.get("a").address}

    def answer(request):
        if request.address in failing:
            request.reset()
        else:
            harness.clock.callLater(0.1, request.answer)

    harness.network.on_request = answer
    bookings = []
    for number in range(30):
        bookings.append(harness.call(f"/bookings/{number}")[0])
        harness.advance(0.1)
    harness.advance(0.5)
    lost = [each for each in bookings if each.status != 200]
    assert 1 <= len(lost) <= SUSPECT_FAILURES


def test_the_only_server_gets_calls_though_it_is_suspected():
    harness = Harness(server("a"))
    harness.health.apply_outcomes({"a": Tally(5, 5)})
    harness.network.on_request = lambda request: request.answer()
    responder, _ = harness.call("/bookings/1")
    assert responder.status == 200


def test_one_success_ends_a_suspicion_and_so_does_time():
    clock = Clock()
    health = ServerHealth(clock)
    for _ in range(SUSPECT_FAILURES):
        health.record_failure("a")
        health.record_failure("b")
    health.record_success("a")
    assert (health.suspected("a"), health.suspected("b")) == (False, True)
    clock.advance(SUSPECT_SECONDS + 0.1)
    assert not health.suspected("b")
