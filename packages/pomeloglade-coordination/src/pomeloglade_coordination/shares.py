"""Shares of each account's rate and burst, lent between their owners."""

import itertools
import random
from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from functools import singledispatchmethod

from twisted.internet.defer import Deferred, succeed

from .bucket import Limit
from .clock import Clock, delay
from .members import MembershipView
from .peer import PeerMessage, PeerSender
from .refusals import Reason, Refusal, Step
from .share_accounts import Account, Asked, Round, Waiter
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
"""How often the caller runs ``tick``."""

ROUND_SECONDS = 0.05
"""How long an instance waits for the owners that it has asked."""

BACKOFF_SECONDS = 0.02
"""Longest wait before asking again for tokens that another instance gathers."""

BALANCE = 0.1
"""By how much of its burst another bucket must be fuller to be drawn from first."""

PREFETCH_BELOW = 0.5
"""Fraction of the own burst below which demand is borrowed ahead."""

MAX_ROUNDS = 3
"""Most rounds of requests to owners for one waiting request."""


class Shares:
    """Keeps each account within its rate and burst over the whole fleet.

    Every account's rate and burst are divided over the availability zones, and
    in each zone over its owners. Owners lend tokens on demand to the instances
    that need them, under leases. See ``docs/design/budget.md``.

    Parameters
    ----------
    clock : IReactorTime
        Measures leases and refills.
    members : MembershipView
        The own instance, and which owners are worth asking.
    sender : PeerSender
        Carries messages to other instances.
    owners : Owners, optional
        Who owns which part; the members live at this moment when not given,
        which is right only for a membership that is complete and fixed.
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
        self._owners = owners or FixedOwners.of(members)
        self._random = random.Random(self._own.instance)
        self._levels = OwnerLevels(self._owners, members)
        self._reports = LoanReports(clock, self._own, sender, self._levels)
        self._lender = Lender(clock.seconds())
        self._accounts_by_name: dict[str, Account] = {}
        self._asked_by_request: dict[int, Asked] = {}
        self._numbers = itertools.count(1)
        self._revision = -1
        self._counts: Counter[ShareEvent] = Counter()

    def configure(self, limits_by_account: Mapping[str, Limit], revision: int) -> None:
        """Put limits in force, unless ones as new or newer already are.

        An account that is absent may spend nothing more. Where a burst becomes
        lower, loans go back and grants not confirmed yet become void, so that
        the new limit holds as soon as all instances have it.
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

        Without a message when this instance holds enough. Otherwise the owners
        are asked, for at most ``timeout``; it does not wait for the rate to earn
        the tokens, but refuses with the time that this takes as ``retry_after``.
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
            if self._certainly_short(state, tokens):
                self._counts[ShareEvent.REFUSED_WITHOUT_ASKING] += 1
                return succeed(self._over_rate(state, tokens))
        now = self._clock.seconds()
        waiter = Waiter(tokens, Deferred(), now + timeout.total_seconds())
        state.waiters.append(waiter)
        if state.round is None:
            self._start_round(state)
        return waiter.result

    def confirm(self, grant: Grant) -> bool:
        """Spend a grant just before dispatch; false when its lease has lapsed.

        After ``False`` the request must not be dispatched on this grant.
        """
        escrow = grant.escrow
        if escrow.state is not EscrowState.HELD:
            return escrow.state is EscrowState.SPENT
        state = self._accounts_by_name[grant.account]
        now = self._clock.seconds()
        if escrow.generation != state.generation or escrow.lapsed(now):
            self._counts[ShareEvent.LEASE_LAPSED] += 1
            self._put_back(grant, now)
            return False
        escrow.state = EscrowState.SPENT
        if escrow.own_tokens:
            bucket = self._lender.bucket(grant.account, now)
            bucket.settle(now, spent=escrow.own_tokens)
        for loan, tokens in escrow.loans:
            loan.held -= tokens
            loan.spent += tokens
        return True

    def refund(self, grant: Grant, unused: int) -> None:
        """Give back what a request did not use; counts once for each grant.

        A grant that was not confirmed goes back whole. After ``confirm`` the tokens
        go into the bucket of this instance's own part at once, as far as its burst
        has room. Sent to the owner that lent them, they would arrive after the
        refund, when room may have come free that there was not before.
        """
        if unused < 0:
            raise ValueError(f"unused must not be negative, got {unused}")
        escrow = grant.escrow
        now = self._clock.seconds()
        if escrow.state is EscrowState.HELD:
            self._put_back(grant, now)
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
        """Handle a message of the instance ``instance``."""
        self._levels.alive(instance)
        self._handle(message, instance)

    def tick(self) -> None:
        """Return idle loans, report spent ones, and renew those held."""
        now = self._clock.seconds()
        reported: list[tuple[Loan, bool]] = []
        for state in self._accounts_by_name.values():
            borrowed = state.borrowed
            borrowed.drawn_before, borrowed.drawn = borrowed.drawn, 0
            closed = borrowed.close_idle(now)
            reported += [(loan, True) for loan in closed]
            reported += [
                (loan, False)
                for loan in borrowed.loans
                if loan.spent > loan.reported or renewal_due(loan, now)
            ]
        self._reports.send(reported)
        self._forget(now)
        for state in self._accounts_by_name.values():
            granted, state.granted = state.granted, 0
            if granted and state.round is None:
                self._prefetch(state, granted, now)

    def hand_back(self) -> None:
        """Return all loans, for a graceful shutdown after the last request."""
        now = self._clock.seconds()
        for state in self._accounts_by_name.values():
            self._reports.close(state.borrowed.close_idle(now, everything=True))

    def counters(self) -> Mapping[ShareEvent, int]:
        """Return how often each event has occurred."""
        return dict(self._counts)

    def _set_limit(self, name: str, limit: Limit) -> None:
        now = self._clock.seconds()
        state = self._accounts_by_name.get(name)
        if state is None:
            state = self._accounts_by_name[name] = Account(name, limit)
        if limit.burst < state.limit.burst:
            state.generation += 1
            state.lowered_revision = self._revision
            self._reports.close(state.borrowed.close_idle(now, everything=True))
        state.limit = limit
        part = self._own_part(name)
        if part is not None:
            self._lender.configure(name, part.limit(limit), now)

    def _own_part(self, account: str) -> OwnedPart | None:
        for part in self._owners.parts(account):
            if part.instance == self._own.instance:
                return part
        return None

    def _own_available(self, state: Account, now: float) -> int:
        bucket = self._lender.bucket(state.name, now)
        return bucket.available(now) if bucket is not None else 0

    def _available(self, state: Account, now: float) -> int:
        return self._own_available(state, now) + state.borrowed.available(now)

    def _grant(self, state: Account, tokens: int) -> Grant | None:
        now = self._clock.seconds()
        if self._available(state, now) < tokens:
            return None
        drawn = state.borrowed.draw(tokens, now)
        own = tokens - sum(taken for _, taken in drawn)
        if own:
            self._lender.bucket(state.name, now).take(own)
        event = ShareEvent.GRANTED_WITH_LOANS if drawn else ShareEvent.GRANTED_LOCALLY
        self._counts[event] += 1
        state.granted += tokens
        return Grant(state.name, tokens, Escrow(state.generation, own, drawn))

    def _put_back(self, grant: Grant, now: float) -> None:
        escrow = grant.escrow
        escrow.state = EscrowState.CLOSED
        if escrow.own_tokens:
            bucket = self._lender.bucket(grant.account, now)
            bucket.settle(now, unspent=escrow.own_tokens)
        for loan, tokens in escrow.loans:
            loan.held -= tokens
            loan.free += tokens

    def _over_rate(self, state: Account, tokens: int) -> Refusal:
        self._counts[ShareEvent.REFUSED_OVER_RATE] += 1
        now = self._clock.seconds()
        held = self._reachable(state, now)
        missing = max(1, tokens - held)
        wait = delay(missing / state.limit.rate) if state.limit.rate else None
        return Refusal(Reason.OVER_RATE, Step.ADMIT, retry_after=wait)

    def _reachable(self, state: Account, now: float) -> int:
        others = self._levels.reachable(state.name, state.limit, now)
        return self._available(state, now) + others

    def _certainly_short(self, state: Account, tokens: int) -> bool:
        """Return whether fresh answers leave no chance of gathering ``tokens``."""
        now = self._clock.seconds()
        reserved = self._levels.reserved(state.name, now)
        return self._reachable(state, now) + reserved < tokens

    def _start_round(self, state: Account) -> None:
        """Ask the owners that should have what the waiting requests need.

        The first round asks as few as suffice by what is known of them; later
        ones ask all for everything, and return what was too much at their end.
        """
        now = self._clock.seconds()
        needed = sum(waiter.tokens for waiter in state.waiters)
        missing = min(needed, state.limit.burst) - self._available(state, now)
        missing += state.borrowed.drawn_before
        state.round = current = Round()
        state.waiters[0].rounds += 1
        self._counts[ShareEvent.ROUND] += 1
        estimates = [
            (
                self._levels.estimate(state.name, state.limit, part, now),
                part.instance,
            )
            for part in self._levels.askable(state.name, now)
        ]
        for estimate, owner in sorted(estimates, reverse=True):
            if missing <= 0 or estimate <= 0:
                break
            self._ask(state, owner, min(missing, estimate), now)
            if state.waiters[0].rounds == 1:
                missing -= estimate
        if not current.asked_by_request:
            self._end_round(state)
            return
        left = state.waiters[0].deadline - now
        wait = max(0.0, min(ROUND_SECONDS, left))
        current.timer = self._clock.callLater(wait, self._round_timed_out, state)

    def _ask(self, state: Account, owner: str, tokens: int, now: float) -> None:
        number = next(self._numbers)
        state.round.asked_by_request[number] = owner
        self._asked_by_request[number] = Asked(state.name, owner, now)
        message = LoanRequest(state.name, self._own.incarnation, number, tokens)
        self._sender.send(owner, message)

    def _prefetch(self, state: Account, granted: int, now: float) -> None:
        """Borrow the next tick's demand where a bucket is fuller than the own.

        A full bucket earns nothing, so demand is drawn from the fullest.
        """
        own = self._own_part(state.name)
        burst = own.limit(state.limit).burst if own else 0
        own_fraction = self._own_available(state, now) / burst if burst else 0.0
        if burst and own_fraction >= PREFETCH_BELOW:
            return
        fullest = None
        highest = own_fraction + BALANCE
        for part in self._levels.askable(state.name, now):
            estimate = self._levels.estimate(state.name, state.limit, part, now)
            fraction = estimate / max(1, part.limit(state.limit).burst)
            if fraction > highest:
                fullest, highest = part, fraction
        wanted = granted - state.borrowed.available(now)
        if fullest is None or wanted <= 0:
            return
        number = next(self._numbers)
        self._asked_by_request[number] = Asked(state.name, fullest.instance, now)
        message = LoanRequest(state.name, self._own.incarnation, number, wanted)
        self._sender.send(fullest.instance, message)

    def _round_timed_out(self, state: Account) -> None:
        self._counts[ShareEvent.ROUND_TIMED_OUT] += 1
        now = self._clock.seconds()
        for owner in state.round.asked_by_request.values():
            self._levels.silent(owner, now)
        state.round.timer = None
        self._end_round(state)

    def _end_round(self, state: Account) -> None:
        """Serve the waiting requests in order, and refuse what cannot be."""
        if state.round.timer is not None:
            state.round.timer.cancel()
        state.round = None
        asked_all = bool(state.waiters) and state.waiters[0].rounds > 1
        answered: list[tuple[Waiter, Grant | Refusal]] = []
        while state.waiters:
            waiter = state.waiters[0]
            result = self._granted(state, waiter)
            if result is None and self._may_ask_again(state, waiter):
                self._ask_again(state, waiter)
                break
            if result is None:
                result = self._over_rate(state, waiter.tokens)
            state.waiters.popleft()
            answered.append((waiter, result))
        refused = any(isinstance(result, Refusal) for _, result in answered)
        if state.round is None and (asked_all or refused):
            now = self._clock.seconds()
            self._reports.close(state.borrowed.close_unheld(now))
        for waiter, result in answered:
            waiter.result.callback(result)

    def _granted(self, state: Account, waiter: Waiter) -> Grant | None:
        if waiter.tokens > state.limit.burst:
            return None
        return self._grant(state, waiter.tokens)

    def _may_ask_again(self, state: Account, waiter: Waiter) -> bool:
        if waiter.rounds >= MAX_ROUNDS or waiter.tokens > state.limit.burst:
            return False
        if self._clock.seconds() >= waiter.deadline:
            return False
        return not self._certainly_short(state, waiter.tokens)

    def _ask_again(self, state: Account, waiter: Waiter) -> None:
        """Ask at once, or after a while if others hold what is missing."""
        now = self._clock.seconds()
        if self._reachable(state, now) >= waiter.tokens:
            self._start_round(state)
            return
        self._counts[ShareEvent.ROUND_RETRIED] += 1
        self._reports.close(state.borrowed.close_unheld(now))
        self._levels.forget(state.name)
        state.round = Round()
        wait = min(
            BACKOFF_SECONDS * self._random.uniform(0.25, 1.0), waiter.deadline - now
        )
        self._clock.callLater(wait, self._start_round, state)

    def _forget(self, now: float) -> None:
        oldest = now - LOAN_LEASE_SECONDS
        for number in [n for n, a in self._asked_by_request.items() if a.sent < oldest]:
            del self._asked_by_request[number]
        self._reports.forget(oldest)

    @singledispatchmethod
    def _handle(self, message: PeerMessage, instance: str) -> None:
        raise TypeError(f"shares take no {type(message).__name__}")

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
        asked = self._asked_by_request.pop(message.request, None)
        if asked is None or asked.owner != instance:
            return
        state = self._accounts_by_name[asked.account]
        now = self._clock.seconds()
        self._levels.heard(
            asked.account, instance, message.available, message.reserved, now
        )
        expires = asked.sent + LOAN_LEASE_SECONDS
        if message.tokens > 0 and expires > now:
            loan = Loan(
                asked.account,
                instance,
                message.lender_incarnation,
                message.loan,
                expires,
                message.tokens,
            )
            self._take_loan(state, loan, message.revision, now)
        current = state.round
        if current is None or message.request not in current.asked_by_request:
            return
        del current.asked_by_request[message.request]
        if not current.asked_by_request:
            self._end_round(state)

    @_handle.register
    def _(self, message: LoanReport, instance: str) -> None:
        if message.lender_incarnation != self._own.incarnation:
            return
        renewed = self._lender.report(instance, message, self._clock.seconds())
        if renewed and not all(loan.closed for loan in message.loans):
            answer = LoanRenewal(message.incarnation, message.sequence)
            self._sender.send(instance, answer)

    @_handle.register
    def _(self, message: LoanRenewal, instance: str) -> None:
        if message.incarnation != self._own.incarnation:
            return
        self._reports.renewed(instance, message)

    def _take_loan(self, state: Account, loan: Loan, revision: int, now: float) -> None:
        if revision >= state.lowered_revision:
            state.borrowed.loans.append(loan)
            return
        self._counts[ShareEvent.OUTDATED_LOAN] += 1
        self._reports.close([loan])
