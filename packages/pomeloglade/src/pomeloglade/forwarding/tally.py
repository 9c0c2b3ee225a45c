"""Counts of events among calls, which instances add up by service or server."""

from collections.abc import Mapping
from typing import NamedTuple


class Tally(NamedTuple):
    """A number of events, such as failures or retries, and of the calls they are among.

    >>> Tally(1, 4) + Tally(0, 1)
    Tally(events=1, calls=5)
    """

    events: int
    calls: int

    def __add__(self, other: "Tally") -> "Tally":  # type: ignore[override]
        return Tally(self.events + other.events, self.calls + other.calls)


NO_CALLS = Tally(0, 0)


def add_tallies(sums: dict[str, Tally], tallies: Mapping[str, Tally]) -> None:
    """Add tallies to the sums of the same keys.

    >>> sums = {"a": Tally(1, 4)}
    >>> add_tallies(sums, {"a": Tally(0, 1), "b": Tally(1, 1)})
    >>> sums
    {'a': Tally(events=1, calls=5), 'b': Tally(events=1, calls=1)}
    """
    for key, tally in tallies.items():
        sums[key] = sums.get(key, NO_CALLS) + Tally(*tally)
