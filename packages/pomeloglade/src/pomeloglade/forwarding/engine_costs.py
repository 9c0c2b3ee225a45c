"""The cost of placing a call at a decode engine, for choosing among several."""

from random import Random

from .backends import Backends, BackendServer
from .cold_servers import cold_cost
from .expected_completion import (
    ENGINE_CROWDING,
    expected_completion,
    spread_completion,
)
from .loads import Loads
from .server_health import ServerHealth
from .server_limits import ServerLimits
from .server_pace import ServerPace

FAR_COST_CALLS = 0.5
"""Cost of an engine in another availability zone, in calls: a KV cache takes twice as
long to get there."""


class EngineCosts:
    """Costs by the calls at an engine, or by when it would complete one more.

    An engine that fails, is cold, or whose zone has just returned to use costs more.
    """

    def __init__(
        self,
        *,
        backends: Backends,
        loads: Loads,
        health: ServerHealth,
        limits: ServerLimits,
        pace: ServerPace,
        random: Random,
        availability_zone: str,
    ) -> None:
        self._backends = backends
        self._loads = loads
        self._health = health
        self._limits = limits
        self._pace = pace
        self._random = random
        self._availability_zone = availability_zone

    def cost(
        self, server: BackendServer, slots: int, work: float
    ) -> tuple[float, int, str]:
        """Return the cost of an engine with so many usable slots.

        ``work`` is the average duration of calls, in seconds. Of two equal engines, the
        one with fewer tokens in its KV memory costs less.
        """
        penalty = self._health.penalty(server.id) * self._backends.return_cost(server)
        penalty *= cold_cost(server, self._backends, self._limits)
        at_engine = self._loads.engine_calls(server.id)
        far = server.availability_zone != self._availability_zone
        if not self._pace.affects(server.service):
            calls = (at_engine.calls + 1) * penalty
            return calls + (FAR_COST_CALLS if far else 0.0), at_engine.tokens, server.id
        pace = self._pace.ratio(server.run)
        completion = expected_completion(
            work=work,
            calls=at_engine.calls,
            slots=slots,
            pace=pace,
            crowding=ENGINE_CROWDING,
            latency=FAR_COST_CALLS * work / slots if far else 0.0,
        )
        completion = spread_completion(
            completion, work=work, slots=slots, pace=pace, random=self._random
        )
        return penalty * completion, 0, ""
