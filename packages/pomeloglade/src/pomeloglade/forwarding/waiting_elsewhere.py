"""Calls that wait for engines at the other instances."""

from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

REPORT_SECONDS = 0.6
"""Age at which another instance's queue is taken to be empty; an instance with calls
in work reports every quarter of a second."""


@dataclass(frozen=True, order=True, slots=True)
class Standing:
    """Where a call stands among all that wait for an engine; the least goes first.

    ``account_load`` tells in steps how much of its limit the call's account uses,
    and ``arrived`` is the instant at which its caller began to wait.

    >>> Standing(False, 1, 0, 10.0) < Standing(True, 0, 0, 9.0)
    True
    """

    late: bool
    priority: int
    account_load: int
    arrived: float


@dataclass(frozen=True, slots=True)
class Queued:
    """How many calls of a service an instance has waiting, and the first of them."""

    count: int
    first: Standing


class WaitingElsewhere:
    """Knows the other instances' queues from their reports."""

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._queues_by_instance: dict[str, tuple[float, dict[str, Queued]]] = {}

    def heard(self, instance: str, queued_by_service: dict[str, Queued]) -> None:
        """Take another instance's queues."""
        self._queues_by_instance[instance] = (self._clock.seconds(), queued_by_service)

    def forget(self, instance: str) -> None:
        """Drop the queues of an instance that is gone."""
        self._queues_by_instance.pop(instance, None)

    def count(self, service: str) -> int:
        """Return how many calls wait at the other instances."""
        return sum(queued.count for queued in self._queued(service))

    def ahead(self, service: str, standing: Standing) -> int:
        """Return how many instances have a call that goes before this one."""
        return sum(queued.first < standing for queued in self._queued(service))

    def _queued(self, service: str) -> list[Queued]:
        oldest = self._clock.seconds() - REPORT_SECONDS
        return [
            queues[service]
            for heard_at, queues in self._queues_by_instance.values()
            if heard_at >= oldest and service in queues
        ]
