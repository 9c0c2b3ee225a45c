"""Whether this instance has heard what the other instances know."""

from collections.abc import Callable

from twisted.internet.interfaces import IReactorTime

CATCH_UP_SECONDS = 1.0
"""Time after an instance is heard again until it has sent all that was missed."""


class FleetContact:
    """Tells whether reports have reached this instance without an interruption.

    An instance that was cut off or stood still has missed reports. The others send it
    what it missed, once they hear it again.

    Parameters
    ----------
    coverage : callable
        Returns how many instances the fresh reports cover, and how many there are, both
        with this one.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> contact = FleetContact(clock, lambda: (2, 3))
    >>> contact.with_all(), contact.with_most()
    (False, True)
    >>> contact.record_return()
    >>> contact.with_most()
    False
    """

    def __init__(
        self, clock: IReactorTime, coverage: Callable[[], tuple[int, int]]
    ) -> None:
        self._clock = clock
        self._coverage = coverage
        self._returned_at = float("-inf")

    def record_return(self) -> None:
        """Record that another instance is heard for the first time, or again."""
        self._returned_at = self._clock.seconds()

    def with_all(self) -> bool:
        """Return whether all instances are heard, and have been for a while."""
        covered, instances = self._coverage()
        return covered >= instances and self._is_caught_up()

    def with_most(self) -> bool:
        """Return whether more than half of the instances are, with this one."""
        covered, instances = self._coverage()
        return 2 * covered > instances and self._is_caught_up()

    def _is_caught_up(self) -> bool:
        return self._clock.seconds() - self._returned_at >= CATCH_UP_SECONDS
