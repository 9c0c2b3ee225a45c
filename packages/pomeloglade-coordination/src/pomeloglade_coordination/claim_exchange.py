"""Brings proposed claim records to the instance that writes their shard."""

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
from .rendezvous import ranked

WRITERS = 2
PEER_TIMEOUT = timedelta(milliseconds=100)
SKIP_SILENT = timedelta(seconds=2)
WORKING_DELAY = timedelta(milliseconds=50)
WORKING_INTERVAL = timedelta(milliseconds=500)
WORKING_TIMEOUT = timedelta(milliseconds=1200)
INCARNATION_SHIFT = 40
GATHER_INTERVAL = timedelta(milliseconds=1)


class ExchangeCounter(enum.Enum):
    """What the exchange of proposals counts."""

    FORWARDED = "forwarded"
    MESSAGES = "messages"
    WRITER_SILENT = "writer_silent"
    LATE_VERDICTS = "late_verdicts"


@dataclass(slots=True)
class _Outstanding:
    shard: int
    record: ClaimRecord
    waiting: "Deferred[ClaimRecord]"
    writer: str
    tried: set[str]
    timeout: Any = None


@dataclass(slots=True)
class _Outbox:
    messages_by_instance: dict[str, list[Any]] = field(default_factory=dict)
    call: Any = None


