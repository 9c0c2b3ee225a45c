"""The owner's side of shares: its buckets and the loans made from them."""

import heapq
from dataclasses import dataclass

from .bucket import Bucket, Limit
from .share_messages import LoanReport, LoanState

LOAN_LEASE_SECONDS = 4.0
"""Lease of a loan as its borrower measures it, from sending the request."""

LENDER_LEASE_SECONDS = LOAN_LEASE_SECONDS * 1.03
"""Lease of a loan as its lender measures it, from making the loan.

It is longer so that the lender's lease ends last even if the lender's clock runs 1%
fast and the borrower's 1% slow.
"""


@dataclass(slots=True)
class _LoanRecord:
    account: str
    borrower: str
    incarnation: int
    outstanding: int
    spent: int
    expires: float


class Lender:
    """The buckets of the parts that one instance owns, and the loans from them.

    Loans count against the burst of their bucket until they are spent,
    returned or expired; expired loans count as spent. After a restart the buckets
    are empty, and refill only once all loans of the earlier run have expired.

    Parameters
    ----------
    start : float
        Instant in seconds at which this run began.
    """

    def __init__(self, start: float) -> None:
        self._refills_from = start + LENDER_LEASE_SECONDS
        self._buckets_by_account: dict[str, Bucket] = {}
        self._loans_by_id: dict[int, _LoanRecord] = {}
        self._expiries: list[tuple[float, int]] = []
        self._next_loan = 1
        self.expired_tokens = 0

    def bucket(self, account: str, now: float) -> Bucket | None:
        """Return the bucket of ``account``, after counting expired loans as spent."""
        self._expire(now)
        return self._buckets_by_account.get(account)

    def configure(self, account: str, limit: Limit, now: float) -> None:
        """Apply the limit of this instance's part of ``account``."""
        self._expire(now)
        bucket = self._buckets_by_account.get(account)
        if bucket is not None:
            bucket.set_limit(limit, now)
            return
        start = max(now, self._refills_from)
        self._buckets_by_account[account] = Bucket(limit, start)

    def lend(
        self, account: str, borrower: str, incarnation: int, tokens: int, now: float
    ) -> tuple[int, int]:
        """Lend up to ``tokens``; return the loan's id and size, both 0 for no loan."""
        bucket = self.bucket(account, now)
        if bucket is None:
            return 0, 0
        lent = max(0, min(tokens, bucket.available(now)))
        if lent == 0:
            return 0, 0
        bucket.reserve(lent)
        loan = self._next_loan
        self._next_loan += 1
        expires = now + LENDER_LEASE_SECONDS
        self._loans_by_id[loan] = _LoanRecord(
            account, borrower, incarnation, lent, 0, expires
        )
        heapq.heappush(self._expiries, (expires, loan))
        return loan, lent

    def apply_report(self, borrower: str, report: LoanReport, now: float) -> bool:
        """Record spending, and renew or close loans.

        Returns whether all loans that the report leaves open were renewed.
        """
        self._expire(now)
        renewed = True
        for state in report.loans:
            record = self._loans_by_id.get(state.loan)
            if (
                record is None
                or record.borrower != borrower
                or record.incarnation != report.incarnation
            ):
                renewed = renewed and state.closed
                continue
            self._apply_state(state, record, now)
        return renewed

    def _apply_state(self, state: LoanState, record: _LoanRecord, now: float) -> None:
        bucket = self._buckets_by_account[record.account]
        spent = min(max(0, state.spent - record.spent), record.outstanding)
        bucket.release(now, spent=spent)
        record.outstanding -= spent
        record.spent += spent
        if not state.closed:
            record.expires = now + LENDER_LEASE_SECONDS
            return
        unspent = min(state.returned, record.outstanding)
        bucket.release(now, spent=record.outstanding - unspent, unspent=unspent)
        del self._loans_by_id[state.loan]

    def _expire(self, now: float) -> None:
        """Count expired loans as spent, in order, each at the instant it expired."""
        while self._expiries and self._expiries[0][0] <= now:
            expires, loan = heapq.heappop(self._expiries)
            record = self._loans_by_id.get(loan)
            if record is None:
                continue
            if record.expires > expires:
                heapq.heappush(self._expiries, (record.expires, loan))
                continue
            self._buckets_by_account[record.account].release(
                expires, spent=record.outstanding
            )
            self.expired_tokens += record.outstanding
            del self._loans_by_id[loan]
