"""A bound on the memory that requests and unread responses of callers take."""

from collections import Counter
from collections.abc import Hashable

MEMORY_FRACTION = 0.125
"""Fraction of the machine's memory. As much again is for the bodies of responses that
are not complete (``BodyMemory``), and the rest for the process itself."""

MIN_BYTES = 8 * 1024 * 1024
MAX_BYTES = 64 * 1024 * 1024
DEFAULT_MACHINE_BYTES = 128 * 1024 * 1024

UNSHARED_FRACTION = 0.5
"""Fraction of the bound up to which anyone may hold what they need. Above it, nobody
may hold more than an even part of the bound, with one part left for the next owner."""


def max_held_bytes(machine_bytes: int) -> int:
    """Return the bound for a machine with so much memory.

    >>> max_held_bytes(128 * 1024 * 1024) // 1024 ** 2
    16
    """
    return round(min(MAX_BYTES, max(MIN_BYTES, MEMORY_FRACTION * machine_bytes)))


def may_hold(
    size: int, *, owner_bytes: int, total_bytes: int, owners: int, max_bytes: int
) -> bool:
    """Return whether an owner may hold ``size`` bytes more.

    ``owner_bytes`` is what it holds already, ``total_bytes`` what all ``owners`` do.

    >>> free = dict(owner_bytes=0, owners=2, max_bytes=100)
    >>> may_hold(40, total_bytes=0, **free), may_hold(60, total_bytes=0, **free)
    (True, False)
    >>> may_hold(30, total_bytes=50, **free), may_hold(40, total_bytes=50, **free)
    (True, False)
    """
    if total_bytes + size > max_bytes:
        return False
    if total_bytes + size <= UNSHARED_FRACTION * max_bytes:
        return True
    return owner_bytes + size <= max_bytes / (owners + 1)


class HeldMemory:
    """Counts what is held for callers who send or read slowly, by client account.

    Callers of one account must not take the memory that the others need, and all
    together must not end the process.

    Parameters
    ----------
    max_bytes : int
        Bound on all that is held.

    Examples
    --------
    >>> memory = HeldMemory(100)
    >>> memory.try_hold("connection-1", "club", 45)
    True
    >>> memory.try_hold("connection-2", "club", 20)
    False
    >>> memory.try_hold("connection-3", "league", 20)
    True
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Hashable, tuple[str, int]] = {}
        self._bytes_by_owner: Counter[str] = Counter()
        self.total = 0
        self.refused = 0

    def try_hold(self, holder: Hashable, owner: str, size: int) -> bool:
        """Set what ``holder`` holds to ``size`` bytes, or return ``False``.

        What it held before is kept if there is no room for more.
        """
        known_owner, known = self._held.get(holder, (owner, 0))
        owners = len(self._bytes_by_owner.keys() | {known_owner})
        more = size - known
        if more > 0 and not may_hold(
            more,
            owner_bytes=self._bytes_by_owner[known_owner],
            total_bytes=self.total,
            owners=owners,
            max_bytes=self._max_bytes,
        ):
            self.refused += 1
            self._drop_if_empty(known_owner)
            return False
        self._held[holder] = (known_owner, size)
        self._bytes_by_owner[known_owner] += more
        self.total += more
        return True

    def release(self, holder: Hashable) -> None:
        """Count nothing for ``holder`` any more."""
        owner, size = self._held.pop(holder, ("", 0))
        self._bytes_by_owner[owner] -= size
        self.total -= size
        self._drop_if_empty(owner)

    def _drop_if_empty(self, owner: str) -> None:
        if self._bytes_by_owner[owner] <= 0:
            del self._bytes_by_owner[owner]
