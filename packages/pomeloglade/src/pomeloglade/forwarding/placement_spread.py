"""Spread of placements that instances make before they hear of each other's."""

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from random import Random

from twisted.internet.interfaces import IReactorTime

from .backends import BackendServer
from .report_intervals import propagation_seconds
from .server_choice import Cost, ServerChoice

RATE_SECONDS = 2.0
"""Time over which the rate of placements is measured. An instance of a large fleet
places less than one call a second, and takes the others for its like."""


class PlacementSpread:
    """Chooses among as many of the best servers as are chosen at the same time.

    Instances that know the same choose the same server, until reports tell them of each
    other's calls. With few instances that takes milliseconds, in which hardly a call is
    placed. In a large fleet a burst has a dozen placements meanwhile: all on the engine
    that was the emptiest, where most are rejected after their prompts were prefilled.
    So the choice is random among the best servers, one for each placement that the
    fleet is expected to make within that time.

    Parameters
    ----------
    choice : ServerChoice
        Chooses if no other placement is expected meanwhile.
    instances : callable
        Returns the number of instances, with this one.
    """

    def __init__(
        self,
        clock: IReactorTime,
        random: Random,
        choice: ServerChoice,
        instances: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._random = random
        self._choice = choice
        self._instances = instances
        self._placed_at: deque[float] = deque()

    def choose(self, servers: Sequence[BackendServer], cost: Cost) -> BackendServer:
        """Return one of the best servers, and count a placement."""
        now = self._clock.seconds()
        self._placed_at.append(now)
        while self._placed_at[0] <= now - RATE_SECONDS:
            self._placed_at.popleft()
        count = 1 + round(self.concurrent_placements())
        if count == 1:
            return self._choice(servers, cost)
        return self._random.choice(heapq.nsmallest(count, servers, key=cost))

    def concurrent_placements(self) -> float:
        """Return how many placements the other instances make unknown to this one."""
        instances = self._instances()
        rate = len(self._placed_at) / RATE_SECONDS
        return rate * (instances - 1) * propagation_seconds(instances)
