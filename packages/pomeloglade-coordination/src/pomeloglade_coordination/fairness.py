"""Weighted fair queueing over accounts, in tokens."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

VIRTUAL_TOKENS = 1 << 20
"""Virtual time of one token at weight 1, so that integers divide by weights."""

PATIENT_SHARE_PERCENT = 10
"""Share of the served tokens that patient requests get while they wait."""


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
        if patient and self._patient_credit >= patient[0].cost * 100:
            yield patient[0]
            yield from interactive
            yield from patient[1:]
            return
        yield from interactive
        yield from patient

    def _class_of(self, queued: QueuedRequest) -> _FairClass:
        return self._patient if queued.patient else self._interactive
