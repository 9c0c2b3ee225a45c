"""Assignment of requests to prefill and decode replicas."""

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
from .placement_groups import ReplicaGroups
from .placement_jobs import Assignment, FreedSlots, Job, to_placement_ask
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
"""Greatest age of a placement request at which its grant is still used."""

ASK_RETRY_SECONDS = 0.5
HOLDINGS_COUNT_INTERVAL_SECONDS = 2.0
"""Interval at which owners are sent the number of requests in flight."""

PAUSE_THRESHOLD_SECONDS = 1.5
"""Time without a tick, a request or a message that counts as a pause."""

FREED_BATCH_SECONDS = 0.005
"""How long freed slots are collected for one message."""


@dataclass(slots=True)
class _Pending:
    job: Job
    group: str
    result: "Deferred[Assignment | Refusal]"
    timer: IDelayedCall
    asked_at_by_number: dict[int, float] = field(default_factory=dict)


class Placement:
    """Assigns prefill and decode replicas to this instance's requests.

    Each group of replicas has one placement owner, found by rendezvous hashing
    over the live instances of the group's availability zones. The owner queues
    the placement requests of all instances and is the only one to grant slots.
    Every request gets exactly one result: an ``Assignment``, or a ``Refusal`` as
    soon as it is known that the first-token target can't be met.

    The caller must call ``tick`` several times a second, and ``release`` for
    every assigned request, however it ends. When a replica has crashed, it must
    call ``Suspects.server_crashed`` before it releases the requests, so that the
    owner knows the suspects before their slots are free.

    Parameters
    ----------
    clock : IReactorTime
        The monotonic clock and its timers.
    members : MembershipView
        The live instances.
    sender : PeerSender
        Sends messages to other instances, in order.
    random : random.Random
        Randomises the retry delays of refusals.
    suspects : Suspects, optional
        Requests suspected of crashing servers; checked before each grant.
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
        self._groups = ReplicaGroups(
            clock=clock, members=members, zone_lease_seconds=SLOT_LEASE_SECONDS
        )
        self._owners_by_group: dict[str, PlacementOwner] = {}
        self._pending_by_id: dict[str, _Pending] = {}
        self._holdings_by_id: dict[str, Holding] = {}
        self._group_by_id: dict[str, str] = {}
        self._freed_by_group: dict[str, FreedSlots] = {}
        self._announced_owner_by_group: dict[str, tuple[str, float]] = {}
        self._unreachable: set[str] = set()
        self._live_by_name: dict[str, Member] = {m.instance: m for m in members.live()}
        self._last_loss_at: float | None = None
        self._numbers = itertools.count(1)
        self._last_tick = clock.seconds()
        self._counts_sent_at = clock.seconds()
        self._counters: Counter[str] = Counter()
        members.subscribe(self._members_changed)

    # Configuration and membership

    def configure(self, replicas: Iterable[Replica]) -> None:
        """Replace the replicas of all pools."""
        self._groups.configure(replicas)
        self._unreachable = set(filter(self._groups.is_configured, self._unreachable))
        self._update_ownership()
        for group, owner in self._owners_by_group.items():
            owner.configure(self._groups.replicas_of(group))

    def replica_failed(self, name: str) -> None:
        """Stop placing this instance's requests on a replica that it can't reach."""
        if self._groups.is_configured(name):
            self._unreachable.add(name)

    def replica_recovered(self, name: str) -> None:
        """Place this instance's requests on the replica again."""
        self._unreachable.discard(name)

    def observe_load(
        self, replica: str, held: int, waiting: int, reported_at: float
    ) -> None:
        """Pass a replica's load report to the group's owner, if this instance is it.

        The owner uses it only while slots are blocked after an instance was lost,
        to count requests that no live instance knows.
        """
        group = self._groups.group_of(replica)
        owner = self._owners_by_group.get(group) if group else None
        if owner is not None:
            owner.observe_load(replica, held, reported_at)

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
            self._last_loss_at = self._clock.seconds()
        self._groups.members_changed(lost, joined)
        owned_before = set(self._owners_by_group)
        self._update_ownership()
        for group in owned_before & set(self._owners_by_group):
            for member in lost:
                self._owners_by_group[group].instance_lost(member.instance)
            for member in joined:
                self._owners_by_group[group].instance_joined(member.instance)
        self._repeat_requests(force=True)

    def _update_ownership(self) -> None:
        own = self._members.own.instance
        owned = {group for group in self._groups.names if self._owner_of(group) == own}
        for group in set(self._owners_by_group) - owned:
            self._owners_by_group.pop(group).stop()
        for group in sorted(owned - set(self._owners_by_group)):
            owner = self._new_owner(group)
            self._owners_by_group[group] = owner
            owner.configure(self._groups.replicas_of(group))
            owner.start(self._live_by_name, self._seconds_since_loss())

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

    def _seconds_since_loss(self) -> float:
        if self._last_loss_at is None:
            return -1.0
        since = self._clock.seconds() - self._last_loss_at
        return since if since < SLOT_LEASE_SECONDS else -1.0

    # Requests

    def assign(self, job: Job) -> "Deferred[Assignment | Refusal]":
        """Reserve replicas for a job, queueing at the owner if none is free."""
        self._check_for_pause()
        result: Deferred[Assignment | Refusal] = Deferred()
        group = self._groups.group_for(job.pool, job.request_id)
        if group is None:
            self._counters[Reason.NO_BACKEND_SERVER.value] += 1
            result.callback(self._refusal(Reason.NO_BACKEND_SERVER, 1.0))
            return result
        seconds_left = max(0.0, self._wait_deadline(job) - self._clock.seconds())
        timer = self._clock.callLater(seconds_left, self._time_out, job.request_id)
        self._pending_by_id[job.request_id] = _Pending(job, group, result, timer)
        self._send_request(job.request_id)
        return result

    def cancel(self, request_id: str) -> None:
        """Cancel a request: release it if assigned, refuse it if queued."""
        if request_id not in self._pending_by_id:
            self.release(request_id)
            return
        pending = self._pop_pending(request_id)
        self._send_to_owner(pending.group, PlacementCancel(pending.group, request_id))
        self._counters[Reason.CANCELLED.value] += 1
        pending.result.callback(self._refusal(Reason.CANCELLED, None))

    def prefilled(self, request_id: str) -> None:
        """Free the prefill slot once the result has left the prefill replica."""
        holding = self._holdings_by_id.get(request_id)
        if holding is None or not holding.prefill:
            return
        self._holdings_by_id[request_id] = replace(holding, prefill="")
        self._freed_slots(self._group_by_id[request_id]).prefilled.append(request_id)

    def release(self, request_id: str, *, completed: bool = False) -> None:
        """Free all slots of a request; repeated calls change nothing.

        ``completed`` says that it was answered in full. Its copies, which share
        its fingerprint, may then run on other replicas at the same time.
        """
        if self._holdings_by_id.pop(request_id, None) is None:
            return
        freed = self._freed_slots(self._group_by_id.pop(request_id))
        freed.released.append(request_id)
        if completed:
            freed.completed.append(request_id)

    def refused_by_engine(self, request_id: str, replica: str) -> None:
        """Free the slots of a request that its engine refused.

        ``assign`` may be called again for it.
        """
        if self._holdings_by_id.pop(request_id, None) is None:
            return
        self._counters["refused_by_engine"] += 1
        group = self._group_by_id.pop(request_id)
        self._send_to_owner(group, PlacementRefused(group, request_id, replica))

    def is_owner_of(self, replica: str) -> bool:
        """Return whether this instance is the placement owner of a replica."""
        return self._groups.group_of(replica) in self._owners_by_group

    def in_flight(self, replica: str) -> int:
        """Return how many of this instance's requests hold a slot of the replica."""
        return sum(
            replica in (each.prefill, each.decode, each.server)
            for each in self._holdings_by_id.values()
        )

    def counters(self) -> dict[str, int]:
        """Return counts of results by reason, and the owned groups' counts."""
        counts = Counter(self._counters)
        for owner in self._owners_by_group.values():
            for name, count in owner.counters.items():
                counts[f"owner_{name}"] += count
        return dict(counts)

    def tick(self) -> None:
        """Repeat unanswered requests and send the owners the counts in flight."""
        self._check_for_pause()
        self._repeat_requests(force=False)
        for owner in list(self._owners_by_group.values()):
            owner.tick()
        now = self._clock.seconds()
        if now - self._counts_sent_at < HOLDINGS_COUNT_INTERVAL_SECONDS:
            return
        self._counts_sent_at = now
        counts = Counter(self._group_by_id.values())
        for group in self._groups.names:
            self._send_freed(group)
            self._send_to_owner(group, HoldingsCount(group, counts[group]))

    def _check_for_pause(self) -> None:
        """Restart the owned groups after a pause, as their state may be stale."""
        now = self._clock.seconds()
        paused = now - self._last_tick > PAUSE_THRESHOLD_SECONDS
        self._last_tick = now
        if not paused:
            return
        self._counters["pauses"] += 1
        for owner in self._owners_by_group.values():
            owner.start(self._live_by_name, 0.0)

    def _wait_deadline(self, job: Job) -> float:
        return job.give_up_at if job.patient else job.deadline

    def _time_out(self, request_id: str) -> None:
        if request_id not in self._pending_by_id:
            return
        pending = self._pop_pending(request_id)
        self._send_to_owner(pending.group, PlacementCancel(pending.group, request_id))
        self._counters[Reason.FIRST_TOKEN_TARGET_MISSED.value] += 1
        self._counters["unanswered_asks"] += 1
        pending.result.callback(self._refusal(Reason.FIRST_TOKEN_TARGET_MISSED, 1.0))

    def _pop_pending(self, request_id: str) -> _Pending:
        pending = self._pending_by_id.pop(request_id)
        if pending.timer.active():
            pending.timer.cancel()
        return pending

    def _repeat_requests(self, *, force: bool) -> None:
        now = self._clock.seconds()
        for request_id, pending in list(self._pending_by_id.items()):
            last_asked_at = max(pending.asked_at_by_number.values(), default=0.0)
            if force or now - last_asked_at >= ASK_RETRY_SECONDS:
                self._send_request(request_id)

    def _send_request(self, request_id: str) -> None:
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
        ask = to_placement_ask(pending.job, pending.group, number, now, unreachable)
        self._send_to_owner(pending.group, ask)

    def _freed_slots(self, group: str) -> FreedSlots:
        freed = self._freed_by_group.get(group)
        if freed is None:
            freed = self._freed_by_group[group] = FreedSlots()
            self._clock.callLater(FREED_BATCH_SECONDS, self._send_freed, group)
        return freed

    def _send_freed(self, group: str) -> None:
        freed = self._freed_by_group.pop(group, None)
        if freed is None:
            return
        message = freed.message(group)
        self._send_to_owner(group, message)

    def _refusal(self, reason: Reason, seconds: float | None) -> Refusal:
        retry_after = None if seconds is None else timedelta(seconds=seconds)
        return Refusal(reason, Step.QUEUE, retry_after=retry_after)

    # Messages

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message from another instance; other types are ignored."""
        self._check_for_pause()
        self._receive(message, instance)

    @singledispatchmethod
    def _receive(self, message: PeerMessage, instance: str) -> None:
        pass

    @_receive.register
    def _(self, message: PlacementAsk, instance: str) -> None:
        owner = self._owners_by_group.get(message.group)
        if owner is not None:
            owner.enqueue(instance, message)

    @_receive.register
    def _(self, message: PlacementCancel, instance: str) -> None:
        owner = self._owners_by_group.get(message.group)
        if owner is not None:
            owner.cancel(message.request_id)

    @_receive.register
    def _(self, message: PlacementFreed, instance: str) -> None:
        owner = self._owners_by_group.get(message.group)
        if owner is None:
            return
        for request_id in message.prefilled:
            owner.prefilled(request_id)
        for request_id in message.released:
            owner.release(request_id, completed=request_id in message.completed)

    @_receive.register
    def _(self, message: PlacementRefused, instance: str) -> None:
        owner = self._owners_by_group.get(message.group)
        if owner is not None:
            owner.engine_refused(message.request_id, message.replica)

    @_receive.register
    def _(self, message: Holdings, instance: str) -> None:
        owner = self._owners_by_group.get(message.group)
        if owner is not None:
            owner.receive_holdings(instance, message)

    @_receive.register
    def _(self, message: HoldingsCount, instance: str) -> None:
        owner = self._owners_by_group.get(message.group)
        if owner is not None:
            owner.check_count(instance, message.count)

    @_receive.register
    def _(self, message: HoldingsWanted, instance: str) -> None:
        self._announced_owner_by_group[message.group] = (
            instance,
            self._clock.seconds(),
        )
        self._freed_by_group.pop(message.group, None)
        holdings = tuple(
            holding
            for request_id, holding in self._holdings_by_id.items()
            if self._group_by_id[request_id] == message.group
        )
        answer = Holdings(
            message.group, message.number, holdings, self._seconds_since_loss()
        )
        self._send(instance, answer)

    @_receive.register
    def _(self, message: PlacementGrant, instance: str) -> None:
        pending = self._pending_by_id.get(message.request_id)
        if pending is None or not self._grant_usable(pending, message, instance):
            if message.request_id not in self._holdings_by_id:
                self._counters["grants_unused"] += 1
                freed = PlacementFreed(message.group, released=(message.request_id,))
                self._send(instance, freed)
            return
        self._pop_pending(message.request_id)
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
        pending.result.callback(
            Assignment(job.request_id, message.prefill, message.decode, message.server)
        )

    @_receive.register
    def _(self, message: PlacementDecline, instance: str) -> None:
        pending = self._pending_by_id.get(message.request_id)
        if pending is None or message.number not in pending.asked_at_by_number:
            return
        self._pop_pending(message.request_id)
        reason = Reason(message.reason)
        self._counters[reason.value] += 1
        pending.result.callback(self._refusal(reason, message.retry_after))

    def _grant_usable(
        self, pending: _Pending, message: PlacementGrant, instance: str
    ) -> bool:
        """Return whether a grant is recent and comes from the group's owner.

        The sender must be the owner in this instance's view, and no other instance
        may have asked for holdings as the owner within ``GRANT_LEASE_SECONDS``.
        """
        now = self._clock.seconds()
        asked_at = pending.asked_at_by_number.get(message.number)
        if asked_at is None or now - asked_at > GRANT_LEASE_SECONDS:
            return False
        if instance != self._owner_of(message.group):
            return False
        announced, announced_at = self._announced_owner_by_group.get(
            message.group, (instance, now)
        )
        return announced == instance or now - announced_at > GRANT_LEASE_SECONDS

    def _send_to_owner(self, group: str, message: PeerMessage) -> None:
        instance = self._owner_of(group)
        if instance is not None:
            self._send(instance, message)

    def _send(self, instance: str, message: PeerMessage) -> None:
        if instance == self._members.own.instance:
            self._receive(message, instance)
            return
        self._counters["messages_sent"] += 1
        self._sender.send(instance, message)
