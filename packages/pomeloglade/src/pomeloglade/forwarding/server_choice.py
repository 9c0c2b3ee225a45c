"""Policies that choose one of the backend servers that have room for a call."""

import enum
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from .backends import BackendServer

Cost = Callable[[BackendServer], Any]
ServerChoice = Callable[[Sequence[BackendServer], Cost], BackendServer]


class ServerChoicePolicy(enum.Enum):
    """The policies, with their names in settings."""

    LEAST_LOADED = "least-work"
    UNIFORM = "uniform"


def server_choice(policy: ServerChoicePolicy, random: Random) -> ServerChoice:
    """Return the function of a policy; ``UNIFORM`` is a baseline for measurements.

    >>> from random import Random
    >>> choose = server_choice(ServerChoicePolicy.LEAST_LOADED, Random(1))
    >>> choose(("a", "bb"), len)
    'a'
    """
    if policy is ServerChoicePolicy.UNIFORM:
        return lambda servers, cost: random.choice(servers)
    return lambda servers, cost: min(servers, key=cost)