class ClaimExchange:
    """Sends each proposal to its shard's writer, and around one that is silent.

    The writers of a shard are the first ``WRITERS`` live members by rendezvous.
    When they do not answer, this instance writes itself: any number of writers
    is safe, one is quick.

    Parameters
    ----------
    logs : tuple of ClaimLog
        The logs of the shards, as this instance writes them.
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
        self._number = members.own.incarnation << INCARNATION_SHIFT
        self._outstanding_by_number: dict[int, _Outstanding] = {}
        self._silent_until: dict[str, float] = {}
        self._outbox: dict[type, _Outbox] = {
            Proposals: _Outbox(),
            Verdicts: _Outbox(),
        }

    def propose(self, shard: int, record: ClaimRecord) -> "Deferred[ClaimRecord]":
        """Record ``record`` as ``ClaimLog.propose`` does, wherever that is done."""
        waiting: Deferred[ClaimRecord] = Deferred()
        outstanding = _Outstanding(shard, record, waiting, "", set())
        self._try_next(outstanding)
        return waiting

    def writer(self, shard: int, tried: set[str] = frozenset()) -> str:
        """Return the instance to which proposals for ``shard`` go now."""
        now = self._clock.seconds()
        names = [member.instance for member in self._members.live()]
        for name in ranked(f"claims/{shard}", names)[:WRITERS]:
            own = name == self._members.own.instance
            silent = self._silent_until.get(name, now) > now
            if own or (name not in tried and not silent):
                return name
        return self._members.own.instance

    @singledispatchmethod
    def receive(self, message: PeerMessage, instance: str) -> None:
        """Take a message of another instance; others are ignored."""

    @receive.register
    def _(self, message: Proposals, instance: str) -> None:
        waiting: dict[int, Deferred[Any]] = {}
        for proposal in message.proposals:
            if proposal.shard >= len(self._logs):
                continue
            done = self._logs[proposal.shard].propose(proposal.record())
            done.addCallback(_verdict, proposal)
            done.addErrback(_no_verdict, proposal)
            done.addCallback(self._enqueue, instance, Verdicts)
            waiting[proposal.number] = done
        pause = WORKING_DELAY.total_seconds()
        self._clock.callLater(pause, self._still_working, instance, waiting)

    @receive.register
    def _(self, message: Working, instance: str) -> None:
        for number in message.numbers:
            outstanding = self._outstanding_by_number.get(number)
            if outstanding is not None:
                outstanding.timeout.reset(WORKING_TIMEOUT.total_seconds())

    def _still_working(
        self, instance: str, waiting: "dict[int, Deferred[Any]]"
    ) -> None:
        left = {n: done for n, done in waiting.items() if not done.called}
        if left:
            self._sender.send(instance, Working(tuple(left)))
            pause = WORKING_INTERVAL.total_seconds()
            self._clock.callLater(pause, self._still_working, instance, left)

    @receive.register
    def _(self, message: Verdicts, instance: str) -> None:
        self._silent_until.pop(instance, None)
        for verdict in message.verdicts:
            self._judged(verdict)

    def _try_next(self, outstanding: _Outstanding) -> None:
        if outstanding.waiting.called:
            return
        writer = self.writer(outstanding.shard, outstanding.tried)
        outstanding.writer = writer
        if writer == self._members.own.instance:
            self._write_here(outstanding)
            return
        self._number += 1
        outstanding.tried.add(writer)
        self._outstanding_by_number[self._number] = outstanding
        self.counters[ExchangeCounter.FORWARDED] += 1
        record = outstanding.record
        proposal = Proposal(
            self._number,
            outstanding.shard,
            record.digest,
            record.body,
            record.request_id,
            int(record.state),
            record.outcome,
        )
        self._enqueue(proposal, writer, Proposals)
        outstanding.timeout = self._clock.callLater(
            PEER_TIMEOUT.total_seconds(), self._unanswered, self._number
        )

    def _write_here(self, outstanding: _Outstanding) -> None:
        done = self._logs[outstanding.shard].propose(outstanding.record)
        done.addCallbacks(
            self._recorded_here,
            self._failed_here,
            callbackArgs=(outstanding,),
            errbackArgs=(outstanding,),
        )

    def _recorded_here(self, record: ClaimRecord, outstanding: _Outstanding) -> None:
        if not outstanding.waiting.called:
            outstanding.waiting.callback(record)

    def _failed_here(self, failure: Failure, outstanding: _Outstanding) -> None:
        written = not failure.check(KeyValueUnavailableError)
        self._fail(outstanding, maybe_written=written or bool(outstanding.tried))

    def _fail(self, outstanding: _Outstanding, *, maybe_written: bool) -> None:
        if outstanding.waiting.called:
            return
        error = (
            KeyValueOutcomeUnknownError if maybe_written else KeyValueUnavailableError
        )
        outstanding.waiting.errback(
            error("claim not recorded", step="claim", peer=outstanding.writer)
        )

    def _unanswered(self, number: int) -> None:
        outstanding = self._outstanding_by_number.pop(number)
        self.counters[ExchangeCounter.WRITER_SILENT] += 1
        until = self._clock.seconds() + SKIP_SILENT.total_seconds()
        self._silent_until[outstanding.writer] = until
        self._try_next(outstanding)

    def _judged(self, verdict: Verdict) -> None:
        outstanding = self._outstanding_by_number.get(verdict.number)
        if outstanding is None or outstanding.record.digest != verdict.digest:
            self.counters[ExchangeCounter.LATE_VERDICTS] += 1
            return
        del self._outstanding_by_number[verdict.number]
        outstanding.timeout.cancel()
        if not verdict.state:
            maybe = verdict.maybe_written or len(outstanding.tried) > 1
            self._fail(outstanding, maybe_written=maybe)
        elif not outstanding.waiting.called:
            record = ClaimRecord(
                outstanding.record.digest,
                verdict.body,
                verdict.request_id,
                ClaimState(verdict.state),
                verdict.outcome,
            )
            outstanding.waiting.callback(record)

    def _enqueue(self, item: Proposal | Verdict, instance: str, kind: type) -> None:
        outbox = self._outbox[kind]
        outbox.messages_by_instance.setdefault(instance, []).append(item)
        if outbox.call is None or not outbox.call.active():
            pause = GATHER_INTERVAL.total_seconds()
            outbox.call = self._clock.callLater(pause, self._flush, kind)

    def _flush(self, kind: Callable[[tuple], PeerMessage]) -> None:
        outbox = self._outbox[kind]
        batches, outbox.messages_by_instance = outbox.messages_by_instance, {}
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


def _no_verdict(failure: Failure, proposal: Proposal) -> Verdict:
    maybe = not failure.check(KeyValueUnavailableError)
    return Verdict(proposal.number, proposal.digest, maybe_written=maybe)
