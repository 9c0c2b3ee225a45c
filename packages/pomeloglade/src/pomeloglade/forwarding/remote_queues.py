"""Summaries of the other instances' engine queues."""

from collections.abc import Iterable, Mapping
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
    """Number of waiting calls to a service, the rank of the first, and where they wait.

    ``instances`` is the number of instances that have some of them.
    """

    count: int
    first: QueueRank
    instances: int = 1


def merge_queues(
    queues: Iterable[Mapping[str, QueueSummary]],
) -> dict[str, QueueSummary]:
    """Return the sums of several instances' summaries by service."""
    merged: dict[str, QueueSummary] = {}
    for queues_by_service in queues:
        for service, summary in queues_by_service.items():
            known = merged.get(service)
            if known is not None:
                summary = QueueSummary(
                    known.count + summary.count,
                    min(known.first, summary.first),
                    known.instances + summary.instances,
                )
            merged[service] = summary
    return merged


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

    def count(self, service: str, *, late: bool = True) -> int:
        """Return how many calls to a service wait at the other instances.

        Without ``late``, instances whose waiting calls are all late do not count.
        """
        return sum(
            summary.count
            for summary in self._fresh_summaries(service)
            if late or not summary.first.late
        )

    def first(self, service: str) -> QueueRank | None:
        """Return the rank of the first call that waits at the other instances."""
        ranks = (summary.first for summary in self._fresh_summaries(service))
        return min(ranks, default=None)

    def instances_ahead(self, service: str, rank: QueueRank) -> int:
        """Return how many instances have a waiting call that sorts before ``rank``."""
        return sum(
            summary.instances
            for summary in self._fresh_summaries(service)
            if summary.first < rank
        )

    def fresh_by_instance(self) -> dict[str, dict[str, QueueSummary]]:
        """Return the summaries by reporting instance that are not too old."""
        oldest = self._clock.seconds() - REPORT_MAX_AGE_SECONDS
        return {
            instance: queues
            for instance, (reported_at, queues) in self._queues_by_instance.items()
            if reported_at >= oldest
        }

    def _fresh_summaries(self, service: str) -> list[QueueSummary]:
        return [
            queues[service]
            for queues in self.fresh_by_instance().values()
            if service in queues
        ]
