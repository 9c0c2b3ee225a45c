"""Forwarding of proposed claim records to the instance that writes their shard."""

import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from .claim_log import ClaimLog
from .claim_messages import Proposal, Proposals, Verdict, Verdicts, Working
from .claim_records import ClaimRecord, ClaimState
from .clock import Clock
from .errors import KeyValueOutcomeUnknownError, KeyValueUnavailableError
from .members import MembershipView
from .peer import PeerMessage, PeerSender
from .rendezvous import rank_members

WRITERS_PER_SHARD = 2
PEER_TIMEOUT = timedelta(milliseconds=100)
UNRESPONSIVE_WRITER_COOLDOWN = timedelta(seconds=2)
WORKING_DELAY = timedelta(milliseconds=50)
WORKING_INTERVAL = timedelta(milliseconds=500)
WORKING_TIMEOUT = timedelta(milliseconds=1200)
# Proposal numbers start at the incarnation shifted by this many bits, so that
# verdicts for an earlier run match no proposal of this one.
INCARNATION_SHIFT = 40
BATCH_INTERVAL = timedelta(milliseconds=1)


class ExchangeCounter(enum.Enum):
    """Counters of the exchange of proposals."""

    FORWARDED = "forwarded"
    MESSAGES = "messages"
    WRITER_SILENT = "writer_silent"
    LATE_VERDICTS = "late_verdicts"


@dataclass(slots=True)
class _OutstandingProposal:
    shard: int
    record: ClaimRecord
    result: "Deferred[ClaimRecord]"
    writer: str
    tried: set[str]
    timeout: Any = None


@dataclass(slots=True)
class _Outbox:
    items_by_instance: dict[str, list[Any]] = field(default_factory=dict)
    flush_call: Any = None


