"""Choice of prefill and decode replicas."""

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import singledispatchmethod
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from .clock import Clock
from .members import Member, MembershipView
from .peer import PeerMessage, PeerSender
from .placement_groups import Groups
from .placement_jobs import Assignment, FreedSlots, Job, to_ask
from .placement_messages import (
    Holding,
    Holdings,
    HoldingsCount,
    HoldingsWanted,
    PlacementAsk,
    PlacementCancel,
    PlacementDecline,
    PlacementFreed,
    PlacementGrant,
    PlacementRefused,
)
from .placement_owner import SLOT_LEASE_SECONDS, PlacementOwner
from .placement_servers import Replica
from .refusals import Reason, Refusal, Step
from .suspects import Admission, Suspects

__all__ = ["Assignment", "Job", "Placement", "Replica"]

GRANT_LEASE_SECONDS = 2.0
"""Age of an ask after which its grant is not used any more."""

ASK_REPEAT_SECONDS = 0.5
HOLDINGS_SECONDS = 2.0
PAUSE_SECONDS = 1.5
"""Time between two ticks after which this instance takes itself for paused."""

FREED_DELAY_SECONDS = 0.005
"""How long freed slots are collected into one message."""


@dataclass(slots=True)
class _Pending:
    job: Job
    group: str
    answer: "Deferred[Assignment | Refusal]"
    timer: IDelayedCall
    asked_at_by_number: dict[int, float] = field(default_factory=dict)


