"""Limits of client accounts over all instances, kept by exchanging totals."""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .deployment import Account

SILENCE_SECONDS = 0.8
"""Silence after which an instance is taken to use its even part of each limit;
instances report every quarter of a second while they use anything."""

SLOT_SECONDS = 0.25
"""Resolution of the sliding window; units count for up to one slot too long."""

OWN = ""
"""Name under which this instance's own use is kept beside the others'."""


@dataclass(slots=True)
class _Slot:
    """What was earned within one slot of time, and what each instance used."""

    index: int
    earned: float = 0.0
    burst: float = 0.0
    used_by_instance: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Window:
    """An account's slots, oldest first, with the sums over all of them."""

    earned_until: float
    slots: deque[_Slot] = field(default_factory=deque)
    earned: float = 0.0
    used_by_instance: dict[str, int] = field(default_factory=dict)
    slots_by_instance: dict[str, int] = field(default_factory=dict)
    own_total: int = 0
    peer_totals: dict[str, int] = field(default_factory=dict)

    def use(self, instance: str, units: int) -> None:
        """Count use in the newest slot; less than nothing for units given back."""
        newest = self.slots[-1].used_by_instance
        if instance not in newest:
            slots = self.slots_by_instance.get(instance, 0)
            self.slots_by_instance[instance] = slots + 1
        for used in (newest, self.used_by_instance):
            used[instance] = used.get(instance, 0) + units

    def drop_oldest(self) -> None:
        """Take the oldest slot out of the sums."""
        slot = self.slots.popleft()
        self.earned -= slot.earned
        for instance, units in slot.used_by_instance.items():
            # The sum may be 0 while slots are left: their units cancel out.
            self.used_by_instance[instance] -= units
            self.slots_by_instance[instance] -= 1
            if not self.slots_by_instance[instance]:
                del self.used_by_instance[instance]
                del self.slots_by_instance[instance]


@dataclass(slots=True)
class _Peer:
    run: int
    heard_at: float


