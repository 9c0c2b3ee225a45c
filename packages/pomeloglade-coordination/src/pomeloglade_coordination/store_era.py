"""Eras of a key-value store, which rise when it returns from an older copy."""

from collections.abc import Callable

REVISION_BITS = 40
"""Bits of a position that hold the revision; the era is above them. With 13 bits for
the era, positions are integers that every JSON and CBOR reader keeps exactly."""


def position(era: int, revision: int) -> int:
    """Return the era and the revision as one number, which never goes back.

    After a return from an older copy, a store assigns some revisions again. Positions
    differ even then, and later ones are higher.

    >>> position(0, 7), position(2, 5) > position(1, 7)
    (7, True)
    """
    return (era << REVISION_BITS) + revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & ((1 << REVISION_BITS) - 1)


class StoreEra:
    """The newest era that was seen in a store's answers; 0 if it reports none.

    >>> era = StoreEra()
    >>> era.observe(3)
    >>> era.subscribe(lambda: print("returned from an older copy"))
    >>> era.observe(4)
    returned from an older copy
    """

    def __init__(self) -> None:
        self.current = 0
        self._observed = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` each time that a higher era is seen after the first."""
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Record the era of an answer."""
        first, self._observed = not self._observed, True
        if era <= self.current:
            return
        self.current = era
        if not first:
            for listener in self._listeners:
                listener()