class Placement:
    """Assigns prefill and decode replicas to this instance's requests.

    Each group of replicas has one placing owner, found by rendezvous hashing
    over the live instances of the group's availability zones. The owner queues
    the asks of all instances and is the only one to grant slots. Every request
    gets exactly one answer: an ``Assignment``, or a ``Refusal`` as soon as it is
    known that the first-token target can't be met.

    The user calls ``tick`` several times a second, and ``release`` on every way
    out. When a replica has crashed, ``Suspects.crashed`` is called before the
    requests are released, so that the owner knows the suspects before their
    slots are free.

    Parameters
    ----------
    clock : IReactorTime
        Tells the time and calls back.
    members : MembershipView
        The live instances.
    sender : PeerSender
        Carries messages to other instances, in order.
    random : random.Random
        Spreads the delays named in refusals.
    suspects : Suspects, optional
        This instance's suspects; the owner checks them before each grant.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        sender: PeerSender,
        random: Random,
        suspects: Suspects | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._sender = sender
        self._random = random
        self._suspects = suspects
        self._groups = Groups(
            clock=clock, members=members, zone_lease=SLOT_LEASE_SECONDS
        )
        self._owners_by_group: dict[str, PlacementOwner] = {}
        self._pending_by_id: dict[str, _Pending] = {}
        self._holdings_by_id: dict[str, Holding] = {}
        self._group_by_id: dict[str, str] = {}
        self._freed_by_group: dict[str, FreedSlots] = {}
        self._claimant_by_group: dict[str, tuple[str, float]] = {}
        self._unreachable: set[str] = set()
        self._live_by_name: dict[str, Member] = {m.instance: m for m in members.live()}
        self._lost_at: float | None = None
        self._numbers = itertools.count(1)
        self._last_tick = clock.seconds()
        self._counted_at = clock.seconds()
        self._counters: Counter[str] = Counter()
        members.subscribe(self._members_changed)

    # Configuration and membership

    def configure(self, replicas: Iterable[Replica]) -> None:
        """Replace the replicas of all pools."""
        self._groups.configure(replicas)
        self._unreachable = set(filter(self._groups.known, self._unreachable))
        self._settle_ownership()
        for group, placing in self._owners_by_group.items():
            placing.configure(self._groups.replicas_of(group))

    def replica_failed(self, name: str) -> None:
        """Place no more work of this instance on a replica out of reach."""
        if self._groups.known(name):
            self._unreachable.add(name)

    def replica_recovered(self, name: str) -> None:
        """Place work of this instance on the replica again."""
        self._unreachable.discard(name)

    def observe_load(
        self, replica: str, held: int, waiting: int, reported_at: float
    ) -> None:
        """Take a replica's load report as a hint, however old it is."""
        group = self._groups.group_of(replica)
        placing = self._owners_by_group.get(group) if group else None
        if placing is not None:
            placing.observe_load(replica, held, reported_at)

    def _owner_of(self, group: str) -> str | None:
        return self._groups.owner_of(group)

    def _members_changed(self) -> None:
        live_by_name = {member.instance: member for member in self._members.live()}
        lost = [
            member
            for name, member in self._live_by_name.items()
            if name not in live_by_name
            or live_by_name[name].incarnation != member.incarnation
        ]
        joined = [
            member
            for name, member in live_by_name.items()
            if self._live_by_name.get(name) != member
        ]
        self._live_by_name = live_by_name
        if lost:
            self._lost_at = self._clock.seconds()
        self._groups.members_changed(lost, joined)
        owned_before = set(self._owners_by_group)
        self._settle_ownership()
        for group in owned_before & set(self._owners_by_group):
            for member in lost:
                self._owners_by_group[group].instance_lost(member.instance)
            for member in joined:
                self._owners_by_group[group].instance_joined(member.instance)
        self._ask_again(force=True)

    def _settle_ownership(self) -> None:
        own = self._members.own.instance
        owned = {group for group in self._groups.names if self._owner_of(group) == own}
        for group in set(self._owners_by_group) - owned:
            self._owners_by_group.pop(group).stop()
        for group in sorted(owned - set(self._owners_by_group)):
            placing = self._new_owner(group)
            self._owners_by_group[group] = placing
            placing.configure(self._groups.replicas_of(group))
            placing.start(self._live_by_name, self._lost_seconds())

    def _new_owner(self, group: str) -> PlacementOwner:
        return PlacementOwner(
            group=group,
            clock=self._clock,
            random=self._random,
            send=self._send,
            admit=self._admit,
            zone_usable=self._groups.zone_usable,
            zone_of=self._zone_of,
            numbers=self._numbers,
        )

    def _admit(self, fingerprint: str) -> Admission | Refusal:
        if self._suspects is None or not fingerprint:
            return Admission.RUN
        return self._suspects.admit(fingerprint)

    def _zone_of(self, instance: str) -> str:
        member = self._members.member(instance)
        return member.availability_zone if member else ""

    def _lost_seconds(self) -> float:
        if self._lost_at is None:
            return -1.0
        since = self._clock.seconds() - self._lost_at
        return since if since < SLOT_LEASE_SECONDS else -1.0

    # Requests

    def assign(self, job: Job) -> "Deferred[Assignment | Refusal]":
        """Reserve replicas for a job, waiting in the owner's queue if need be."""
        self._notice_pause()
        answer: Deferred[Assignment | Refusal] = Deferred()
        group = self._groups.group_for(job.pool, job.request_id)
        if group is None:
            self._counters[Reason.NO_BACKEND_SERVER.value] += 1
            answer.callback(self._refusal(Reason.NO_BACKEND_SERVER, 1.0))
            return answer
        left = max(0.0, self._end_of(job) - self._clock.seconds())
        timer = self._clock.callLater(left, self._end_waiting, job.request_id)
        self._pending_by_id[job.request_id] = _Pending(job, group, answer, timer)
        self._ask(job.request_id)
        return answer

    def cancel(self, request_id: str) -> None:
        """End a request, queued or assigned; a queued one is refused."""
        if request_id not in self._pending_by_id:
            self.release(request_id)
            return
        pending = self._take_pending(request_id)
        self._tell_owner(pending.group, PlacementCancel(pending.group, request_id))
        self._counters[Reason.CANCELLED.value] += 1
        pending.answer.callback(self._refusal(Reason.CANCELLED, None))

    def prefilled(self, request_id: str) -> None:
        """Free the prefill slot, as the result has left the prefill replica."""
        holding = self._holdings_by_id.get(request_id)
        if holding is None or not holding.prefill:
            return
        self._holdings_by_id[request_id] = replace(holding, prefill="")
        self._freed(self._group_by_id[request_id]).prefilled.append(request_id)

    def release(self, request_id: str, *, completed: bool = False) -> None:
        """Free all slots of a request; repeated calls change nothing.

        ``completed`` says that it was answered in full, which allows copies of
        the request to run on other replicas at the same time.
        """
        if self._holdings_by_id.pop(request_id, None) is None:
            return
        freed = self._freed(self._group_by_id.pop(request_id))
        freed.released.append(request_id)
        if completed:
            freed.completed.append(request_id)

    def refused_by_engine(self, request_id: str, replica: str) -> None:
        """Free a request whose engine had no room; ``assign`` may be tried again."""
        if self._holdings_by_id.pop(request_id, None) is None:
            return
        self._counters["refused_by_engine"] += 1
        group = self._group_by_id.pop(request_id)
        self._tell_owner(group, PlacementRefused(group, request_id, replica))

    def places(self, replica: str) -> bool:
        """Return whether this instance is the placing owner of a replica."""
        return self._groups.group_of(replica) in self._owners_by_group

    def in_flight(self, replica: str) -> int:
        """Return how many of this instance's requests hold the replica."""
        return sum(
            replica in (each.prefill, each.decode, each.server)
            for each in self._holdings_by_id.values()
        )

    def counters(self) -> dict[str, int]:
        """Return counts of answers by reason, and the owned groups' counts."""
        counts = Counter(self._counters)
        for placing in self._owners_by_group.values():
            for name, count in placing.counters.items():
                counts[f"owner_{name}"] += count
        return dict(counts)

    def tick(self) -> None:
        """Repeat unanswered asks and tell the owners what is in flight."""
        self._notice_pause()
        self._ask_again(force=False)
        for placing in list(self._owners_by_group.values()):
            placing.tick()
        now = self._clock.seconds()
        if now - self._counted_at < HOLDINGS_SECONDS:
            return
        self._counted_at = now
        counts = Counter(self._group_by_id.values())
        for group in self._groups.names:
            self._flush(group)
            self._tell_owner(group, HoldingsCount(group, counts[group]))

    def _notice_pause(self) -> None:
        """After a pause, own grants and asks may be stale: start over."""
        now = self._clock.seconds()
        paused = now - self._last_tick > PAUSE_SECONDS
        self._last_tick = now
        if not paused:
            return
        self._counters["pauses"] += 1
        for placing in self._owners_by_group.values():
            placing.start(self._live_by_name, 0.0)

    def _end_of(self, job: Job) -> float:
        return job.give_up if job.patient else job.deadline

    def _end_waiting(self, request_id: str) -> None:
        if request_id not in self._pending_by_id:
            return
        pending = self._take_pending(request_id)
        self._tell_owner(pending.group, PlacementCancel(pending.group, request_id))
        self._counters[Reason.TARGET_MISSED.value] += 1
        self._counters["unanswered_asks"] += 1
        pending.answer.callback(self._refusal(Reason.TARGET_MISSED, 1.0))

    def _take_pending(self, request_id: str) -> _Pending:
        pending = self._pending_by_id.pop(request_id)
        if pending.timer.active():
            pending.timer.cancel()
        return pending

    def _ask_again(self, *, force: bool) -> None:
        now = self._clock.seconds()
        for request_id, pending in list(self._pending_by_id.items()):
            newest = max(pending.asked_at_by_number.values(), default=0.0)
            if force or now - newest >= ASK_REPEAT_SECONDS:
                self._ask(request_id)

    def _ask(self, request_id: str) -> None:
        pending = self._pending_by_id.get(request_id)
        if pending is None:
            return
        now = self._clock.seconds()
        number = next(self._numbers)
        asked = pending.asked_at_by_number
        asked[number] = now
        for old in [n for n, at in asked.items() if now - at > GRANT_LEASE_SECONDS]:
            del asked[old]
        unreachable = tuple(sorted(self._unreachable))
        ask = to_ask(pending.job, pending.group, number, now, unreachable)
        self._tell_owner(pending.group, ask)

    def _freed(self, group: str) -> FreedSlots:
        freed = self._freed_by_group.get(group)
        if freed is None:
            freed = self._freed_by_group[group] = FreedSlots()
            self._clock.callLater(FREED_DELAY_SECONDS, self._flush, group)
        return freed

    def _flush(self, group: str) -> None:
        freed = self._freed_by_group.pop(group, None)
        if freed is None:
            return
        message = freed.message(group)
        self._tell_owner(group, message)

    def _refusal(self, reason: Reason, seconds: float | None) -> Refusal:
        retry_after = None if seconds is None else timedelta(seconds=seconds)
        return Refusal(reason, Step.QUEUE, retry_after=retry_after)

    # Messages

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Take a message of another instance; other types are ignored."""
        self._notice_pause()
        self._receive(message, instance)

    @singledispatchmethod
    def _receive(self, message: PeerMessage, instance: str) -> None:
        pass

    @_receive.register
    def _(self, message: PlacementAsk, instance: str) -> None:
        placing = self._owners_by_group.get(message.group)
        if placing is not None:
            placing.ask(instance, message)

    @_receive.register
    def _(self, message: PlacementCancel, instance: str) -> None:
        placing = self._owners_by_group.get(message.group)
        if placing is not None:
            placing.cancel(message.request_id)

    @_receive.register
    def _(self, message: PlacementFreed, instance: str) -> None:
        placing = self._owners_by_group.get(message.group)
        if placing is None:
            return
        for request_id in message.prefilled:
            placing.prefilled(request_id)
        for request_id in message.released:
            placing.release(request_id, completed=request_id in message.completed)

    @_receive.register
    def _(self, message: PlacementRefused, instance: str) -> None:
        placing = self._owners_by_group.get(message.group)
        if placing is not None:
            placing.refused(message.request_id, message.replica)

    @_receive.register
    def _(self, message: Holdings, instance: str) -> None:
        placing = self._owners_by_group.get(message.group)
        if placing is not None:
            placing.receive_holdings(instance, message)

    @_receive.register
    def _(self, message: HoldingsCount, instance: str) -> None:
        placing = self._owners_by_group.get(message.group)
        if placing is not None:
            placing.check_count(instance, message.count)

    @_receive.register
    def _(self, message: HoldingsWanted, instance: str) -> None:
        self._claimant_by_group[message.group] = (instance, self._clock.seconds())
        self._freed_by_group.pop(message.group, None)
        holdings = tuple(
            holding
            for request_id, holding in self._holdings_by_id.items()
            if self._group_by_id[request_id] == message.group
        )
        answer = Holdings(message.group, message.number, holdings, self._lost_seconds())
        self._send(instance, answer)

    @_receive.register
    def _(self, message: PlacementGrant, instance: str) -> None:
        pending = self._pending_by_id.get(message.request_id)
        if pending is None or not self._may_use(pending, message, instance):
            if message.request_id not in self._holdings_by_id:
                self._counters["grants_unused"] += 1
                freed = PlacementFreed(message.group, released=(message.request_id,))
                self._send(instance, freed)
            return
        self._take_pending(message.request_id)
        job = pending.job
        holding = Holding(
            job.request_id,
            message.prefill,
            message.decode,
            message.server,
            job.fingerprint,
            message.alone,
        )
        self._holdings_by_id[job.request_id] = holding
        self._group_by_id[job.request_id] = message.group
        self._counters["assigned"] += 1
        pending.answer.callback(
            Assignment(job.request_id, message.prefill, message.decode, message.server)
        )

    @_receive.register
    def _(self, message: PlacementDecline, instance: str) -> None:
        pending = self._pending_by_id.get(message.request_id)
        if pending is None or message.number not in pending.asked_at_by_number:
            return
        self._take_pending(message.request_id)
        reason = Reason(message.reason)
        self._counters[reason.value] += 1
        pending.answer.callback(self._refusal(reason, message.retry_after))

    def _may_use(
        self, pending: _Pending, message: PlacementGrant, instance: str
    ) -> bool:
        """Tell whether a grant is fresh and of the owner as this instance sees it."""
        now = self._clock.seconds()
        asked_at = pending.asked_at_by_number.get(message.number)
        if asked_at is None or now - asked_at > GRANT_LEASE_SECONDS:
            return False
        if instance != self._owner_of(message.group):
            return False
        claimant, claimed_at = self._claimant_by_group.get(
            message.group, (instance, now)
        )
        return claimant == instance or now - claimed_at > GRANT_LEASE_SECONDS

    def _tell_owner(self, group: str, message: PeerMessage) -> None:
        instance = self._owner_of(group)
        if instance is not None:
            self._send(instance, message)

    def _send(self, instance: str, message: PeerMessage) -> None:
        if instance == self._members.own.instance:
            self._receive(message, instance)
            return
        self._counters["messages_sent"] += 1
        self._sender.send(instance, message)
