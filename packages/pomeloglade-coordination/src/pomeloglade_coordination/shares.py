"""Rate limits of accounts, divided into shares that their owners lend."""

import itertools
import random
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from functools import singledispatchmethod

from twisted.internet.defer import Deferred, succeed

from .bucket import Limit
from .clock import Clock, nonnegative_timedelta
from .members import MembershipView
from .peer import PeerMessage, PeerSender
from .refusals import Reason, Refusal, Step
from .share_accounts import AccountState, PendingLoanRequest, Round, Waiter
from .share_borrowing import (
    Escrow,
    EscrowState,
    Grant,
    Loan,
    renewal_due,
)
from .share_events import ShareEvent
from .share_lending import LOAN_LEASE_SECONDS, Lender
from .share_levels import OwnerLevels
from .share_messages import (
    LoanGrant,
    LoanRenewal,
    LoanReport,
    LoanRequest,
)
from .share_owners import FixedOwners, OwnedPart, Owners
from .share_reports import LoanReports

TICK_SECONDS = 0.25
"""Interval at which ``Shares.tick`` is to be called."""

ROUND_TIMEOUT_SECONDS = 0.05
"""How long an instance waits for the answers to one round of loan requests."""

MAX_BACKOFF_SECONDS = 0.02
"""Longest random delay before a retry when other instances hold missing tokens."""

PREFETCH_MARGIN = 0.1
"""How much fuller another bucket must be, as a fraction, to prefetch from it."""

PREFETCH_THRESHOLD = 0.5
"""Filled fraction of this instance's bucket below which tokens are prefetched."""

MAX_ROUNDS = 3
"""Most rounds of loan requests to owners for one waiting request."""


