"""The owner's side of shares: buckets, and the loans taken from them."""

import heapq
from dataclasses import dataclass

from .bucket import Bucket, Limit
from .share_messages import LoanReport, LoanState

LOAN_LEASE_SECONDS = 4.0
"""Lease of a loan, measured by its borrower from when it sent the request."""

LOAN_HOLD_SECONDS = LOAN_LEASE_SECONDS * 1.03
"""How long the owner waits for a loan: covers two clocks 1% off, each its way."""


@dataclass(slots=True)
class _Lent:
    account: str
    borrower: str
    incarnation: int
    outstanding: int
    spent: int
    expires: float


class Lender:
    """The buckets of the parts that one instance owns, and its loans.

    Loans count against the burst of their bucket until they are spent,
    returned or expired; expired loans count as spent. The buckets of a new run
    are empty and refill only when the loans of an earlier run have expired.

    Parameters
    ----------
    start : float
        Instant in seconds at which this run began.
    """

    def __init__(self, start: float) -> None:
        self._refills_from = start + LOAN_HOLD_SECONDS
        self._buckets_by_account: dict[str, Bucket] = {}
        self._lent_by_id: dict[int, _Lent] = {}
        self._expiries: list[tuple[float, int]] = []
        self._next_loan = 1
        self.expired_tokens = 0

    def bucket(self, account: str, now: float) -> Bucket | None:
        """Return the bucket of ``account`` with expired loans settled."""
        self._expire(now)
        return self._buckets_by_account.get(account)

    def configure(self, account: str, limit: Limit, now: float) -> None:
        """Put the limit of this instance's part in force."""
        self._expire(now)
        bucket = self._buckets_by_account.get(account)
        if bucket is not None:
            bucket.change(limit, now)
            return
        start = max(now, self._refills_from)
        self._buckets_by_account[account] = Bucket(limit, start)

    def lend(
        self, account: str, borrower: str, incarnation: int, tokens: int, now: float
    ) -> tuple[int, int]:
        """Lend up to ``tokens`` and return the loan's id and its tokens."""
        bucket = self.bucket(account, now)
        if bucket is None:
            return 0, 0
        lent = max(0, min(tokens, bucket.available(now)))
        if lent == 0:
            return 0, 0
        bucket.take(lent)
        loan = self._next_loan
        self._next_loan += 1
        expires = now + LOAN_HOLD_SECONDS
        self._lent_by_id[loan] = _Lent(account, borrower, incarnation, lent, 0, expires)
        heapq.heappush(self._expiries, (expires, loan))
        return loan, lent

    def report(self, borrower: str, report: LoanReport, now: float) -> bool:
        """Settle and renew loans; return whether all open ones are renewed."""
        self._expire(now)
        renewed = True
        for state in report.loans:
            lent = self._lent_by_id.get(state.loan)
            if (
                lent is None
                or lent.borrower != borrower
                or lent.incarnation != report.incarnation
            ):
                renewed = renewed and state.closed
                continue
            self._settle(state, lent, now)
        return renewed

    def _settle(self, state: LoanState, lent: _Lent, now: float) -> None:
        bucket = self._buckets_by_account[lent.account]
        spent = min(max(0, state.spent - lent.spent), lent.outstanding)
        bucket.settle(now, spent=spent)
        lent.outstanding -= spent
        lent.spent += spent
        if not state.closed:
            lent.expires = now + LOAN_HOLD_SECONDS
            return
        unspent = min(state.returned, lent.outstanding)
        bucket.settle(now, spent=lent.outstanding - unspent, unspent=unspent)
        del self._lent_by_id[state.loan]

    def _expire(self, now: float) -> None:
        """Settle expired loans in order, each at the instant it expired."""
        while self._expiries and self._expiries[0][0] <= now:
            expires, loan = heapq.heappop(self._expiries)
            lent = self._lent_by_id.get(loan)
            if lent is None:
                continue
            if lent.expires > expires:
                heapq.heappush(self._expiries, (lent.expires, loan))
                continue
            self._buckets_by_account[lent.account].settle(
                expires, spent=lent.outstanding
            )
            self.expired_tokens += lent.outstanding
            del self._lent_by_id[loan]
