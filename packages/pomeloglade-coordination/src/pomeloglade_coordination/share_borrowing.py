"""The borrower's side of shares: its loans, and the tokens behind grants."""

import enum
from dataclasses import dataclass, field

from .share_lending import LOAN_LEASE_SECONDS
from .share_messages import LoanState


@dataclass(slots=True)
class Loan:
    """Tokens borrowed from one owner: free, held by grants, or spent.

    ``drawn_recently`` is true if a grant has drawn on the loan since the last tick.
    ``reported_spent`` is the number of spent tokens in the last report to the lender.
    """

    account: str
    lender: str
    lender_incarnation: int
    number: int
    expires: float
    free: int
    held: int = 0
    spent: int = 0
    drawn_recently: bool = True
    reported_spent: int = 0

    def to_message(self, *, closed: bool) -> LoanState:
        """Return the message that reports this loan to its lender."""
        returned = self.free + self.held if closed else 0
        return LoanState(self.number, self.spent, returned, closed)


class EscrowState(enum.Enum):
    """State of a grant's tokens; ``CLOSED`` means returned unspent or refunded."""

    HELD = "held"
    SPENT = "spent"
    CLOSED = "closed"


@dataclass(slots=True)
class Escrow:
    """The sources of one grant's tokens: this instance's bucket and its loans.

    ``generation`` is that of the account when the grant was made.
    """

    generation: int
    own_tokens: int
    loans: list[tuple[Loan, int]]
    state: EscrowState = EscrowState.HELD

    def lapsed(self, now: float) -> bool:
        """Return whether the lease of one of the loans has lapsed."""
        return any(loan.expires <= now for loan, _ in self.loans)


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens of an account that one request may spend.

    Call ``Shares.confirm`` just before dispatch, and ``Shares.refund`` with the
    number of unused tokens once the request has ended. A grant that is never
    dispatched is refunded without being confirmed.
    """

    account: str
    tokens: int
    escrow: Escrow = field(compare=False, repr=False)


@dataclass(slots=True)
class BorrowedLoans:
    """The loans of one account that this instance has borrowed.

    ``drawn`` and ``drawn_last_tick`` count the tokens that grants drew.
    """

    loans: list[Loan] = field(default_factory=list)
    drawn: int = 0
    drawn_last_tick: int = 0

    def available(self, now: float) -> int:
        """Return how many tokens are free in loans whose lease has not lapsed."""
        return sum(loan.free for loan in self.loans if loan.expires > now)

    def draw(self, tokens: int, now: float) -> list[tuple[Loan, int]]:
        """Hold up to ``tokens``; return the loans drawn on, with the tokens of each."""
        drawn = []
        for loan in self.loans:
            taken = min(tokens, loan.free) if loan.expires > now else 0
            if taken == 0:
                continue
            loan.free -= taken
            loan.held += taken
            loan.drawn_recently = True
            tokens -= taken
            self.drawn += taken
            drawn.append((loan, taken))
        return drawn

    def close_idle(self, now: float, *, close_all: bool = False) -> list[Loan]:
        """Drop lapsed loans; remove and return those to close with their lender.

        A loan that no grant holds is closed if it has no free tokens left, or if no
        grant has drawn on it since the previous call. With ``close_all``, every
        loan is closed, including those that grants hold.
        """
        closed = []
        kept = []
        for loan in self.loans:
            if loan.expires <= now:
                continue
            idle = loan.held == 0 and (loan.free == 0 or not loan.drawn_recently)
            (closed if close_all or idle else kept).append(loan)
            loan.drawn_recently = False
        self.loans = kept
        return closed

    def close_unheld(self, now: float) -> list[Loan]:
        """Remove the loans that no grant holds; return those that have not lapsed."""
        closed = [loan for loan in self.loans if loan.held == 0 and loan.expires > now]
        self.loans = [loan for loan in self.loans if loan.held > 0]
        return closed


def renewal_due(loan: Loan, now: float) -> bool:
    """Return whether less than half of the loan's lease is left."""
    return loan.expires - now < LOAN_LEASE_SECONDS / 2
