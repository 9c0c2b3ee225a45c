"""Policies that choose a backend server."""

from collections import Counter
from random import Random

from pomeloglade.forwarding.server_choice import ServerChoicePolicy, server_choice

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
