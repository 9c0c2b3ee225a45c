"""Chooses a plain service without its placing owner, while that one is silent."""

import random
from collections import Counter

from twisted.internet.defer import Deferred

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.placement import Assignment, Job, Placement
from pomeloglade_coordination.refusals import Reason, Refusal

from ..state.deployment import BackendServer
from ..state.metrics import Metrics
from .health import Health
from .in_force import InForce
from .open_requests import OpenRequest

SILENCE_SECONDS = 0.1
"""How long an owner may leave an ask unanswered before it counts as silent."""

OWN_REASONS = frozenset({Reason.CANCELLED, Reason.TARGET_MISSED})
"""Refusals that an instance also gives itself, without a word of the owner."""


class LocalChoice:
    """Places plain calls by the placing owner, and by own means without it.

    Slots of a plain service only spread its load; no memory is lost when more
    calls than slots run. So while the owner of a pool answers nothing at all,
    because it has died or is cut off, each instance sends its calls to the
    services that it has the fewest calls at. Where the owner answers others, an
    unanswered call is queued and waits.

    Parameters
    ----------
    clock : IReactorTime
        Measures the owner's silence.
    in_force : InForce
        Names the services.
    placement : Placement
        Asks the placing owner.
    health : Health
        Tells which services failed lately.
    metrics : Metrics
        Counts the choices made without an owner.
    random : random.Random
        Chooses among equals.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: InForce,
        placement: Placement,
        health: Health,
        metrics: Metrics,
        random: random.Random,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._placement = placement
        self._health = health
        self._metrics = metrics
        self._random = random
        self._answered_at_by_pool: dict[str, float] = {}
        self._calls_by_server: Counter[str] = Counter()

    def assign(
        self, request: OpenRequest, job: Job
    ) -> "Deferred[Assignment | Refusal]":
        """Return the owner's answer, or an own choice while it is silent."""
        placed: Deferred[Assignment | Refusal] = Deferred()
        asked = self._clock.seconds()

        def answered(answer: Assignment | Refusal) -> None:
            if _is_of_owner(answer):
                self._answered_at_by_pool[job.pool] = self._clock.seconds()
            if not placed.called:
                placed.callback(answer)

        self._placement.assign(job).addCallback(answered)
        if not placed.called:
            self._clock.callLater(
                SILENCE_SECONDS, self._after_silence, request, job, asked, placed
            )
        return placed

    def _after_silence(
        self,
        request: OpenRequest,
        job: Job,
        asked: float,
        placed: "Deferred[Assignment | Refusal]",
    ) -> None:
        heard = self._answered_at_by_pool.get(job.pool, -1.0)
        if placed.called or heard >= asked:
            return
        server = self._choose(job.pool)
        if server is None:
            return
        self._metrics.event("placement", "chosen_without_owner")
        self._calls_by_server[server.name] += 1
        request.lifecycle.undo(lambda: self._ended(server.name))
        placed.callback(Assignment(job.request_id, "", "", server.name))
        self._placement.cancel(job.request_id)

    def _ended(self, name: str) -> None:
        self._calls_by_server[name] -= 1

    def _choose(self, pool: str) -> BackendServer | None:
        usable = [
            server
            for server in self._in_force.deployment.pool(pool, "plain")
            if server.state == "serving" and not self._health.is_failed(server.name)
        ]
        if not usable:
            return None
        fewest = min(self._calls_by_server[server.name] for server in usable)
        return self._random.choice(
            [s for s in usable if self._calls_by_server[s.name] == fewest]
        )


def _is_of_owner(answer: Assignment | Refusal) -> bool:
    """Return whether an answer shows that the owner lives."""
    return isinstance(answer, Assignment) or answer.reason not in OWN_REASONS
