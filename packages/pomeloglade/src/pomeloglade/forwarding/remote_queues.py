"""Summaries of the other instances' engine queues."""

from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

REPORT_MAX_AGE_SECONDS = 0.6
"""Age at which another instance's summary is ignored. Instances with running calls
report every quarter of a second."""


@dataclass(frozen=True, order=True, slots=True)
class QueueRank:
    """Sort key of calls that wait for an engine; the smallest goes first.

    ``account_usage_step`` is how much of its limit the call's account uses, rounded
    down to steps, and ``arrived`` the time at which the caller began to wait.

    >>> QueueRank(False, 1, 0, 10.0) < QueueRank(True, 0, 0, 9.0)
    True
    """

    late: bool
    priority: int
    account_usage_step: int
    arrived: float


@dataclass(frozen=True, slots=True)
class QueueSummary:
    """Number of an instance's waiting calls to a service, and the rank of the first."""

    count: int
    first: QueueRank


class RemoteQueues:
    """Keeps the queue summaries that other instances report."""

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._queues_by_instance: dict[str, tuple[float, dict[str, QueueSummary]]] = {}

    def apply_report(
        self, instance: str, queues_by_service: dict[str, QueueSummary]
    ) -> None:
        """Replace the summaries of another instance."""
        self._queues_by_instance[instance] = (self._clock.seconds(), queues_by_service)

    def remove_instance(self, instance: str) -> None:
        """Drop the summaries of an instance that has left."""
        self._queues_by_instance.pop(instance, None)

    def count(self, service: str) -> int:
        """Return how many calls to a service wait at the other instances."""
        return sum(summary.count for summary in self._fresh_summaries(service))

    def instances_ahead(self, service: str, rank: QueueRank) -> int:
        """Return how many instances have a waiting call that sorts before ``rank``."""
        return sum(summary.first < rank for summary in self._fresh_summaries(service))

    def _fresh_summaries(self, service: str) -> list[QueueSummary]:
        oldest = self._clock.seconds() - REPORT_MAX_AGE_SECONDS
        return [
            queues[service]
            for reported_at, queues in self._queues_by_instance.values()
            if reported_at >= oldest and service in queues
        ]
