"""Weighted fair queueing over accounts, in tokens."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from .clock import Clock

VIRTUAL_TOKENS = 1 << 20
"""Virtual time of one token at weight 1, so that integers divide by weights."""

PATIENT_SHARE_PERCENT = 5
"""Share of the served tokens that patient requests get while they wait."""


HALF_LIFE_SECONDS = 10.0
LEVEL_SECONDS = 0.25
"""How often fair shares are worked out anew."""

OVERLOAD_PERCENT = 97
"""Share of the tokens asked for below which serving counts as overloaded."""


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """One waiting request, ordered within its account by ``order``.

    ``cost`` is in tokens. ``order`` is the instant by which the request should
    start; requests of equal instants keep the order of their ``sequence``.
    """

    order: float
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


class _FairClass:
    """Start-time fair queueing over the accounts of one class."""

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
        self._forget_if_idle(queued.account, account)

    def take(self, queued: QueuedRequest) -> None:
        account = self._accounts_by_name[queued.account]
        account.waiting.remove(queued)
        start = max(self._virtual_time, account.virtual_finish)
        self._virtual_time = start
        cost = queued.cost * VIRTUAL_TOKENS // max(1, account.weight)
        account.virtual_finish = start + cost

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests, the head of the least served account first."""
        names = [n for n, each in self._accounts_by_name.items() if each.waiting]
        names.sort(key=self._start_of)
        for name in names:
            yield from tuple(self._accounts_by_name[name].waiting)

    def _start_of(self, name: str) -> tuple[int, float, str]:
        account = self._accounts_by_name[name]
        start = max(self._virtual_time, account.virtual_finish)
        return start, account.waiting[0].order, name

    def _forget_if_idle(self, name: str, account: _Account) -> None:
        if not account.waiting and account.virtual_finish <= self._virtual_time:
            del self._accounts_by_name[name]


class FairQueue:
    """Orders waiting requests fairly over accounts, interactive ones first.

    Each account is served in proportion to its weight, counted in tokens.
    Interactive requests go before patient ones, but while patient requests wait
    they get ``PATIENT_SHARE_PERCENT`` of the tokens served.

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
        self._interactive = _FairClass()
        self._patient = _FairClass()
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
        order: float = 0.0,
        patient: bool = False,
    ) -> None:
        """Add a request; ``order`` sorts the requests within its account."""
        self._sequence += 1
        queued = QueuedRequest(
            order, self._sequence, request_id, account, weight, cost, patient
        )
        self._queued_by_id[request_id] = queued
        self._class_of(queued).push(queued)

    def remove(self, request_id: str) -> None:
        """Drop a request without counting it as served."""
        queued = self._queued_by_id.pop(request_id)
        self._class_of(queued).remove(queued)

    def take(self, request_id: str) -> None:
        """Remove a request that is being served and count its tokens."""
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
        if self.patient_due():
            yield patient[0]
            yield from interactive
            yield from patient[1:]
            return
        yield from interactive
        yield from patient

    def patient_due(self) -> bool:
        """Tell whether patient requests have saved up enough for the next one."""
        head = next(self._patient.in_order(), None)
        return head is not None and self._patient_credit >= head.cost * 100

    def _class_of(self, queued: QueuedRequest) -> _FairClass:
        return self._patient if queued.patient else self._interactive


@dataclass(slots=True)
class _Recent:
    weight: int
    asked: int = 0
    served: int = 0


class FairShares:
    """Tells which accounts have lately been served more than their fair share.

    The tokens served to all are divided by max-min fairness over what the
    accounts asked for, in proportion to their weights. Counts are halved every
    ``HALF_LIFE_SECONDS``. A queue alone can't even this out: requests with a
    first-token target leave it too soon for a large account to fall behind.

    >>> from twisted.internet.task import Clock
    >>> shares = FairShares(Clock())
    >>> shares.asked("club", 1, 900)
    >>> shares.asked("league", 1, 300)
    >>> shares.served("club", 700)
    >>> shares.overloaded(), shares.over_share("club"), shares.over_share("league")
    (True, True, False)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._recent_by_account: dict[str, _Recent] = {}
        self._halved_at = clock.seconds()
        self._level_at = -LEVEL_SECONDS
        self._level = 0
        self._overloaded = False

    def asked(self, account: str, weight: int, tokens: int) -> None:
        """Count what an account asks for."""
        recent = self._recent_by_account.setdefault(account, _Recent(weight))
        recent.weight = max(1, weight)
        recent.asked += tokens

    def served(self, account: str, tokens: int) -> None:
        """Count what an account is given."""
        recent = self._recent_by_account.setdefault(account, _Recent(1))
        recent.served += tokens

    def overloaded(self) -> bool:
        """Tell whether clearly less was served than asked for."""
        self._refresh()
        return self._overloaded

    def over_share(self, account: str) -> bool:
        """Tell whether an account has been served beyond its fair share."""
        self._refresh()
        recent = self._recent_by_account.get(account)
        return recent is not None and recent.served > self._level * recent.weight

    def _refresh(self) -> None:
        now = self._clock.seconds()
        if now - self._level_at < LEVEL_SECONDS:
            return
        self._level_at = now
        while now - self._halved_at >= HALF_LIFE_SECONDS:
            self._halved_at += HALF_LIFE_SECONDS
            self._halve()
        recents = list(self._recent_by_account.values())
        asked = sum(recent.asked for recent in recents)
        served = sum(recent.served for recent in recents)
        self._overloaded = served * 100 < asked * OVERLOAD_PERCENT
        self._level = _water_level(recents, served)

    def _halve(self) -> None:
        for account, recent in list(self._recent_by_account.items()):
            recent.asked //= 2
            recent.served //= 2
            if not recent.asked and not recent.served:
                del self._recent_by_account[account]


def _water_level(recents: list[_Recent], capacity: int) -> int:
    """Return the tokens per weight at which max-min fair shares level off."""
    recents = sorted(recents, key=lambda recent: recent.asked / recent.weight)
    weights = sum(recent.weight for recent in recents)
    level = 0
    for recent in recents:
        level = capacity // weights
        if recent.asked > level * recent.weight:
            return level
        capacity -= recent.asked
        weights -= recent.weight
        if weights == 0:
            return recent.asked // recent.weight + 1
    return level
