"""Loan reports to lenders, and the renewal of leases by their answers."""

import itertools

from .clock import Clock
from .members import Member
from .peer import PeerSender
from .share_borrowing import Loan
from .share_lending import LOAN_LEASE_SECONDS
from .share_levels import OwnerLevels
from .share_messages import LoanRenewal, LoanReport


class LoanReports:
    """Reports loans to their lenders and extends leases when they answer.

    Parameters
    ----------
    clock : IReactorTime
        Measures leases.
    own : Member
        The instance that holds the loans.
    sender : PeerSender
        Carries the reports.
    levels : OwnerLevels
        Updated with the tokens that are returned.
    """

    def __init__(
        self, clock: Clock, own: Member, sender: PeerSender, levels: OwnerLevels
    ) -> None:
        self._clock = clock
        self._own = own
        self._sender = sender
        self._levels = levels
        self._sequences = itertools.count(1)
        self._sent_by_sequence: dict[int, tuple[float, list[Loan]]] = {}

    def close(self, loans: list[Loan]) -> None:
        """Close loans, returning their unspent tokens to the lenders."""
        self.send([(loan, True) for loan in loans])

    def send(self, loans: list[tuple[Loan, bool]]) -> None:
        """Send one report to each lender; a loan with a true flag is closed."""
        loans_by_lender: dict[tuple[str, int], list[tuple[Loan, bool]]] = {}
        for loan, closed in loans:
            key = (loan.lender, loan.lender_incarnation)
            loans_by_lender.setdefault(key, []).append((loan, closed))
        for (lender, incarnation), reported in loans_by_lender.items():
            self._send_to(lender, incarnation, reported)

    def apply_renewal(self, lender: str, renewal: LoanRenewal) -> None:
        """Extend the leases of a report's open loans, from the time it was sent."""
        sent, loans = self._sent_by_sequence.pop(renewal.sequence, (0.0, []))
        for loan in loans:
            if loan.lender == lender and loan.expires > self._clock.seconds():
                loan.expires = max(loan.expires, sent + LOAN_LEASE_SECONDS)

    def discard_before(self, instant: float) -> None:
        """Discard reports sent before an instant; answers to them are ignored."""
        old = [n for n, (sent, _) in self._sent_by_sequence.items() if sent < instant]
        for number in old:
            del self._sent_by_sequence[number]

    def _send_to(
        self, lender: str, incarnation: int, loans: list[tuple[Loan, bool]]
    ) -> None:
        sequence = next(self._sequences)
        states = tuple(loan.to_message(closed=closed) for loan, closed in loans)
        for loan, closed in loans:
            loan.reported_spent = loan.spent
            if closed:
                loan.expires = float("-inf")
                returned = loan.free + loan.held
                self._levels.record_returned(loan.account, lender, returned)
        renewed = [loan for loan, closed in loans if not closed]
        if renewed:
            self._sent_by_sequence[sequence] = (self._clock.seconds(), renewed)
        message = LoanReport(self._own.incarnation, incarnation, sequence, states)
        self._sender.send(lender, message)
