"""Weighted fair queueing and max-min fair shares over accounts, in tokens."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from .clock import Clock

VIRTUAL_TIME_PER_TOKEN = 1 << 20
"""Virtual time per token at weight 1; large, so that division by weights is precise."""

PATIENT_SHARE_PERCENT = 5
"""Share of the served tokens that waiting patient requests get."""

HALF_LIFE_SECONDS = 10.0
UPDATE_SECONDS = 0.25
"""Shortest interval between two computations of the fair shares."""

OVERLOAD_PERCENT = 97
"""Overload means that fewer than this percentage of requested tokens are served."""


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """One waiting request, ordered within its account by ``start_by``.

    ``cost`` is in tokens. ``start_by`` is the instant by which the request should
    start; requests with equal instants are ordered by ``sequence``.
    """

    start_by: float
    sequence: int
    request_id: str
    account: str
    weight: int
    cost: int
    patient: bool


@dataclass(slots=True)
class _Account:
    weight: int
    virtual_finish: int = 0
    waiting: list[QueuedRequest] = field(default_factory=list)


class _PriorityClass:
    """Start-time fair queueing over the accounts of one priority class."""

    def __init__(self) -> None:
        self._accounts_by_name: dict[str, _Account] = {}
        self._virtual_time = 0

    def __bool__(self) -> bool:
        return any(each.waiting for each in self._accounts_by_name.values())

    def push(self, queued: QueuedRequest) -> None:
        account = self._accounts_by_name.get(queued.account)
        if account is None:
            account = self._accounts_by_name[queued.account] = _Account(queued.weight)
        account.weight = queued.weight
        bisect.insort(account.waiting, queued)

    def remove(self, queued: QueuedRequest) -> None:
        account = self._accounts_by_name[queued.account]
        account.waiting.remove(queued)
        self._remove_if_idle(queued.account, account)

    def take(self, queued: QueuedRequest) -> None:
        account = self._accounts_by_name[queued.account]
        account.waiting.remove(queued)
        start = max(self._virtual_time, account.virtual_finish)
        self._virtual_time = start
        cost = queued.cost * VIRTUAL_TIME_PER_TOKEN // max(1, account.weight)
        account.virtual_finish = start + cost

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests by account, lowest virtual start time first."""
        names = [n for n, each in self._accounts_by_name.items() if each.waiting]
        names.sort(key=self._virtual_start)
        for name in names:
            yield from tuple(self._accounts_by_name[name].waiting)

    def _virtual_start(self, name: str) -> tuple[int, float, str]:
        account = self._accounts_by_name[name]
        start = max(self._virtual_time, account.virtual_finish)
        return start, account.waiting[0].start_by, name

    def _remove_if_idle(self, name: str, account: _Account) -> None:
        if not account.waiting and account.virtual_finish <= self._virtual_time:
            del self._accounts_by_name[name]