class Shares:
    """Enforces each account's rate and burst over the whole fleet.

    Every account's rate and burst are divided over the availability zones, and
    within each zone over the account's owners. Owners lend tokens on demand to the
    instances that need them, under leases. See ``docs/design/budget.md``.

    Parameters
    ----------
    clock : IReactorTime
        Measures leases and refills.
    members : MembershipView
        This instance and the live ones; only live owners are asked for loans.
    sender : PeerSender
        Sends messages to other instances.
    owners : Owners, optional
        Assigns parts to owners. By default a fixed assignment over the members
        that are live now, which is correct only if the membership is complete
        and never changes.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        sender: PeerSender,
        owners: Owners | None = None,
    ) -> None:
        self._clock = clock
        self._own = members.own
        self._sender = sender
        self._owners = owners or FixedOwners.from_members(members)
        self._random = random.Random(self._own.instance)
        self._levels = OwnerLevels(self._owners, members)
        self._reports = LoanReports(clock, self._own, sender, self._levels)
        self._lender = Lender(clock.seconds())
        self._accounts_by_name: dict[str, AccountState] = {}
        self._pending_by_request: dict[int, PendingLoanRequest] = {}
        self._request_numbers = itertools.count(1)
        self._revision = -1
        self._counts: Counter[ShareEvent] = Counter()

    def configure(self, limits_by_account: Mapping[str, Limit], revision: int) -> None:
        """Apply limits if their revision is newer than the last one applied.

        An account that is absent gets a limit of zero. Where a burst becomes
        lower, loans are returned and unconfirmed grants become void, so that the
        new limit holds as soon as all instances have applied it.
        """
        if revision <= self._revision:
            return
        self._revision = revision
        for name in self._accounts_by_name.keys() | limits_by_account.keys():
            self._set_limit(name, limits_by_account.get(name, Limit(0, 0)))

    def acquire(
        self, account: str, tokens: int, timeout: timedelta
    ) -> "Deferred[Grant | Refusal]":
        """Return a grant of ``tokens``, or a refusal.

        No message is sent if this instance holds enough tokens. Otherwise it asks
        owners for loans, for at most ``timeout``. It does not wait for buckets to
        refill, but refuses with the time that this takes as ``retry_after``.
        """
        if tokens < 0:
            raise ValueError(f"tokens must not be negative, got {tokens}")
        state = self._accounts_by_name.get(account)
        if state is None or tokens > state.limit.burst:
            self._counts[ShareEvent.REFUSED_OVER_BURST] += 1
            return succeed(Refusal(Reason.OVER_BURST, Step.ADMIT))
        if not state.waiters:
            grant = self._grant(state, tokens)
            if grant is not None:
                return succeed(grant)
            if self._cannot_gather(state, tokens):
                self._counts[ShareEvent.REFUSED_WITHOUT_ASKING] += 1
                return succeed(self._refuse_over_rate(state, tokens))
        now = self._clock.seconds()
        waiter = Waiter(tokens, Deferred(), now + timeout.total_seconds())
        state.waiters.append(waiter)
        if state.round is None:
            self._start_round(state)
        return waiter.result

    def confirm(self, grant: Grant) -> bool:
        """Mark a grant's tokens as spent, just before the request is dispatched.

        Returns ``False`` if the lease of a loan behind the grant has lapsed, if the
        account's burst was lowered, or if the grant was refunded before. The
        request must then not be dispatched on this grant.
        """
        escrow = grant.escrow
        if escrow.state is not EscrowState.HELD:
            return escrow.state is EscrowState.SPENT
        state = self._accounts_by_name[grant.account]
        now = self._clock.seconds()
        if escrow.generation != state.generation or escrow.lapsed(now):
            self._counts[ShareEvent.LEASE_LAPSED] += 1
            self._return_unconfirmed(grant, now)
            return False
        escrow.state = EscrowState.SPENT
        if escrow.own_tokens:
            bucket = self._lender.bucket(grant.account, now)
            bucket.release(now, spent=escrow.own_tokens)
        for loan, tokens in escrow.loans:
            loan.held -= tokens
            loan.spent += tokens
        return True

    def refund(self, grant: Grant, unused: int) -> None:
        """Return the unused tokens of a grant; only the first call has an effect.

        A grant that was not confirmed is returned whole. After ``confirm`` the
        tokens go into the bucket of this instance's own part at once, up to its
        burst. If they were sent to the owner that lent them, they would arrive
        later, when its bucket may have room that it lacked at the refund, and
        more than the burst could be spent after the refund.
        """
        if unused < 0:
            raise ValueError(f"unused must not be negative, got {unused}")
        escrow = grant.escrow
        now = self._clock.seconds()
        if escrow.state is EscrowState.HELD:
            self._return_unconfirmed(grant, now)
            return
        if escrow.state is EscrowState.CLOSED:
            return
        escrow.state = EscrowState.CLOSED
        unused = min(unused, grant.tokens)
        if unused == 0:
            return
        self._counts[ShareEvent.REFUNDED] += 1
        bucket = self._lender.bucket(grant.account, now)
        if bucket is not None:
            bucket.refill(now)
            bucket.add(unused)

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message from ``instance``."""
        self._levels.mark_responsive(instance)
        self._handle(message, instance)

    def tick(self) -> None:
        """Return idle loans, report spent tokens, renew leases, and prefetch."""
        now = self._clock.seconds()
        reported: list[tuple[Loan, bool]] = []
        for state in self._accounts_by_name.values():
            borrowed = state.borrowed
            borrowed.drawn_last_tick, borrowed.drawn = borrowed.drawn, 0
            closed = borrowed.close_idle(now)
            reported += [(loan, True) for loan in closed]
            reported += [
                (loan, False)
                for loan in borrowed.loans
                if loan.spent > loan.reported_spent or renewal_due(loan, now)
            ]
        self._reports.send(reported)
        self._discard_unanswered(now)
        for state in self._accounts_by_name.values():
            granted, state.granted_this_tick = state.granted_this_tick, 0
            if granted and state.round is None:
                self._prefetch(state, granted, now)

    def return_loans(self) -> None:
        """Return all loans, for a graceful shutdown after the last request."""
        now = self._clock.seconds()
        for state in self._accounts_by_name.values():
            self._reports.close(state.borrowed.close_idle(now, close_all=True))

    def counters(self) -> Mapping[ShareEvent, int]:
        """Return how often each event has occurred."""
        return dict(self._counts)

    def _set_limit(self, name: str, limit: Limit) -> None:
        now = self._clock.seconds()
        state = self._accounts_by_name.get(name)
        if state is None:
            state = self._accounts_by_name[name] = AccountState(name, limit)
        if limit.burst < state.limit.burst:
            state.generation += 1
            state.burst_lowered_revision = self._revision
            self._reports.close(state.borrowed.close_idle(now, close_all=True))
        state.limit = limit
        part = self._own_part(name)
        if part is not None:
            self._lender.configure(name, part.limit(limit), now)

    def _own_part(self, account: str) -> OwnedPart | None:
        for part in self._owners.parts(account):
            if part.instance == self._own.instance:
                return part
        return None

    def _own_available(self, state: AccountState, now: float) -> int:
        bucket = self._lender.bucket(state.name, now)
        return bucket.available(now) if bucket is not None else 0

    def _available(self, state: AccountState, now: float) -> int:
        return self._own_available(state, now) + state.borrowed.available(now)

    def _grant(self, state: AccountState, tokens: int) -> Grant | None:
        now = self._clock.seconds()
        if self._available(state, now) < tokens:
            return None
        drawn = state.borrowed.draw(tokens, now)
        own = tokens - sum(taken for _, taken in drawn)
        if own:
            self._lender.bucket(state.name, now).reserve(own)
        event = ShareEvent.GRANTED_WITH_LOANS if drawn else ShareEvent.GRANTED_LOCALLY
        self._counts[event] += 1
        state.granted_this_tick += tokens
        return Grant(state.name, tokens, Escrow(state.generation, own, drawn))

    def _return_unconfirmed(self, grant: Grant, now: float) -> None:
        escrow = grant.escrow
        escrow.state = EscrowState.CLOSED
        if escrow.own_tokens:
            bucket = self._lender.bucket(grant.account, now)
            bucket.release(now, unspent=escrow.own_tokens)
        for loan, tokens in escrow.loans:
            loan.held -= tokens
            loan.free += tokens

    def _refuse_over_rate(self, state: AccountState, tokens: int) -> Refusal:
        self._counts[ShareEvent.REFUSED_OVER_RATE] += 1
        now = self._clock.seconds()
        held = self._total_estimate(state, now)
        missing = max(1, tokens - held)
        wait = (
            nonnegative_timedelta(missing / state.limit.rate)
            if state.limit.rate
            else None
        )
        return Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=wait)

    def _total_estimate(self, state: AccountState, now: float) -> int:
        others = self._levels.total_estimate(state.name, state.limit, now)
        return self._available(state, now) + others

    def _cannot_gather(self, state: AccountState, tokens: int) -> bool:
        """Return whether all estimated and reserved tokens together are too few."""
        now = self._clock.seconds()
        reserved = self._levels.total_reserved(state.name, now)
        return self._total_estimate(state, now) + reserved < tokens

    def _start_round(self, state: AccountState) -> None:
        """Ask owners for loans that cover the waiting requests.

        The first round asks as few owners as suffice by the estimates. Later rounds
        ask every responsive owner that is estimated to have tokens for all that is
        missing; loans that are not needed are returned at the end of the round.
        """
        now = self._clock.seconds()
        needed = sum(waiter.tokens for waiter in state.waiters)
        missing = min(needed, state.limit.burst) - self._available(state, now)
        missing += state.borrowed.drawn_last_tick
        state.round = current = Round()
        state.waiters[0].rounds += 1
        self._counts[ShareEvent.ROUND] += 1
        estimates = [
            (
                self._levels.estimate(state.name, state.limit, part, now),
                part.instance,
            )
            for part in self._levels.responsive_parts(state.name, now)
        ]
        for estimate, owner in sorted(estimates, reverse=True):
            if missing <= 0 or estimate <= 0:
                break
            self._request_loan(state, owner, min(missing, estimate), now)
            if state.waiters[0].rounds == 1:
                missing -= estimate
        if not current.owners_by_request:
            self._end_round(state)
            return
        left = state.waiters[0].deadline - now
        wait = max(0.0, min(ROUND_TIMEOUT_SECONDS, left))
        current.timer = self._clock.callLater(wait, self._round_timed_out, state)

    def _request_loan(
        self, state: AccountState, owner: str, tokens: int, now: float
    ) -> None:
        number = next(self._request_numbers)
        state.round.owners_by_request[number] = owner
        self._pending_by_request[number] = PendingLoanRequest(state.name, owner, now)
        message = LoanRequest(state.name, self._own.incarnation, number, tokens)
        self._sender.send(owner, message)

    def _prefetch(self, state: AccountState, granted: int, now: float) -> None:
        """Borrow the next tick's demand from a fuller bucket of another owner.

        The fullest is chosen, since a bucket does not refill while it is full.
        """
        own = self._own_part(state.name)
        burst = own.limit(state.limit).burst if own else 0
        own_fraction = self._own_available(state, now) / burst if burst else 0.0
        if burst and own_fraction >= PREFETCH_THRESHOLD:
            return
        fullest = None
        highest = own_fraction + PREFETCH_MARGIN
        for part in self._levels.responsive_parts(state.name, now):
            estimate = self._levels.estimate(state.name, state.limit, part, now)
            fraction = estimate / max(1, part.limit(state.limit).burst)
            if fraction > highest:
                fullest, highest = part, fraction
        wanted = granted - state.borrowed.available(now)
        if fullest is None or wanted <= 0:
            return
        number = next(self._request_numbers)
        self._pending_by_request[number] = PendingLoanRequest(
            state.name, fullest.instance, now
        )
        message = LoanRequest(state.name, self._own.incarnation, number, wanted)
        self._sender.send(fullest.instance, message)

    def _round_timed_out(self, state: AccountState) -> None:
        self._counts[ShareEvent.ROUND_TIMED_OUT] += 1
        now = self._clock.seconds()
        for owner in state.round.owners_by_request.values():
            self._levels.mark_unresponsive(owner, now)
        state.round.timer = None
        self._end_round(state)

    def _end_round(self, state: AccountState) -> None:
        """Grant or refuse the waiting requests in order, until one needs more loans."""
        if state.round.timer is not None:
            state.round.timer.cancel()
        state.round = None
        asked_every_owner = bool(state.waiters) and state.waiters[0].rounds > 1
        answered: list[tuple[Waiter, Grant | Refusal]] = []
        while state.waiters:
            waiter = state.waiters[0]
            result = self._grant_waiter(state, waiter)
            if result is None and self._may_retry_round(state, waiter):
                self._retry_round(state, waiter)
                break
            if result is None:
                result = self._refuse_over_rate(state, waiter.tokens)
            state.waiters.popleft()
            answered.append((waiter, result))
        refused = any(isinstance(result, Refusal) for _, result in answered)
        if state.round is None and (asked_every_owner or refused):
            now = self._clock.seconds()
            self._reports.close(state.borrowed.close_unheld(now))
        for waiter, result in answered:
            waiter.result.callback(result)

    def _grant_waiter(self, state: AccountState, waiter: Waiter) -> Grant | None:
        if waiter.tokens > state.limit.burst:
            return None
        return self._grant(state, waiter.tokens)

    def _may_retry_round(self, state: AccountState, waiter: Waiter) -> bool:
        if waiter.rounds >= MAX_ROUNDS or waiter.tokens > state.limit.burst:
            return False
        if self._clock.seconds() >= waiter.deadline:
            return False
        return not self._cannot_gather(state, waiter.tokens)

    def _retry_round(self, state: AccountState, waiter: Waiter) -> None:
        """Start another round, after a delay if other instances hold missing tokens."""
        now = self._clock.seconds()
        if self._total_estimate(state, now) >= waiter.tokens:
            self._start_round(state)
            return
        self._counts[ShareEvent.ROUND_RETRIED] += 1
        self._reports.close(state.borrowed.close_unheld(now))
        self._levels.discard(state.name)
        state.round = Round()
        wait = min(
            MAX_BACKOFF_SECONDS * self._random.uniform(0.25, 1.0), waiter.deadline - now
        )
        self._clock.callLater(wait, self._start_round, state)

    def _discard_unanswered(self, now: float) -> None:
        oldest = now - LOAN_LEASE_SECONDS
        for number in [
            n for n, each in self._pending_by_request.items() if each.sent_at < oldest
        ]:
            del self._pending_by_request[number]
        self._reports.discard_before(oldest)

    @singledispatchmethod
    def _handle(self, message: PeerMessage, instance: str) -> None:
        raise TypeError(f"unexpected message for Shares: {type(message).__name__}")

    @_handle.register
    def _(self, message: LoanRequest, instance: str) -> None:
        now = self._clock.seconds()
        loan, tokens = self._lender.lend(
            message.account, instance, message.incarnation, message.tokens, now
        )
        bucket = self._lender.bucket(message.account, now)
        answer = LoanGrant(
            account=message.account,
            incarnation=message.incarnation,
            request=message.request,
            lender_incarnation=self._own.incarnation,
            loan=loan,
            tokens=tokens,
            available=bucket.available(now) if bucket else 0,
            reserved=bucket.reserved - tokens if bucket else 0,
            revision=self._revision,
        )
        self._sender.send(instance, answer)

    @_handle.register
    def _(self, message: LoanGrant, instance: str) -> None:
        if message.incarnation != self._own.incarnation:
            return
        pending = self._pending_by_request.pop(message.request, None)
        if pending is None or pending.owner != instance:
            return
        state = self._accounts_by_name[pending.account]
        now = self._clock.seconds()
        self._levels.record_level(
            pending.account, instance, message.available, message.reserved, now
        )
        expires = pending.sent_at + LOAN_LEASE_SECONDS
        if message.tokens > 0 and expires > now:
            loan = Loan(
                pending.account,
                instance,
                message.lender_incarnation,
                message.loan,
                expires,
                message.tokens,
            )
            self._take_loan(state, loan, message.revision, now)
        current = state.round
        if current is None or message.request not in current.owners_by_request:
            return
        del current.owners_by_request[message.request]
        if not current.owners_by_request:
            self._end_round(state)

    @_handle.register
    def _(self, message: LoanReport, instance: str) -> None:
        if message.lender_incarnation != self._own.incarnation:
            return
        renewed = self._lender.apply_report(instance, message, self._clock.seconds())
        if renewed and not all(loan.closed for loan in message.loans):
            answer = LoanRenewal(message.incarnation, message.sequence)
            self._sender.send(instance, answer)

    @_handle.register
    def _(self, message: LoanRenewal, instance: str) -> None:
        if message.incarnation != self._own.incarnation:
            return
        self._reports.apply_renewal(instance, message)

    def _take_loan(
        self, state: AccountState, loan: Loan, revision: int, now: float
    ) -> None:
        if revision >= state.burst_lowered_revision:
            state.borrowed.loans.append(loan)
            return
        self._counts[ShareEvent.OUTDATED_LOAN] += 1
        self._reports.close([loan])
