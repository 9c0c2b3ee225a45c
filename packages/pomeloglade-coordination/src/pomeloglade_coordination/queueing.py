"""Deadline-aware queue of requests that wait for a replica."""

import heapq
from collections.abc import Iterator

from .fairness import FairQueue

MAX_QUEUED = 4_096
"""Most requests that one queue holds."""


class DeadlineQueue:
    """A fair queue that expires requests once it is too late to start them.

    Instants are in seconds of the clock of the instance that has the queue. A
    request's ``latest_start`` is the deadline of its first token less the time
    that its prefill takes, or, for a patient request, the instant at which it
    gives up waiting.

    >>> queue = DeadlineQueue()
    >>> queue.push("r1", "club", cost=100, latest_start=2.0)
    True
    >>> queue.expire(1.0), queue.expire(2.5)
    ([], ['r1'])
    """

    def __init__(self, max_queued: int = MAX_QUEUED) -> None:
        self._fair = FairQueue()
        self._max_queued = max_queued
        self._latest_start_by_id: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._fair)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._fair

    def push(
        self,
        request_id: str,
        account: str,
        *,
        cost: int,
        latest_start: float,
        weight: int = 1,
        patient: bool = False,
    ) -> bool:
        """Add a request, or return ``False`` when the queue is full."""
        if len(self._fair) >= self._max_queued:
            return False
        self._fair.push(
            request_id,
            account,
            cost=cost,
            weight=weight,
            start_by=latest_start,
            patient=patient,
        )
        self._latest_start_by_id[request_id] = latest_start
        heapq.heappush(self._expiries, (latest_start, request_id))
        return True

    def remove(self, request_id: str) -> None:
        """Remove a request without counting its tokens as served."""
        self._fair.remove(request_id)
        del self._latest_start_by_id[request_id]

    def take(self, request_id: str) -> None:
        """Remove a request that is now served, and count its tokens."""
        self._fair.take(request_id)
        del self._latest_start_by_id[request_id]

    def patient_has_credit(self) -> bool:
        """Return whether patient requests have enough credit for their next one."""
        return self._fair.patient_has_credit()

    def latest_start(self, request_id: str) -> float:
        """Return the instant after which a waiting request expires."""
        return self._latest_start_by_id[request_id]

    def in_order(self) -> Iterator[str]:
        """Yield the request ids in the order in which to serve them."""
        for queued in self._fair.in_order():
            yield queued.request_id

    def expire(self, now: float) -> list[str]:
        """Remove and return the requests whose latest start has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            latest_start, request_id = heapq.heappop(self._expiries)
            if self._latest_start_by_id.get(request_id) == latest_start:
                self.remove(request_id)
                expired.append(request_id)
        return expired

    def next_expiry(self) -> float | None:
        """Return the next instant at which a request may expire."""
        while self._expiries:
            latest_start, request_id = self._expiries[0]
            if self._latest_start_by_id.get(request_id) == latest_start:
                return latest_start
            heapq.heappop(self._expiries)
        return None
