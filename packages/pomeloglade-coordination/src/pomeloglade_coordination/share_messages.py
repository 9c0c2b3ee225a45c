"""Messages between the borrowers and the owners of shares."""

from dataclasses import dataclass

from .peer import PeerMessage


@dataclass(frozen=True, slots=True)
class LoanRequest(PeerMessage):
    """Requests a loan of up to ``tokens`` from an owner's part of an account."""

    account: str
    incarnation: int
    request: int
    tokens: int


@dataclass(frozen=True, slots=True)
class LoanGrant(PeerMessage):
    """Answers a loan request; ``tokens`` may be fewer than requested, or 0.

    ``available`` counts the tokens that the owner has left, and ``reserved`` those
    of its part that are reserved besides this loan. ``revision`` is that of the
    limits that the owner had applied when it lent.
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
    """Total tokens spent of one loan so far, and those returned if it is closed."""

    loan: int
    spent: int
    returned: int
    closed: bool


@dataclass(frozen=True, slots=True)
class LoanReport(PeerMessage):
    """Reports the state of loans to their lender, to renew those that are open."""

    incarnation: int
    lender_incarnation: int
    sequence: int
    loans: tuple[LoanState, ...]


@dataclass(frozen=True, slots=True)
class LoanRenewal(PeerMessage):
    """Confirms that the open loans of a report are renewed."""

    incarnation: int
    sequence: int
