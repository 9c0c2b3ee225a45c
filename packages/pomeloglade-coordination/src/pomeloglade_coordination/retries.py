"""Retry budget: limits retries to a share of successes."""

from collections import Counter
from datetime import timedelta
from random import Random

from .clock import Clock, nonnegative_timedelta

UNITS_PER_RETRY = 1_000
"""Budget units that a retry costs, so that the budget is kept in integers."""

SUCCESS_WINDOW_SECONDS = 10
BASE_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0


class RetryBudget:
    """Allows retries as a share of this instance's own successes.

    Each success earns ``ratio`` of a retry. The balance is at most what one second
    earns at the rate of successes in the last ``SUCCESS_WINDOW_SECONDS``, or one
    retry if that is more; without successes in this window it is zero. Retries thus
    add at most ``ratio`` to the load of a failing fleet, however many instances
    retry. The budget does not know whether a request may have run: callers must
    only retry requests that are idempotent or were provably not dispatched.

    Parameters
    ----------
    clock : IReactorTime
        Measures the window of recent successes.
    random : random.Random
        Jitters the delays before retries.
    ratio : float
        Retries per success, rounded to thousandths.

    >>> from twisted.internet.task import Clock
    >>> budget = RetryBudget(clock=Clock(), random=Random(1))
    >>> budget.try_withdraw()
    False
    >>> for _ in range(10):
    ...     budget.record_success()
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    def __init__(self, *, clock: Clock, random: Random, ratio: float = 0.1) -> None:
        self._clock = clock
        self._random = random
        self._units_per_success = round(ratio * UNITS_PER_RETRY)
        self._balance = 0
        self._successes_by_second: dict[int, int] = {}
        self._counters: Counter[str] = Counter()

    def record_success(self) -> None:
        """Count a successful request, which earns ``ratio`` of a retry."""
        second = int(self._clock.seconds())
        counts = self._successes_by_second
        counts[second] = counts.get(second, 0) + 1
        self._balance = min(
            self._max_balance(), self._balance + self._units_per_success
        )

    def try_withdraw(self) -> bool:
        """Take one retry from the budget, or return ``False`` if it is exhausted."""
        self._balance = min(self._max_balance(), self._balance)
        if self._balance < UNITS_PER_RETRY:
            self._counters["refused"] += 1
            return False
        self._balance -= UNITS_PER_RETRY
        self._counters["allowed"] += 1
        return True

    def backoff(self, attempt: int) -> timedelta:
        """Return the jittered delay before retry number ``attempt`` (from 1)."""
        longest = min(MAX_DELAY_SECONDS, BASE_DELAY_SECONDS * 2 ** (attempt - 1))
        return nonnegative_timedelta(self._random.uniform(longest / 2, longest))

    def counters(self) -> dict[str, int]:
        """Return how many retries were allowed and refused."""
        return dict(self._counters)

    def _max_balance(self) -> int:
        oldest = int(self._clock.seconds()) - SUCCESS_WINDOW_SECONDS
        counts = self._successes_by_second
        for second in [each for each in counts if each < oldest]:
            del counts[second]
        if not counts:
            return 0
        earned = sum(counts.values()) * self._units_per_success
        return max(UNITS_PER_RETRY, earned // SUCCESS_WINDOW_SECONDS)
