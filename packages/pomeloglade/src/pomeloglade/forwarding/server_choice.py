"""Policies that choose one of the backend servers that have room for a call."""

import enum
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from .backends import BackendServer
from .server_health import ServerHealth
from .server_limits import ServerLimits

Cost = Callable[[BackendServer], Any]
ServerChoice = Callable[[Sequence[BackendServer], Cost], BackendServer]


def choose_within_limits(
    servers: Sequence[BackendServer],
    choice: ServerChoice,
    cost: Cost,
    limits: ServerLimits,
) -> BackendServer | None:
    """Return the best server whose limit has room, or ``None``.

    The request counts for the limit of that server from now on.
    """
    candidates = list(servers)
    while candidates:
        server = choice(candidates, cost)
        if limits.try_take(server.run):
            return server
        candidates.remove(server)
    return None


def choose_for_call(
    servers: Sequence[BackendServer], health: ServerHealth, *, repeatable: bool
) -> list[BackendServer]:
    """Return the servers for a call, less suspected ones if it may not be repeated.

    The load pattern is a server that resets all of its connections. It is always idle,
    and so would be chosen again and again. Calls that may be repeated find out whether
    it still does; the others go there only if there is no other server.
    """
    if repeatable:
        return list(servers)
    sound = [each for each in servers if not health.suspected(each.id)]
    return sound or list(servers)


def calls_counted(calls: int, server: BackendServer, health: ServerHealth) -> float:
    """Return the calls that count in a server's cost, more than it has if it fails.

    That a server which fails at once is empty says nothing of its capacity.
    """
    return max(calls, health.failure_rate(server.id) * server.slots)


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
