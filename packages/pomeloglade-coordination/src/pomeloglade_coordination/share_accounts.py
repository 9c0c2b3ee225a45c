"""State that an instance keeps for each account's limit."""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from .bucket import Limit
from .refusals import Refusal
from .share_borrowing import BorrowedLoans, Grant


@dataclass(slots=True)
class Waiter:
    """A request that waits for the answers of owners."""

    tokens: int
    result: "Deferred[Grant | Refusal]"
    deadline: float
    rounds: int = 0


@dataclass(slots=True)
class Round:
    """Loan requests that were sent together and share one timeout."""

    owners_by_request: dict[int, str] = field(default_factory=dict)
    timer: IDelayedCall | None = None


@dataclass(slots=True)
class AccountState:
    """The limit and loans of one account, and the requests that wait for tokens.

    ``generation`` grows whenever the burst becomes lower; grants of an earlier
    generation are void. ``granted_this_tick`` counts tokens.
    """

    name: str
    limit: Limit
    generation: int = 0
    burst_lowered_revision: int = -1
    granted_this_tick: int = 0
    borrowed: BorrowedLoans = field(default_factory=BorrowedLoans)
    waiters: deque[Waiter] = field(default_factory=deque)
    round: Round | None = None


@dataclass(frozen=True, slots=True)
class PendingLoanRequest:
    """A loan request to an owner that may still be answered."""

    account: str
    owner: str
    sent_at: float
