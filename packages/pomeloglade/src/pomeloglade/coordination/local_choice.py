"""Chooses plain services locally while their placement owner does not answer."""

import random
from collections import Counter

from twisted.internet.defer import Deferred

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.placement import Assignment, Job, Placement
from pomeloglade_coordination.refusals import Reason, Refusal

from ..state.deployment import BackendServer
from ..state.metrics import Metrics
from .current_configuration import CurrentConfiguration
from .health import HealthMonitor
from .open_requests import OpenRequest

OWNER_TIMEOUT_SECONDS = 0.1
"""How long an owner may leave a placement unanswered before it is done locally."""

LOCAL_REASONS = frozenset({Reason.CANCELLED, Reason.FIRST_TOKEN_TARGET_MISSED})
"""Reasons of refusals that ``Placement`` also gives without the owner's answer."""


class LocalChoice:
    """Places plain calls through the placement owner, or locally if it is silent.

    The slots of a plain service only balance its load; running more calls than
    slots exhausts no memory. So while the owner of a pool answers nothing at all,
    because it has died or is partitioned, each instance sends its calls to the
    services at which it has the fewest calls. If the owner answered another call
    in the meantime, an unanswered call is queued there and keeps waiting.

    Parameters
    ----------
    clock : IReactorTime
        Times the wait for the owner's answer.
    in_force : CurrentConfiguration
        Names the services.
    placement : Placement
        Asks the placement owner.
    health : HealthMonitor
        Knows which services have failed.
    metrics : Metrics
        Counts the choices made without the owner.
    random : random.Random
        Chooses among services with equally few calls.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: CurrentConfiguration,
        placement: Placement,
        health: HealthMonitor,
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
        """Return the owner's answer, or a local choice if the owner is silent."""
        placed: Deferred[Assignment | Refusal] = Deferred()
        asked_at = self._clock.seconds()

        def on_answer(answer: Assignment | Refusal) -> None:
            if _is_owner_answer(answer):
                self._answered_at_by_pool[job.pool] = self._clock.seconds()
            if not placed.called:
                placed.callback(answer)

        self._placement.assign(job).addCallback(on_answer)
        if not placed.called:
            self._clock.callLater(
                OWNER_TIMEOUT_SECONDS, self._fall_back, request, job, asked_at, placed
            )
        return placed

    def _fall_back(
        self,
        request: OpenRequest,
        job: Job,
        asked_at: float,
        placed: "Deferred[Assignment | Refusal]",
    ) -> None:
        answered_at = self._answered_at_by_pool.get(job.pool, -1.0)
        if placed.called or answered_at >= asked_at:
            return
        server = self._choose_server(job.pool)
        if server is None:
            return
        self._metrics.event("placement", "chosen_without_owner")
        self._calls_by_server[server.name] += 1
        request.lifecycle.add_cleanup(lambda: self._call_ended(server.name))
        placed.callback(Assignment(job.request_id, "", "", server.name))
        self._placement.cancel(job.request_id)

    def _call_ended(self, name: str) -> None:
        self._calls_by_server[name] -= 1

    def _choose_server(self, pool: str) -> BackendServer | None:
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


def _is_owner_answer(answer: Assignment | Refusal) -> bool:
    """Return whether an answer can only have come from the owner."""
    return isinstance(answer, Assignment) or answer.reason not in LOCAL_REASONS
