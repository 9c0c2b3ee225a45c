"""The borrower's side of shares: loans held, and the escrow behind grants."""

import enum
from dataclasses import dataclass, field

from .share_lending import LOAN_LEASE_SECONDS
from .share_messages import LoanState


@dataclass(slots=True)
class Loan:
    """Tokens borrowed from one owner: free, held by grants, or spent."""

    account: str
    lender: str
    lender_incarnation: int
    number: int
    expires: float
    free: int
    held: int = 0
    spent: int = 0
    used: bool = True
    reported: int = 0

    def state(self, *, closed: bool) -> LoanState:
        """Return what the owner is to know of this loan."""
        returned = self.free + self.held if closed else 0
        return LoanState(self.number, self.spent, returned, closed)


class EscrowState(enum.Enum):
    """The life of the tokens behind a grant."""

    HELD = "held"
    SPENT = "spent"
    CLOSED = "closed"


@dataclass(slots=True)
class Escrow:
    """Where the tokens of one grant came from."""

    generation: int
    own_tokens: int
    loans: list[tuple[Loan, int]]
    state: EscrowState = EscrowState.HELD

    def lapsed(self, now: float) -> bool:
        """Return whether a lease behind these tokens has lapsed."""
        return any(loan.expires <= now for loan, _ in self.loans)


@dataclass(frozen=True, slots=True)
class Grant:
    """Tokens of an account that one request may spend.

    Call ``Shares.confirm`` just before dispatch and ``Shares.refund`` with what
    was not used; a grant that is never dispatched is refunded without confirming.
    """

    account: str
    tokens: int
    escrow: Escrow = field(compare=False, repr=False)


@dataclass(slots=True)
class Borrowed:
    """The loans that one instance holds of one account."""

    loans: list[Loan] = field(default_factory=list)
    drawn: int = 0
    drawn_before: int = 0

    def available(self, now: float) -> int:
        """Return the free tokens of loans whose lease has not lapsed."""
        return sum(loan.free for loan in self.loans if loan.expires > now)

    def draw(self, tokens: int, now: float) -> list[tuple[Loan, int]]:
        """Hold up to ``tokens`` and return from which loans."""
        drawn = []
        for loan in self.loans:
            taken = min(tokens, loan.free) if loan.expires > now else 0
            if taken == 0:
                continue
            loan.free -= taken
            loan.held += taken
            loan.used = True
            tokens -= taken
            self.drawn += taken
            drawn.append((loan, taken))
        return drawn

    def close_idle(self, now: float, *, everything: bool = False) -> list[Loan]:
        """Drop lapsed loans; remove and return those to close with their owner.

        Loans that are used up, or that no grant has drawn from since the call
        before, are closed. With ``everything`` all are, held ones included.
        """
        closed = []
        kept = []
        for loan in self.loans:
            if loan.expires <= now:
                continue
            idle = loan.held == 0 and (loan.free == 0 or not loan.used)
            (closed if everything or idle else kept).append(loan)
            loan.used = False
        self.loans = kept
        return closed

    def close_unheld(self, now: float) -> list[Loan]:
        """Remove and return the loans that no grant holds."""
        closed = [loan for loan in self.loans if loan.held == 0 and loan.expires > now]
        self.loans = [loan for loan in self.loans if loan.held > 0]
        return closed


def renewal_due(loan: Loan, now: float) -> bool:
    """Return whether less than half of the loan's lease is left."""
    return loan.expires - now < LOAN_LEASE_SECONDS / 2
