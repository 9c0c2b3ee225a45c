"""Token buckets in exact integer arithmetic."""

from dataclasses import dataclass

CLOCK_MARGIN_PERCENT = 1
"""Tolerated clock drift: how much faster than true time a clock may run."""

NANOSECONDS_PER_SECOND = 1_000_000_000

_UNITS_PER_TOKEN = (100 + CLOCK_MARGIN_PERCENT) * NANOSECONDS_PER_SECOND


@dataclass(frozen=True, slots=True)
class Limit:
    """An account's rate in tokens per second and its burst in tokens."""

    rate: int
    burst: int

    def part(self, index: int, count: int) -> "Limit":
        """Return one of ``count`` even parts; all parts sum exactly to the whole.

        >>> [Limit(10, 100).part(index, 3).rate for index in range(3)]
        [3, 3, 4]
        """
        return Limit(_part(self.rate, index, count), _part(self.burst, index, count))


def _part(whole: int, index: int, count: int) -> int:
    return whole * (index + 1) // count - whole * index // count


def to_nanoseconds(seconds: float) -> int:
    """Return an instant of the clock in whole nanoseconds."""
    return int(seconds * NANOSECONDS_PER_SECOND)


class Bucket:
    """A token bucket whose reserved tokens count against its burst.

    Tokens stay *reserved* until ``release`` reports them as spent or unspent, so
    that the unspent tokens in the bucket and in all reservations never exceed the
    burst. A new bucket is empty. It refills slower than its rate by
    ``CLOCK_MARGIN_PERCENT``, so that the rate in true time is not exceeded on a
    fast clock. The instants of successive calls must not decrease.

    Parameters
    ----------
    limit : Limit
        Rate and burst.
    start : float
        Instant in seconds from which the bucket refills.
    """

    def __init__(self, limit: Limit, start: float) -> None:
        self._limit = limit
        self._units = 0
        self._refilled_at = to_nanoseconds(start)
        self._reserved = 0

    @property
    def limit(self) -> Limit:
        """The rate and burst in force."""
        return self._limit

    @property
    def reserved(self) -> int:
        """Tokens reserved and neither spent nor returned yet."""
        return self._reserved

    def available(self, now: float) -> int:
        """Refill, and return how many whole tokens can be reserved."""
        self.refill(now)
        return self._units // _UNITS_PER_TOKEN

    def refill(self, now: float) -> None:
        """Add the tokens that the rate has earned until ``now``, up to the burst."""
        instant = to_nanoseconds(now)
        elapsed = instant - self._refilled_at
        if elapsed <= 0:
            return
        self._refilled_at = instant
        self._units += self._limit.rate * 100 * elapsed
        self._cap_at_burst()

    def reserve(self, tokens: int) -> None:
        """Reserve tokens, at most as many as ``available`` has returned."""
        self._units -= tokens * _UNITS_PER_TOKEN
        self._reserved += tokens

    def release(self, now: float, *, spent: int = 0, unspent: int = 0) -> None:
        """End the reservation of spent tokens, and return unspent ones."""
        self.refill(now)
        self._reserved -= spent + unspent
        self.add(unspent)

    def add(self, tokens: int) -> None:
        """Add tokens; those that exceed the burst are dropped."""
        self._units += tokens * _UNITS_PER_TOKEN
        self._cap_at_burst()

    def set_limit(self, limit: Limit, now: float) -> None:
        """Apply a new limit from ``now``; tokens above its burst are dropped."""
        self.refill(now)
        self._limit = limit
        self._cap_at_burst()

    def _cap_at_burst(self) -> None:
        room = max(0, self._limit.burst - self._reserved)
        self._units = min(self._units, room * _UNITS_PER_TOKEN)