class SharedUsage:
    """Admits calls by one sliding window an account, shared by reports.

    Within any window an account may use what its rate earns in it, plus its
    burst; what it earned before counts at the rate of that time, so a lowered
    rate binds fully one window later. Each instance tells the others the total
    that it has admitted in this run; a lost report is made good by the next.

    An even part of the limit is kept for each instance that has fallen silent,
    or what it is known to have used, if that is more. So the parts of a fleet
    that is cut in pieces together keep the limit.

    Parameters
    ----------
    clock : IReactorTime
        Moves the windows.
    window : float
        Seconds of the sliding window.
    start : float
        Most units of the burst that may be used until a window after the start
        of this instance, which doesn't know what was used before.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> usage = SharedUsage(clock, window=8.0)
    >>> account = Account("a", frozenset(), rate=100.0, burst=10.0)
    >>> usage.take(account, 10), usage.take(account, 25)
    (0.0, 0.25)
    >>> clock.advance(0.25)
    >>> usage.take(account, 25)
    0.0
    """

    def __init__(
        self, clock: IReactorTime, *, window: float = 8.0, start: float = 50_000.0
    ) -> None:
        self._clock = clock
        self._window = window
        self._most_slots = round(window / SLOT_SECONDS) + 1
        self._start = start
        self._started = clock.seconds()
        self._windows_by_account: dict[str, _Window] = {}
        self._peers_by_instance: dict[str, _Peer] = {}

    def take(self, account: Account, cost: int) -> float:
        """Take ``cost`` units: 0 if admitted, else seconds until they are there.

        A call that costs more than the whole limit is admitted by an unused one.
        """
        if not account.rate:
            return 0.0
        window = self._moved(account)
        limit = self._limit(window)
        taken = self._taken(window, limit)
        if taken + cost <= limit or not window.used_by_instance:
            window.use(OWN, cost)
            window.own_total += cost
            return 0.0
        return self._wait(account, window, taken + cost - limit)

    def give_back(self, account: Account, cost: int) -> None:
        """Return the units of a call that has not run."""
        window = self._windows_by_account.get(account.name)
        if not account.rate or window is None or not cost:
            return
        self._newest_slot(window)
        window.use(OWN, -cost)
        window.own_total -= cost

    def part(self, account: Account) -> float:
        """Return the part of an account's limit that is in use, 0 without limit."""
        if not account.rate:
            return 0.0
        window = self._moved(account)
        limit = self._limit(window)
        used = sum(window.used_by_instance.values())
        return used / limit if limit > 0 else 1.0

    def totals(self) -> dict[str, int]:
        """Return what this run of the instance has admitted by account.

        Only accounts whose use is still in the window are returned.
        """
        return {
            name: window.own_total
            for name, window in self._windows_by_account.items()
            if window.own_total and OWN in window.used_by_instance
        }

    def heard(
        self, instance: str, run: int, totals: dict[str, int], *, age: float
    ) -> None:
        """Take another instance's totals in its present run of ``age`` seconds.

        At the first report of a run that began before this instance did, what it
        used is not charged: it is what the bounded burst at the start stands for.
        """
        now = self._clock.seconds()
        peer = self._peers_by_instance.get(instance)
        uncharged = peer is None and age > now - self._started
        if peer is None or peer.run != run:
            for window in self._windows_by_account.values():
                window.peer_totals.pop(instance, None)
        self._peers_by_instance[instance] = _Peer(run, now)
        for name, total in totals.items():
            window = self._window_of(name)
            known = window.peer_totals.get(instance, total if uncharged else 0)
            if total != known:
                self._newest_slot(window)
                window.use(instance, total - known)
            window.peer_totals[instance] = total

    def forget(self, instance: str) -> None:
        """Drop an instance that has left; what it used stays used."""
        self._peers_by_instance.pop(instance, None)
        for window in self._windows_by_account.values():
            window.peer_totals.pop(instance, None)

    def _limit(self, window: _Window) -> float:
        """Return the units that all instances may use within the present window."""
        burst = max(slot.burst for slot in window.slots)
        if self._clock.seconds() - self._started < self._window:
            burst = min(burst, self._start)
        earned = window.earned
        if window.slots[-1].index - window.slots[0].index == self._most_slots - 1:
            # The oldest slot is partly out of the window: its use still counts,
            # but not what was earned in it.
            earned -= window.slots[0].earned
        return burst + earned

    def _taken(self, window: _Window, limit: float) -> float:
        """Return what is used or kept for others."""
        used = window.used_by_instance
        part = limit / (len(self._peers_by_instance) + 1)
        kept = sum(
            max(0.0, part - used.get(instance, 0)) for instance in self._silent()
        )
        return sum(used.values()) + kept

    def _wait(self, account: Account, window: _Window, missing: float) -> float:
        """Return the seconds until enough of the window's use has left it."""
        if len(window.slots) < self._most_slots:
            return max(SLOT_SECONDS, round(missing / account.rate, 4))
        seconds = 0.0
        for slot in window.slots:
            seconds += SLOT_SECONDS
            missing -= sum(slot.used_by_instance.values())
            if missing <= 0:
                break
        return seconds

    def _silent(self) -> list[str]:
        oldest = self._clock.seconds() - SILENCE_SECONDS
        return [
            name
            for name, peer in self._peers_by_instance.items()
            if peer.heard_at < oldest
        ]

    def _window_of(self, name: str) -> _Window:
        window = self._windows_by_account.get(name)
        if window is None:
            window = _Window(max(self._started, self._clock.seconds() - self._window))
            self._windows_by_account[name] = window
        return window

    def _newest_slot(self, window: _Window) -> _Slot:
        """Return the present slot, after dropping those that left the window."""
        index = int(self._clock.seconds() / SLOT_SECONDS)
        while window.slots and window.slots[0].index <= index - self._most_slots:
            window.drop_oldest()
        if not window.slots or window.slots[-1].index < index:
            window.slots.append(_Slot(index))
        return window.slots[-1]

    def _moved(self, account: Account) -> _Window:
        """Return an account's window with what it has earned until now."""
        now = self._clock.seconds()
        window = self._window_of(account.name)
        newest = self._newest_slot(window)
        newest.burst = account.burst
        since = max(window.earned_until, now - self._window)
        window.earned_until = now
        slots_by_index = {slot.index: slot for slot in window.slots}
        for index in range(int(since / SLOT_SECONDS), newest.index + 1):
            begin = max(since, index * SLOT_SECONDS)
            end = min(now, (index + 1) * SLOT_SECONDS)
            slot = slots_by_index.setdefault(index, _Slot(index, burst=account.burst))
            earned = account.rate * max(0.0, end - begin)
            slot.earned += earned
            window.earned += earned
        if len(slots_by_index) > len(window.slots):
            window.slots = deque(
                slots_by_index[each] for each in sorted(slots_by_index)
            )
        return window
