"""Rate limits of client accounts that all instances enforce together."""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .deployment import Account

PEER_SILENCE_SECONDS = 0.8
"""Silence after which an equal share of each limit is reserved for a peer. Instances
with running calls report every quarter of a second."""

SLOT_SECONDS = 0.25
"""Resolution of the sliding window; units count for up to one slot longer."""

NEW_RUN_SECONDS = 3.0
"""Age of a run up to which all of its use is new to an instance that learns of it."""

OWN = ""
"""Key of this instance's own use among the instances' names."""

BEFORE_START = "\0"
"""Key of all instances' use before the start of this one, as others tell it."""

HISTORY_SECONDS = 2.0
"""Time after the first report in which others tell the use before it. Of several, the
highest counts, as an instance that was cut off knows less."""

FIRST_REPORT_SECONDS = 0.3
"""Time from the first report to those of the other instances. An instance that has
started is not charged what an instance's first report has, so the history must."""

UsageHistory = list[tuple[float, int]]
"""Units used by all instances in one slot of time each, with the slot's age in
seconds."""


@dataclass(slots=True)
class _Slot:
    """Units earned within one slot of time, and units used by each instance."""

    index: int
    earned: float = 0.0
    burst: float = 0.0
    used_by_instance: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Window:
    """An account's time slots, oldest first, and the sums over all of them."""

    earned_until: float
    knows_past: bool = False
    slots: deque[_Slot] = field(default_factory=deque)
    earned: float = 0.0
    used_by_instance: dict[str, int] = field(default_factory=dict)
    slots_by_instance: dict[str, int] = field(default_factory=dict)
    own_total: int = 0
    peer_totals: dict[str, int] = field(default_factory=dict)
    group_total: int = 0
    total_of_others: int = 0
    charged_to: dict[str, int] = field(default_factory=dict)

    def use(self, instance: str, units: int) -> None:
        """Count units in the newest slot; refunds are negative."""
        newest = self.slots[-1].used_by_instance
        if instance not in newest:
            slots = self.slots_by_instance.get(instance, 0)
            self.slots_by_instance[instance] = slots + 1
        for used in (newest, self.used_by_instance):
            used[instance] = used.get(instance, 0) + units

    def use_at(self, index: int, instance: str, units: int) -> None:
        """Count units in an earlier slot, which is added if it is missing."""
        slots_by_index = {slot.index: slot for slot in self.slots}
        slot = slots_by_index.setdefault(index, _Slot(index))
        self.slots = deque(slots_by_index[each] for each in sorted(slots_by_index))
        if instance not in slot.used_by_instance:
            slots = self.slots_by_instance.get(instance, 0)
            self.slots_by_instance[instance] = slots + 1
        for used in (slot.used_by_instance, self.used_by_instance):
            used[instance] = used.get(instance, 0) + units

    def forget(self, instance: str) -> None:
        """Drop all units of an instance."""
        for slot in self.slots:
            slot.used_by_instance.pop(instance, None)
        self.used_by_instance.pop(instance, None)
        self.slots_by_instance.pop(instance, None)

    def drop_oldest(self) -> None:
        """Drop the oldest slot and subtract it from the sums."""
        slot = self.slots.popleft()
        self.earned -= slot.earned
        for instance, units in slot.used_by_instance.items():
            # Entries are dropped by the number of slots, not when the sum is 0:
            # a use and its refund may cancel out while both are in the window.
            self.used_by_instance[instance] -= units
            self.slots_by_instance[instance] -= 1
            if not self.slots_by_instance[instance]:
                del self.used_by_instance[instance]
                del self.slots_by_instance[instance]


@dataclass(slots=True)
class _Peer:
    run: int
    reported_at: float
    covers: int