class ClaimExchange:
    """Forwards each proposal to its shard's writer, bypassing unresponsive ones.

    The writers of a shard are its first ``WRITERS_PER_SHARD`` live members in
    rendezvous order. When none of them responds, this instance writes the record
    itself. Concurrent writers are safe, but they lose time on conflicts.

    Parameters
    ----------
    logs : tuple of ClaimLog
        The logs through which this instance writes, one per shard.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        sender: PeerSender,
        logs: tuple[ClaimLog, ...],
    ) -> None:
        self.counters: Counter[ExchangeCounter] = Counter()
        self._clock = clock
        self._members = members
        self._sender = sender
        self._logs = logs
        self._last_number = members.own.incarnation << INCARNATION_SHIFT
        self._outstanding_by_number: dict[int, _OutstandingProposal] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._outbox_by_type: dict[type, _Outbox] = {
            Proposals: _Outbox(),
            Verdicts: _Outbox(),
        }

    def propose(self, shard: int, record: ClaimRecord) -> "Deferred[ClaimRecord]":
        """Propose a record as ``ClaimLog.propose`` does, through the shard's writer."""
        result: Deferred[ClaimRecord] = Deferred()
        outstanding = _OutstandingProposal(shard, record, result, "", set())
        self._send_to_next_writer(outstanding)
        return result

    def writer(self, shard: int, tried: set[str] = frozenset()) -> str:
        """Return the instance that proposals for ``shard`` are sent to now."""
        now = self._clock.seconds()
        names = [member.instance for member in self._members.live()]
        for name in rank_members(f"claims/{shard}", names)[:WRITERS_PER_SHARD]:
            own = name == self._members.own.instance
            unresponsive = self._unresponsive_until.get(name, now) > now
            if own or (name not in tried and not unresponsive):
                return name
        return self._members.own.instance

    @singledispatchmethod
    def receive(self, message: PeerMessage, instance: str) -> None:
        """Handle a message from another instance; other types are ignored."""

    @receive.register
    def _(self, message: Proposals, instance: str) -> None:
        results_by_number: dict[int, Deferred[Any]] = {}
        for proposal in message.proposals:
            if proposal.shard >= len(self._logs):
                continue
            done = self._logs[proposal.shard].propose(proposal.record())
            done.addCallback(_verdict, proposal)
            done.addErrback(_failure_verdict, proposal)
            done.addCallback(self._enqueue, instance, Verdicts)
            results_by_number[proposal.number] = done
        delay = WORKING_DELAY.total_seconds()
        self._clock.callLater(delay, self._send_working, instance, results_by_number)

    @receive.register
    def _(self, message: Working, instance: str) -> None:
        for number in message.numbers:
            outstanding = self._outstanding_by_number.get(number)
            if outstanding is not None:
                outstanding.timeout.reset(WORKING_TIMEOUT.total_seconds())

    def _send_working(
        self, instance: str, results_by_number: "dict[int, Deferred[Any]]"
    ) -> None:
        unfinished = {
            n: done for n, done in results_by_number.items() if not done.called
        }
        if unfinished:
            self._sender.send(instance, Working(tuple(unfinished)))
            delay = WORKING_INTERVAL.total_seconds()
            self._clock.callLater(delay, self._send_working, instance, unfinished)

    @receive.register
    def _(self, message: Verdicts, instance: str) -> None:
        self._unresponsive_until.pop(instance, None)
        for verdict in message.verdicts:
            self._apply_verdict(verdict)

    def _send_to_next_writer(self, outstanding: _OutstandingProposal) -> None:
        if outstanding.result.called:
            return
        writer = self.writer(outstanding.shard, outstanding.tried)
        outstanding.writer = writer
        if writer == self._members.own.instance:
            self._write_locally(outstanding)
            return
        self._last_number += 1
        outstanding.tried.add(writer)
        self._outstanding_by_number[self._last_number] = outstanding
        self.counters[ExchangeCounter.FORWARDED] += 1
        record = outstanding.record
        proposal = Proposal(
            self._last_number,
            outstanding.shard,
            record.digest,
            record.body,
            record.request_id,
            int(record.state),
            record.outcome,
        )
        self._enqueue(proposal, writer, Proposals)
        outstanding.timeout = self._clock.callLater(
            PEER_TIMEOUT.total_seconds(), self._proposal_timed_out, self._last_number
        )

    def _write_locally(self, outstanding: _OutstandingProposal) -> None:
        done = self._logs[outstanding.shard].propose(outstanding.record)
        done.addCallbacks(
            self._recorded_locally,
            self._failed_locally,
            callbackArgs=(outstanding,),
            errbackArgs=(outstanding,),
        )

    def _recorded_locally(
        self, record: ClaimRecord, outstanding: _OutstandingProposal
    ) -> None:
        if not outstanding.result.called:
            outstanding.result.callback(record)

    def _failed_locally(
        self, failure: Failure, outstanding: _OutstandingProposal
    ) -> None:
        outcome_unknown = not failure.check(KeyValueUnavailableError)
        self._fail(
            outstanding, maybe_written=outcome_unknown or bool(outstanding.tried)
        )

    def _fail(self, outstanding: _OutstandingProposal, *, maybe_written: bool) -> None:
        if outstanding.result.called:
            return
        error = (
            KeyValueOutcomeUnknownError if maybe_written else KeyValueUnavailableError
        )
        outstanding.result.errback(
            error(
                f"claim could not be recorded in shard {outstanding.shard}",
                step="claim",
                peer=outstanding.writer,
            )
        )

    def _proposal_timed_out(self, number: int) -> None:
        outstanding = self._outstanding_by_number.pop(number)
        self.counters[ExchangeCounter.WRITER_SILENT] += 1
        until = self._clock.seconds() + UNRESPONSIVE_WRITER_COOLDOWN.total_seconds()
        self._unresponsive_until[outstanding.writer] = until
        self._send_to_next_writer(outstanding)

    def _apply_verdict(self, verdict: Verdict) -> None:
        outstanding = self._outstanding_by_number.get(verdict.number)
        if outstanding is None or outstanding.record.digest != verdict.digest:
            self.counters[ExchangeCounter.LATE_VERDICTS] += 1
            return
        del self._outstanding_by_number[verdict.number]
        outstanding.timeout.cancel()
        if not verdict.state:
            maybe_written = verdict.maybe_written or len(outstanding.tried) > 1
            self._fail(outstanding, maybe_written=maybe_written)
        elif not outstanding.result.called:
            record = ClaimRecord(
                outstanding.record.digest,
                verdict.body,
                verdict.request_id,
                ClaimState(verdict.state),
                verdict.outcome,
            )
            outstanding.result.callback(record)

    def _enqueue(self, item: Proposal | Verdict, instance: str, kind: type) -> None:
        outbox = self._outbox_by_type[kind]
        outbox.items_by_instance.setdefault(instance, []).append(item)
        if outbox.flush_call is None or not outbox.flush_call.active():
            delay = BATCH_INTERVAL.total_seconds()
            outbox.flush_call = self._clock.callLater(delay, self._flush, kind)

    def _flush(self, kind: Callable[[tuple], PeerMessage]) -> None:
        outbox = self._outbox_by_type[kind]
        batches, outbox.items_by_instance = outbox.items_by_instance, {}
        for instance, items in sorted(batches.items()):
            self.counters[ExchangeCounter.MESSAGES] += 1
            self._sender.send(instance, kind(tuple(items)))


def _verdict(record: ClaimRecord, proposal: Proposal) -> Verdict:
    return Verdict(
        proposal.number,
        proposal.digest,
        record.body,
        record.request_id,
        int(record.state),
        record.outcome,
    )


def _failure_verdict(failure: Failure, proposal: Proposal) -> Verdict:
    maybe_written = not failure.check(KeyValueUnavailableError)
    return Verdict(proposal.number, proposal.digest, maybe_written=maybe_written)
