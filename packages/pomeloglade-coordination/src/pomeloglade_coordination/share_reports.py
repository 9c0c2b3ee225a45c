"""Reports of loans to the owners that lent them, and their renewal."""

import itertools

from .clock import Clock
from .members import Member
from .peer import PeerSender
from .share_borrowing import Loan
from .share_lending import LOAN_LEASE_SECONDS
from .share_levels import OwnerLevels
from .share_messages import LoanRenewal, LoanReport


class LoanReports:
    """Sends reports of loans and renews their leases by the answers.

    Parameters
    ----------
    clock : IReactorTime
        Measures leases.
    own : Member
        The instance that holds the loans.
    sender : PeerSender
        Carries the reports.
    levels : OwnerLevels
        Told of tokens that go back.
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
        """Return what is left of loans and end them."""
        self.send([(loan, True) for loan in loans])

    def send(self, loans: list[tuple[Loan, bool]]) -> None:
        """Send one report to each lender; the flag tells whether a loan closes."""
        loans_by_lender: dict[tuple[str, int], list[tuple[Loan, bool]]] = {}
        for loan, closed in loans:
            key = (loan.lender, loan.lender_incarnation)
            loans_by_lender.setdefault(key, []).append((loan, closed))
        for (lender, incarnation), reported in loans_by_lender.items():
            self._send_to(lender, incarnation, reported)

    def renewed(self, lender: str, renewal: LoanRenewal) -> None:
        """Extend the leases of a report's open loans, from when it was sent."""
        sent, loans = self._sent_by_sequence.pop(renewal.sequence, (0.0, []))
        for loan in loans:
            if loan.lender == lender and loan.expires > self._clock.seconds():
                loan.expires = max(loan.expires, sent + LOAN_LEASE_SECONDS)

    def forget(self, before: float) -> None:
        """Forget reports sent before an instant; their answers come too late."""
        old = [n for n, (sent, _) in self._sent_by_sequence.items() if sent < before]
        for number in old:
            del self._sent_by_sequence[number]

    def _send_to(
        self, lender: str, incarnation: int, loans: list[tuple[Loan, bool]]
    ) -> None:
        sequence = next(self._sequences)
        states = tuple(loan.state(closed=closed) for loan, closed in loans)
        for loan, closed in loans:
            loan.reported = loan.spent
            if closed:
                loan.expires = float("-inf")
                returned = loan.free + loan.held
                self._levels.returned(loan.account, lender, returned)
        renewed = [loan for loan, closed in loans if not closed]
        if renewed:
            self._sent_by_sequence[sequence] = (self._clock.seconds(), renewed)
        message = LoanReport(self._own.incarnation, incarnation, sequence, states)
        self._sender.send(lender, message)