class SharedUsage:
    """Rate limiter with one sliding window per account, shared by all instances.

    Within any window an account may use the units that its rate earns in it, plus
    its burst. Units are earned at the rate in force at the time, so a lowered rate
    takes full effect one window later. Each instance reports the total that it has
    admitted in this run, so that the next report makes up for a lost one.

    For each instance that no fresh report covers, an equal share of the limit is
    reserved, or its known use if that is more. The sides of a network partition
    thereby keep the limit together. ``instances`` is the number of all instances.

    Attributes
    ----------
    awaits_history : bool
        Whether other instances tell, shortly after their first reports, what was used
        before the start of this one (``apply_history``).

    Parameters
    ----------
    clock : IReactorTime
        Time source of the windows.
    window : float
        Length of the sliding window in seconds.
    startup_burst : float
        Upper bound of the burst during the first window after the start of this
        instance, which doesn't know the use before its start.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> usage = SharedUsage(clock, window=8.0)
    >>> account = Account("a", frozenset(), rate=100.0, burst=10.0)
    >>> usage.admit(account, 10), usage.admit(account, 25)
    (0.0, 0.25)
    >>> clock.advance(0.25)
    >>> usage.admit(account, 25)
    0.0
    """

    def __init__(
        self,
        clock: IReactorTime,
        *,
        window: float = 8.0,
        startup_burst: float = 50_000.0,
    ) -> None:
        self._clock = clock
        self._window = window
        self._max_slots = round(window / SLOT_SECONDS) + 1
        self._startup_burst = startup_burst
        self._started = clock.seconds()
        self._heard_since = float("-inf")
        self.awaits_history = False
        self.instances = 1
        self._windows_by_account: dict[str, _Window] = {}
        self._peers_by_instance: dict[str, _Peer] = {}

    def admit(self, account: Account, cost: int) -> float:
        """Take ``cost`` units and return 0, or return the seconds to wait for them.

        A call that costs more than the whole limit is admitted if the window holds no
        use at all.
        """
        if not account.rate:
            return 0.0
        window = self._advanced_window(account)
        limit = self._limit(window)
        used = self._used_or_reserved(window, limit)
        if used + cost <= limit or not window.used_by_instance:
            self._use_own(window, cost)
            return 0.0
        return self._wait(account, window, used + cost - limit)

    def refund(self, account: Account, cost: int) -> None:
        """Give back the units of a call that has not run."""
        window = self._windows_by_account.get(account.name)
        if not account.rate or window is None or not cost:
            return
        self._newest_slot(window)
        self._use_own(window, -cost)

    def used_fraction(self, account: Account) -> float:
        """Return the fraction of an account's limit that is used, 0 without a limit."""
        if not account.rate:
            return 0.0
        window = self._advanced_window(account)
        limit = self._limit(window)
        used = sum(window.used_by_instance.values())
        return used / limit if limit > 0 else 1.0

    def totals(self) -> dict[str, int]:
        """Return the units admitted in this run of the instance, by account.

        Accounts without own use in the window are left out.
        """
        return {
            name: window.own_total
            for name, window in self._windows_by_account.items()
            if window.own_total and OWN in window.used_by_instance
        }

    def group_totals(self) -> dict[str, int]:
        """Return the units admitted by this instance and the members of its group."""
        return {
            name: window.group_total
            for name, window in self._windows_by_account.items()
            if window.group_total and window.used_by_instance
        }

    def totals_without(self, instance: str) -> dict[str, int]:
        """Return the units admitted by all instances but one of the group."""
        return {
            name: (
                window.group_total
                + window.total_of_others
                - window.charged_to.get(instance, 0)
            )
            for name, window in self._windows_by_account.items()
            if window.used_by_instance
        }

    def covered(self) -> int:
        """Return how many instances the fresh reports cover, with this one."""
        oldest = self._clock.seconds() - PEER_SILENCE_SECONDS
        return 1 + sum(
            peer.covers
            for peer in self._peers_by_instance.values()
            if peer.reported_at >= oldest
        )

    def apply_report(
        self,
        instance: str,
        run: int,
        totals: dict[str, int],
        *,
        age: float,
        covers: int = 1,
        of_own_group: bool = False,
    ) -> None:
        """Apply a peer's totals in its current run, which began ``age`` seconds ago.

        The first report of a peer that started before this instance, or has run for a
        while, sets the baseline without being charged: that use is accounted for by
        the bound on the burst after the start, or was reported by another instance.
        """
        now = self._clock.seconds()
        if self._heard_since < self._started:
            self._heard_since = now
        peer = self._peers_by_instance.get(instance)
        new_run = peer is None or peer.run != run
        is_baseline = (peer is None and age > now - self._started) or (
            new_run and age > NEW_RUN_SECONDS
        )
        if new_run:
            for window in self._windows_by_account.values():
                window.peer_totals.pop(instance, None)
                window.charged_to.pop(instance, None)
        self._peers_by_instance[instance] = _Peer(run, now, covers)
        for name, total in totals.items():
            window = self._window_of(name)
            known = window.peer_totals.get(instance, total if is_baseline else 0)
            if total != known:
                self._newest_slot(window)
                window.use(instance, total - known)
                if of_own_group:
                    window.group_total += total - known
                    charged = window.charged_to.get(instance, 0)
                    window.charged_to[instance] = charged + total - known
                else:
                    window.total_of_others += total - known
            window.peer_totals[instance] = total

    def histories(self) -> dict[str, UsageHistory]:
        """Return what all instances have used in the window, by account.

        This is for an instance that has just started: those that ended with their use
        in the window can't tell it any more. An instance that has not run for a whole
        window tells only what it was told itself.
        """
        now = self._clock.seconds()
        histories = {}
        for name, window in self._windows_by_account.items():
            if not (self.knows_window or window.knows_past):
                continue
            self._newest_slot(window)
            used = [
                (
                    round(max(0.0, now - slot.index * SLOT_SECONDS), 3),
                    sum(slot.used_by_instance.values()),
                )
                for slot in window.slots
            ]
            histories[name] = [each for each in used if each[1] > 0]
        return {name: history for name, history in histories.items() if history}

    @property
    def knows_window(self) -> bool:
        """Whether this instance has run for a whole window."""
        return self._clock.seconds() - self._started >= self._window

    def apply_history(
        self, name: str, history: UsageHistory, *, first_hand: bool = True
    ) -> None:
        """Count the use of an account before the start of this instance.

        With it, this instance knows as much as the others, and the bound on the burst
        after the start no longer applies to the account. One that is not
        ``first_hand``, of an instance that was told it, counts only if there is none:
        two that tell each other would count more and more.
        """
        now = self._clock.seconds()
        window = self._window_of(name)
        heard_since = now if self._heard_since < self._started else self._heard_since
        is_late = now - heard_since > HISTORY_SECONDS
        if is_late or self.knows_window or (window.knows_past and not first_hand):
            return
        self._newest_slot(window)
        known = window.used_by_instance.get(BEFORE_START, 0)
        before = [
            (int((now - age) / SLOT_SECONDS), units)
            for age, units in history
            if now - age < heard_since + FIRST_REPORT_SECONDS
            and 0 <= age < self._window
            and units > 0
        ]
        if sum(units for _, units in before) <= known:
            return
        window.forget(BEFORE_START)
        for index, units in before:
            window.use_at(index, BEFORE_START, units)
        # The whole window is earned again, at the rate in force.
        for slot in window.slots:
            slot.earned = 0.0
        window.earned = 0.0
        window.earned_until = now - self._window
        window.knows_past = True

    def remove_instance(self, instance: str) -> None:
        """Drop an instance that has left; its use stays in the window."""
        self._peers_by_instance.pop(instance, None)
        for window in self._windows_by_account.values():
            window.peer_totals.pop(instance, None)
            window.charged_to.pop(instance, None)

    def _use_own(self, window: _Window, units: int) -> None:
        window.use(OWN, units)
        window.own_total += units
        window.group_total += units

    def _limit(self, window: _Window) -> float:
        """Return the units that all instances may use within the current window."""
        burst = max(slot.burst for slot in window.slots)
        now = self._clock.seconds()
        if now - self._started < self._window and not window.knows_past:
            burst = min(burst, self._startup_burst)
            heard_for = now - self._heard_since
            if self.awaits_history and heard_for < FIRST_REPORT_SECONDS:
                burst = 0.0
        earned = window.earned
        if window.slots[-1].index - window.slots[0].index == self._max_slots - 1:
            # The oldest slot is partly outside the window: its use still counts,
            # but the units earned in it don't.
            earned -= window.slots[0].earned
        return burst + earned

    def _used_or_reserved(self, window: _Window, limit: float) -> float:
        """Return the units used, plus those reserved for instances not covered."""
        used = window.used_by_instance
        known = 1 + sum(peer.covers for peer in self._peers_by_instance.values())
        instances = max(self.instances, known)
        silent = instances - self.covered()
        reserved = 0.0
        if silent > 0:
            used_by_silent = sum(used.get(each, 0) for each in self._silent_instances())
            reserved = max(0.0, silent * limit / instances - used_by_silent)
        return sum(used.values()) + reserved

    def _wait(self, account: Account, window: _Window, missing: float) -> float:
        """Return the seconds until ``missing`` more units can be used."""
        if len(window.slots) < self._max_slots:
            return max(SLOT_SECONDS, round(missing / account.rate, 4))
        seconds = 0.0
        for slot in window.slots:
            seconds += SLOT_SECONDS
            missing -= sum(slot.used_by_instance.values())
            if missing <= 0:
                break
        return seconds

    def _silent_instances(self) -> list[str]:
        oldest = self._clock.seconds() - PEER_SILENCE_SECONDS
        return [
            name
            for name, peer in self._peers_by_instance.items()
            if peer.reported_at < oldest
        ]

    def _window_of(self, name: str) -> _Window:
        window = self._windows_by_account.get(name)
        if window is None:
            window = _Window(max(self._started, self._clock.seconds() - self._window))
            self._windows_by_account[name] = window
        return window

    def _newest_slot(self, window: _Window) -> _Slot:
        """Return the current slot, after dropping those that left the window."""
        index = int(self._clock.seconds() / SLOT_SECONDS)
        while window.slots and window.slots[0].index <= index - self._max_slots:
            window.drop_oldest()
        if not window.slots or window.slots[-1].index < index:
            window.slots.append(_Slot(index))
        return window.slots[-1]

    def _advanced_window(self, account: Account) -> _Window:
        """Return an account's window with the units earned up to now."""
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
