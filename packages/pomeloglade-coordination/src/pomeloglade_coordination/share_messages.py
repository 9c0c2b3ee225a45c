"""Messages between the holders and owners of shares."""

from dataclasses import dataclass

from .peer import PeerMessage


@dataclass(frozen=True, slots=True)
class LoanRequest(PeerMessage):
    """Asks an owner for up to ``tokens`` of its part of an account."""

    account: str
    incarnation: int
    request: int
    tokens: int


@dataclass(frozen=True, slots=True)
class LoanGrant(PeerMessage):
    """Answers a request; ``tokens`` may be fewer than asked for, or 0.

    ``available`` is what the owner has left, ``reserved`` what others hold of its
    part, and ``revision`` that of the limits under which it lent.
    """

    account: str
    incarnation: int
    request: int
    lender_incarnation: int
    loan: int
    tokens: int
    available: int
    reserved: int
    revision: int


@dataclass(frozen=True, slots=True)
class LoanState(PeerMessage):
    """The total spent of one loan, and the rest when the loan is closed."""

    loan: int
    spent: int
    returned: int
    closed: bool


@dataclass(frozen=True, slots=True)
class LoanReport(PeerMessage):
    """Tells an owner how its loans stand and renews those that are open."""

    incarnation: int
    lender_incarnation: int
    sequence: int
    loans: tuple[LoanState, ...]


@dataclass(frozen=True, slots=True)
class LoanRenewal(PeerMessage):
    """Confirms that the open loans of a report are renewed."""

    incarnation: int
    sequence: int
