"""Token buckets in exact integer arithmetic."""

from dataclasses import dataclass

CLOCK_MARGIN_PERCENT = 1
"""How much faster than true time a clock may run."""

NANOSECONDS = 1_000_000_000

_UNITS_PER_TOKEN = (100 + CLOCK_MARGIN_PERCENT) * NANOSECONDS


@dataclass(frozen=True, slots=True)
class Limit:
    """The rate in tokens a second and the burst in tokens of one account."""

    rate: int
    burst: int

    def part(self, index: int, count: int) -> "Limit":
        """Return one of ``count`` parts; all parts sum exactly to the whole.

        >>> [Limit(10, 100).part(index, 3).rate for index in range(3)]
        [3, 3, 4]
        """
        return Limit(_part(self.rate, index, count), _part(self.burst, index, count))


def _part(whole: int, index: int, count: int) -> int:
    return whole * (index + 1) // count - whole * index // count


def nanoseconds(seconds: float) -> int:
    """Return an instant of the clock as an integer."""
    return int(seconds * NANOSECONDS)


class Bucket:
    """A token bucket whose reserved tokens count against its burst.

    Tokens that were taken stay *reserved* until ``settle`` reports them spent or
    unspent, so that what is unspent in all places never exceeds the burst. A new
    bucket is empty. It refills slower than its rate by ``CLOCK_MARGIN_PERCENT``,
    so that a fast clock does not pass the rate in true time. Calls give instants
    that never go back.

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
        self._refilled = nanoseconds(start)
        self._reserved = 0

    @property
    def limit(self) -> Limit:
        """The rate and burst in force."""
        return self._limit

    @property
    def reserved(self) -> int:
        """Tokens taken and neither spent nor returned yet."""
        return self._reserved

    def available(self, now: float) -> int:
        """Refill and return the whole tokens that may be taken."""
        self.refill(now)
        return self._units // _UNITS_PER_TOKEN

    def refill(self, now: float) -> None:
        """Add what the rate earns up to ``now``, within the burst."""
        instant = nanoseconds(now)
        elapsed = instant - self._refilled
        if elapsed <= 0:
            return
        self._refilled = instant
        self._units += self._limit.rate * 100 * elapsed
        self._clip()

    def take(self, tokens: int) -> None:
        """Reserve tokens that ``available`` has shown."""
        self._units -= tokens * _UNITS_PER_TOKEN
        self._reserved += tokens

    def settle(self, now: float, *, spent: int = 0, unspent: int = 0) -> None:
        """End the reservation of spent tokens and put back unspent ones."""
        self.refill(now)
        self._reserved -= spent + unspent
        self.add(unspent)

    def add(self, tokens: int) -> None:
        """Put tokens into the bucket; what exceeds the burst is lost."""
        self._units += tokens * _UNITS_PER_TOKEN
        self._clip()

    def change(self, limit: Limit, now: float) -> None:
        """Put another rate and burst in force from ``now``."""
        self.refill(now)
        self._limit = limit
        self._clip()

    def _clip(self) -> None:
        room = max(0, self._limit.burst - self._reserved)
        self._units = min(self._units, room * _UNITS_PER_TOKEN)
