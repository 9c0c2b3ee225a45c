"""A bound on the memory of complete responses that callers have not read yet."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol as Interface

from twisted.internet.interfaces import IReactorTime

from .held_memory import may_hold

MEMORY_FRACTION = 0.25
"""Fraction of the machine's memory, beside ``HeldMemory`` and ``BodyMemory``."""

MIN_BYTES = 16 * 1024 * 1024
MAX_BYTES = 128 * 1024 * 1024

RATE_WINDOW_SECONDS = 2.0
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 5.0


def max_unread_bytes(machine_bytes: int) -> int:
    """Return the bound for a machine with so much memory.

    >>> max_unread_bytes(128 * 1024 * 1024) // 1024 ** 2
    32
    """
    return round(min(MAX_BYTES, max(MIN_BYTES, MEMORY_FRACTION * machine_bytes)))


class Holder(Interface):
    """A connection with an unread response."""

    def break_off(self) -> None:
        """Reset the connection and drop what it holds."""


@dataclass(slots=True)
class _Unread:
    """What is unread at a connection; ``read_at`` is when its caller last read."""

    owner: str
    size: int
    repeatable: bool
    read_at: float


class UnreadResponses:
    """Counts what callers leave unread of complete responses, by client account.

    A response is held once it has arrived, as it can't be sent back. While an account
    has no room, its further calls are refused before they are sent to a server. If the
    bound is exceeded all the same, responses are broken off: those to repeatable calls
    first, among these those of the account that holds most, and of these the one that
    was not read for longest.

    Parameters
    ----------
    max_bytes : int
        Bound on all that is held.
    on_broken_off : callable
        Called with the reason each time that a response is broken off.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> class Connection:
    ...     def break_off(self):
    ...         print("broken off")
    >>> slow, new = Connection(), Connection()
    >>> responses = UnreadResponses(100, Clock())
    >>> responses.hold(slow, "club", 60, repeatable=True)
    >>> responses.has_room("club"), responses.has_room("league")
    (False, True)
    >>> responses.hold(new, "league", 50, repeatable=True)
    broken off
    >>> responses.total
    50
    """

    def __init__(
        self,
        max_bytes: int,
        clock: IReactorTime,
        on_broken_off: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._max_bytes = max_bytes
        self._clock = clock
        self._on_broken_off = on_broken_off
        self._unread: dict[Holder, _Unread] = {}
        self._bytes_by_owner: Counter[str] = Counter()
        self._window_started = 0.0
        self._window_bytes: Counter[str] = Counter()
        self._rate_by_owner: dict[str, float] = {}
        self.total = 0
        self.refused = 0
        self.broken_off = 0

    @property
    def largest_account_bytes(self) -> int:
        """What is held for the account that holds most."""
        return max(self._bytes_by_owner.values(), default=0)

    def held_for(self, owner: str) -> int:
        """Return what is held for an account."""
        return self._bytes_by_owner[owner]

    def has_room(self, owner: str) -> bool:
        """Return whether a further call of an account may be sent to a server."""
        if not self.total:
            return True
        room = may_hold(
            1,
            owner_bytes=self._bytes_by_owner[owner],
            total_bytes=self.total,
            owners=len(self._bytes_by_owner.keys() | {owner}),
            max_bytes=self._max_bytes,
        )
        self._drop_if_empty(owner)
        self.refused += not room
        return room

    def retry_seconds(self, owner: str) -> float:
        """Return when half of what is held is read, at the rate of its callers.

        It is what is held for the account, or for all if it holds nothing itself.
        """
        self._update_rates()
        held = self._bytes_by_owner.get(owner, 0)
        rate = self._rate_by_owner.get(owner, 0.0)
        if not held:
            held, rate = self.total, sum(self._rate_by_owner.values())
        if rate <= 0:
            return MAX_RETRY_SECONDS
        seconds = held / 2 / rate
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))

    def hold(self, holder: Holder, owner: str, size: int, *, repeatable: bool) -> None:
        """Set what ``holder`` leaves unread, and break off others if it is too much."""
        now = self._clock.seconds()
        known = self._unread.get(holder)
        if known is None:
            known = self._unread[holder] = _Unread(owner, 0, repeatable, now)
        known.repeatable = known.repeatable and repeatable
        self._resize(known, size)
        while self.total > self._max_bytes:
            self._break_off_one()

    def record_read(self, holder: Holder, size: int) -> None:
        """Record that the caller has read on and now leaves so much unread."""
        known = self._unread.get(holder)
        if known is None:
            return
        self._window_bytes[known.owner] += max(0, known.size - size)
        known.read_at = self._clock.seconds()
        self._resize(known, size)
        if not size:
            self.release(holder)

    def release(self, holder: Holder) -> None:
        """Count nothing for ``holder`` any more."""
        known = self._unread.pop(holder, None)
        if known is not None:
            self._resize(known, 0)
            self._drop_if_empty(known.owner)

    def _break_off_one(self) -> None:
        def order(holder: Holder) -> tuple[bool, int, float]:
            known = self._unread[holder]
            owner_bytes = self._bytes_by_owner[known.owner]
            return (not known.repeatable, -owner_bytes, known.read_at)

        holder = min(self._unread, key=order)
        known = self._unread[holder]
        idle = self._clock.seconds() - known.read_at
        reason = f"unread responses take more than {self._max_bytes} bytes, this one"
        reason += f" of account {known.owner!r} {known.size}, not read for {idle:.1f} s"
        self.release(holder)
        self.broken_off += 1
        self._on_broken_off(reason)
        holder.break_off()

    def _resize(self, known: _Unread, size: int) -> None:
        self.total += size - known.size
        self._bytes_by_owner[known.owner] += size - known.size
        known.size = size

    def _update_rates(self) -> None:
        now = self._clock.seconds()
        passed = now - self._window_started
        if passed >= RATE_WINDOW_SECONDS:
            self._rate_by_owner = {
                owner: size / passed for owner, size in self._window_bytes.items()
            }
            self._window_started = now
            self._window_bytes.clear()

    def _drop_if_empty(self, owner: str) -> None:
        if self._bytes_by_owner[owner] <= 0:
            del self._bytes_by_owner[owner]