class FairQueue:
    """Orders waiting requests fairly over accounts, interactive ones first.

    Each account is served in proportion to its weight, counted in tokens.
    Interactive requests go before patient ones, which may wait past their
    first-token target. So that these do not starve, they get
    ``PATIENT_SHARE_PERCENT`` of the tokens served while any of them waits.

    >>> queue = FairQueue()
    >>> queue.push("r1", "club", cost=100)
    >>> queue.push("r2", "league", cost=10)
    >>> [queued.request_id for queued in queue.in_order()]
    ['r1', 'r2']
    >>> queue.take("r1")
    >>> queue.push("r3", "club", cost=100)
    >>> [queued.request_id for queued in queue.in_order()]
    ['r2', 'r3']
    """

    def __init__(self) -> None:
        self._queued_by_id: dict[str, QueuedRequest] = {}
        self._interactive = _PriorityClass()
        self._patient = _PriorityClass()
        self._patient_credit = 0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._queued_by_id

    def push(
        self,
        request_id: str,
        account: str,
        *,
        cost: int,
        weight: int = 1,
        start_by: float = 0.0,
        patient: bool = False,
    ) -> None:
        """Add a request; within its account, the earliest ``start_by`` goes first."""
        self._sequence += 1
        queued = QueuedRequest(
            start_by, self._sequence, request_id, account, weight, cost, patient
        )
        self._queued_by_id[request_id] = queued
        self._class_of(queued).push(queued)

    def remove(self, request_id: str) -> None:
        """Remove a request without counting its tokens as served."""
        queued = self._queued_by_id.pop(request_id)
        self._class_of(queued).remove(queued)

    def take(self, request_id: str) -> None:
        """Remove a request that is now served, and count its tokens."""
        queued = self._queued_by_id.pop(request_id)
        self._class_of(queued).take(queued)
        if queued.patient:
            self._patient_credit = max(0, self._patient_credit - queued.cost * 100)
        elif self._patient:
            self._patient_credit += queued.cost * PATIENT_SHARE_PERCENT
        if not self._patient:
            self._patient_credit = 0

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in the order in which to serve them."""
        interactive = list(self._interactive.in_order())
        patient = list(self._patient.in_order())
        if self.patient_has_credit():
            yield patient[0]
            yield from interactive
            yield from patient[1:]
            return
        yield from interactive
        yield from patient

    def patient_has_credit(self) -> bool:
        """Return whether patient requests have enough credit for their next one."""
        head = next(self._patient.in_order(), None)
        return head is not None and self._patient_credit >= head.cost * 100

    def _class_of(self, queued: QueuedRequest) -> _PriorityClass:
        return self._patient if queued.patient else self._interactive


@dataclass(slots=True)
class _RecentTokens:
    weight: int
    requested: int = 0
    served: int = 0


class FairShares:
    """Detects accounts that were recently served more than their fair share.

    Fair shares divide all served tokens over the accounts by weighted max-min
    fairness, each account's demand being the tokens that it requested. Counts are
    halved every ``HALF_LIFE_SECONDS``. Fair queueing alone does not suffice:
    requests with a first-token target do not stay in the queue for long enough to
    hold a large account back.

    >>> from twisted.internet.task import Clock
    >>> shares = FairShares(Clock())
    >>> shares.record_requested("club", 1, 900)
    >>> shares.record_requested("league", 1, 300)
    >>> shares.record_served("club", 700)
    >>> shares.overloaded()
    True
    >>> shares.exceeds_fair_share("club"), shares.exceeds_fair_share("league")
    (True, False)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recent_by_account: dict[str, _RecentTokens] = {}
        self._halved_at = clock.seconds()
        self._updated_at = -UPDATE_SECONDS
        self._fair_level = 0
        self._overloaded = False

    def record_requested(self, account: str, weight: int, tokens: int) -> None:
        """Count tokens that an account requests."""
        recent = self._recent_by_account.setdefault(account, _RecentTokens(weight))
        recent.weight = max(1, weight)
        recent.requested += tokens

    def record_served(self, account: str, tokens: int) -> None:
        """Count tokens that are served to an account."""
        recent = self._recent_by_account.setdefault(account, _RecentTokens(1))
        recent.served += tokens

    def overloaded(self) -> bool:
        """Return whether clearly fewer tokens were served than requested."""
        self._update_if_due()
        return self._overloaded

    def exceeds_fair_share(self, account: str) -> bool:
        """Return whether an account was served more than its fair share."""
        self._update_if_due()
        recent = self._recent_by_account.get(account)
        return recent is not None and recent.served > self._fair_level * recent.weight

    def _update_if_due(self) -> None:
        now = self._clock.seconds()
        if now - self._updated_at < UPDATE_SECONDS:
            return
        self._updated_at = now
        while now - self._halved_at >= HALF_LIFE_SECONDS:
            self._halved_at += HALF_LIFE_SECONDS
            self._halve()
        recents = list(self._recent_by_account.values())
        requested = sum(recent.requested for recent in recents)
        served = sum(recent.served for recent in recents)
        self._overloaded = served * 100 < requested * OVERLOAD_PERCENT
        self._fair_level = _water_level(recents, served)

    def _halve(self) -> None:
        for account, recent in list(self._recent_by_account.items()):
            recent.requested //= 2
            recent.served //= 2
            if not recent.requested and not recent.served:
                del self._recent_by_account[account]


def _water_level(recents: list[_RecentTokens], capacity: int) -> int:
    """Return the weighted max-min fair share of ``capacity`` in tokens per weight."""
    recents = sorted(recents, key=lambda recent: recent.requested / recent.weight)
    weights = sum(recent.weight for recent in recents)
    level = 0
    for recent in recents:
        level = capacity // weights
        if recent.requested > level * recent.weight:
            return level
        capacity -= recent.requested
        weights -= recent.weight
        if weights == 0:
            return recent.requested // recent.weight + 1
    return level
