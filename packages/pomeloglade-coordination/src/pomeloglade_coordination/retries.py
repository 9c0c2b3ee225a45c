"""Retry budget as a share of successes."""

from collections import Counter
from datetime import timedelta
from random import Random

from .clock import Clock, delay

MILLI = 1_000
"""Budget units of one retry, so that ratios stay whole numbers."""

RECENT_SECONDS = 10
BASE_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0


class RetryBudget:
    """Allows retries as a share of this instance's own successes.

    Each success earns ``ratio`` of a retry. What is saved is at most the retries
    earned in one second at the recent rate of successes, or one retry; without
    a success for ``RECENT_SECONDS`` it is gone. So a fleet in trouble adds at
    most ``ratio`` to its load, however many instances retry. The budget doesn't
    know whether a request may have run: the caller asks only for requests that
    are idempotent or were provably not dispatched.

    Parameters
    ----------
    clock : IReactorTime
        Tells which successes are recent.
    random : random.Random
        Spreads the delays before retries.
    ratio : float
        Retries per success, rounded to thousandths.

    >>> from twisted.internet.task import Clock
    >>> budget = RetryBudget(clock=Clock(), random=Random(1))
    >>> budget.allow()
    False
    >>> for _ in range(10):
    ...     budget.success()
    >>> budget.allow(), budget.allow()
    (True, False)
    """

    def __init__(self, *, clock: Clock, random: Random, ratio: float = 0.1) -> None:
        self._clock = clock
        self._random = random
        self._earned_by_success = round(ratio * MILLI)
        self._saved = 0
        self._successes_by_second: dict[int, int] = {}
        self._counters: Counter[str] = Counter()

    def success(self) -> None:
        """Count a request that was answered, which earns part of a retry."""
        second = int(self._clock.seconds())
        counts = self._successes_by_second
        counts[second] = counts.get(second, 0) + 1
        self._saved = min(self._most_saved(), self._saved + self._earned_by_success)

    def allow(self) -> bool:
        """Take one retry from the budget; ``False`` when it is spent."""
        self._saved = min(self._most_saved(), self._saved)
        if self._saved < MILLI:
            self._counters["refused"] += 1
            return False
        self._saved -= MILLI
        self._counters["allowed"] += 1
        return True

    def backoff(self, attempt: int) -> timedelta:
        """Return the jittered delay before retry number ``attempt`` (from 1)."""
        longest = min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2 ** (attempt - 1))
        return delay(self._random.uniform(longest / 2, longest))

    def counters(self) -> dict[str, int]:
        """Return how many retries were allowed and refused."""
        return dict(self._counters)

    def _most_saved(self) -> int:
        oldest = int(self._clock.seconds()) - RECENT_SECONDS
        counts = self._successes_by_second
        for second in [each for each in counts if each < oldest]:
            del counts[second]
        if not counts:
            return 0
        earned = sum(counts.values()) * self._earned_by_success
        return max(MILLI, earned // RECENT_SECONDS)
