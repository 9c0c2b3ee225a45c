"""State that an instance keeps for each account."""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from .bucket import Limit
from .refusals import Refusal
from .share_borrowing import Borrowed, Grant


@dataclass(slots=True)
class Waiter:
    """A request that waits for owners to answer."""

    tokens: int
    result: "Deferred[Grant | Refusal]"
    deadline: float
    rounds: int = 0


@dataclass(slots=True)
class Round:
    """Requests to owners whose answers are awaited together."""

    asked_by_request: dict[int, str] = field(default_factory=dict)
    timer: IDelayedCall | None = None


@dataclass(slots=True)
class Account:
    """What an instance holds of one account, and who waits for it."""

    name: str
    limit: Limit
    generation: int = 0
    lowered_revision: int = -1
    granted: int = 0
    borrowed: Borrowed = field(default_factory=Borrowed)
    waiters: deque[Waiter] = field(default_factory=deque)
    round: Round | None = None


@dataclass(frozen=True, slots=True)
class Asked:
    """A request to an owner that may still be answered."""

    account: str
    owner: str
    sent: float
