"""The placement owner of a group of replicas, with its slots and its queue."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from .clock import Clock
from .fairness import FairShares
from .peer import PeerMessage
from .placement_messages import (
    Holding,
    Holdings,
    HoldingsWanted,
    PlacementAsk,
    PlacementDecline,
    PlacementGrant,
)
from .placement_servers import ENGINE_FULL_SECONDS, Replica, Servers
from .queueing import DeadlineQueue
from .refusals import Reason, Refusal
from .suspects import Admission

SLOT_LEASE_SECONDS = 5.0
"""How long the slots of a lost instance stay reserved."""

START_MARGIN_SECONDS = 0.02
"""Margin added to the estimated prefill time of a request."""

SLOTS_PER_HEADROOM_SLOT = 32
"""In overload, one slot in this many is headroom for accounts within their share."""

PATIENT_HEADROOM_FACTOR = 2
"""Patient requests can wait, so they must leave this many times the headroom free."""

HOLDINGS_RETRY_SECONDS = 0.5
"""Interval at which unanswered queries for holdings are sent again."""

URGENT_SECONDS = 0.03
"""Time before its latest start from which a request may take headroom."""

MAX_RETRY_AFTER_SECONDS = 30.0
TIMER_SLACK_SECONDS = 0.001
PREFILL_EWMA_WEIGHT = 0.1


@dataclass(slots=True)
class _Reservation:
    instance: str
    holding: Holding
    granted_at: float
    prompt_tokens: int
    query_number: int


@dataclass(slots=True)
class _QueuedAsk:
    instance: str
    ask: PlacementAsk
    give_up_at: float


class PlacementOwner:
    """Queues the placement requests of all instances and grants the group's slots.

    Only the owner grants, so a slot is never granted twice while instances
    agree on the owner. Decode slots are reserved together with prefill slots,
    so that no prefill runs without memory for its result. A new owner, and one
    that was paused, first asks every live instance for its requests in flight,
    and grants nothing until all have answered or their slot leases have expired.

    Parameters
    ----------
    group : str
        The group of replicas owned.
    send : callable
        Sends a message to an instance.
    admit : callable
        Returns how requests with a fingerprint may run, or a refusal.
    zone_usable : callable
        Returns whether the replicas of an availability zone may be granted.
    zone_of : callable
        Returns the availability zone of an instance.
    numbers : iterator
        Increasing numbers for the queries to instances; they keep increasing when
        an owner restarts or is replaced at this instance.
    """

    def __init__(
        self,
        *,
        group: str,
        clock: Clock,
        random: Random,
        send: Callable[[str, PeerMessage], None],
        admit: Callable[[str], Admission | Refusal],
        zone_usable: Callable[[str], bool],
        zone_of: Callable[[str], str],
        numbers: Iterator[int],
    ) -> None:
        self.group = group
        self.counters: Counter[str] = Counter()
        self._clock = clock
        self._random = random
        self._send = send
        self._admit = admit
        self._servers = Servers(clock=clock, zone_usable=zone_usable)
        self._fair_shares = FairShares(clock)
        self._zone_of = zone_of
        self._numbers = numbers
        self._reservations_by_id: dict[str, _Reservation] = {}
        self._queued_by_id: dict[str, _QueuedAsk] = {}
        self._queue = DeadlineQueue()
        self._seconds_per_prompt_token = 0.0
        self._holdings_asked_at_by_instance: dict[str, float] = {}
        self._holdings_requested_at = 0.0
        self._query_number = 0
        self._start_query_number = 0
        self._count_mismatches: set[str] = set()
        self._started_at = 0.0
        self._processing = False
        self._process_again = False
        self._timer = None

    # Ownership

    def start(self, instances: Iterable[str], lost_seconds: float) -> None:
        """Discard all state and ask all live instances for their holdings.

        ``lost_seconds`` is how long ago an instance was lost, negative if none
        was. Its requests may still run without any live instance knowing them,
        so all slots are blocked until their lease has expired.
        """
        now = self._clock.seconds()
        self.counters["starts"] += 1
        self._started_at = now
        self._reservations_by_id.clear()
        self._queued_by_id.clear()
        self._queue = DeadlineQueue()
        self._servers.clear()
        self._block_after_loss(lost_seconds)
        self._query_number = self._start_query_number = next(self._numbers)
        self._holdings_asked_at_by_instance = dict.fromkeys(sorted(instances), now)
        self._request_holdings()

    def stop(self) -> None:
        """Cancel the timer; called when the owner is no longer used."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def instance_joined(self, instance: str) -> None:
        """Ask a new or restarted instance for its holdings before granting more."""
        self._query_number = next(self._numbers)
        self._holdings_asked_at_by_instance[instance] = self._clock.seconds()
        self._request_holdings()

    def tick(self) -> None:
        """Repeat unanswered queries for holdings.

        An instance that has not answered for ``SLOT_LEASE_SECONDS`` is assumed to
        hold no slots, as its leases have expired.
        """
        now = self._clock.seconds()
        if (
            not self._holdings_asked_at_by_instance
            or now - self._holdings_requested_at < HOLDINGS_RETRY_SECONDS
        ):
            return
        for instance, asked_at in list(self._holdings_asked_at_by_instance.items()):
            if now - asked_at >= SLOT_LEASE_SECONDS:
                self.counters["instances_unheard"] += 1
                del self._holdings_asked_at_by_instance[instance]
        self._request_holdings()
        self.process_queue()

    def _request_holdings(self) -> None:
        self._holdings_requested_at = self._clock.seconds()
        for instance in list(self._holdings_asked_at_by_instance):
            self._send(instance, HoldingsWanted(self.group, self._query_number))

    def instance_lost(self, instance: str) -> None:
        """Drop an instance's queued requests, and keep its slots for their lease."""
        lost_instance = f"{instance} lost at {self._clock.seconds()}"
        for reservation in self._reservations_by_id.values():
            if reservation.instance == instance:
                reservation.instance = lost_instance
        self._clock.callLater(SLOT_LEASE_SECONDS, self._end_lease, lost_instance)
        for request_id, queued in list(self._queued_by_id.items()):
            if queued.instance == instance:
                self._remove_queued(request_id)
        if self._holdings_asked_at_by_instance.pop(instance, None) is not None:
            self._block_after_loss(0.0)
        self.process_queue()

    def _end_lease(self, lost_instance: str) -> None:
        for request_id, reservation in list(self._reservations_by_id.items()):
            if reservation.instance == lost_instance:
                self.counters["lapsed"] += 1
                self._free(request_id)
        self.process_queue()

    def _block_after_loss(self, lost_seconds: float) -> None:
        if lost_seconds < 0:
            return
        until = self._clock.seconds() + SLOT_LEASE_SECONDS - lost_seconds
        self._servers.block(until)
        self._clock.callLater(
            max(0.0, SLOT_LEASE_SECONDS - lost_seconds), self.process_queue
        )

    def receive_holdings(self, instance: str, message: Holdings) -> None:
        """Replace the reservations of an instance by those that it reports.

        Reservations made after the query was sent stay, as the report may have
        crossed their grant.
        """
        if message.number < self._start_query_number:
            return
        named = {holding.request_id for holding in message.holdings}
        for request_id, reservation in list(self._reservations_by_id.items()):
            stale = (
                reservation.instance == instance
                and reservation.query_number < message.number
            )
            if stale and request_id not in named:
                self.counters["resynced"] += 1
                self._free(request_id)
        for holding in message.holdings:
            reservation = self._reservations_by_id.get(holding.request_id)
            if reservation is None:
                self._reserve(instance, holding, prompt_tokens=0)
            else:
                reservation.instance = instance
        if self._holdings_asked_at_by_instance.pop(instance, None) is not None:
            self._block_after_loss(message.lost_seconds)
        self.process_queue()

    def check_count(self, instance: str, count: int) -> None:
        """Compare an instance's count of its holdings with this owner's count.

        The holdings are queried after two differing counts in a row; a single one
        may be due to messages in transit.
        """
        count_here = sum(
            r.instance == instance for r in self._reservations_by_id.values()
        )
        if count_here == count:
            self._count_mismatches.discard(instance)
        elif instance not in self._count_mismatches:
            self._count_mismatches.add(instance)
        else:
            self._count_mismatches.discard(instance)
            self._query_number = next(self._numbers)
            self._send(instance, HoldingsWanted(self.group, self._query_number))

    # Replicas

    def configure(self, replicas: Iterable[Replica]) -> None:
        """Replace the replicas and decline queued requests that none can serve.

        Requests in flight on replicas that were removed stay recorded.
        """
        self._servers.configure(replicas)
        for queued in list(self._queued_by_id.values()):
            self._decline_unservable(queued)
        self.process_queue()

    def observe_load(self, replica: str, held: int, reported_at: float) -> None:
        """Derive the number of lost instances' requests on a blocked replica.

        Reports from before the owner's start, or received while holdings are
        still awaited, are ignored.
        """
        if reported_at <= self._started_at or self._holdings_asked_at_by_instance:
            return
        if self._servers.observe_load(replica, held):
            self.process_queue()

    # Requests

    def enqueue(self, instance: str, ask: PlacementAsk) -> None:
        """Queue a placement request, or grant it again if it was granted before.

        A repeated request that is still queued keeps its place and takes the
        newest number.
        """
        reservation = self._reservations_by_id.get(ask.request_id)
        if reservation is not None:
            reservation.query_number = self._query_number
            reservation.instance = instance
            self._grant(instance, ask.number, reservation.holding)
            return
        queued = self._queued_by_id.get(ask.request_id)
        if queued is not None:
            queued.ask = ask
            return
        now = self._clock.seconds()
        wait_seconds = ask.give_up_left if ask.patient else ask.time_left
        prefill_seconds = 0.0 if ask.patient else self._prefill_seconds(ask)
        accepted = self._queue.push(
            ask.request_id,
            ask.account,
            cost=ask.prompt_tokens + ask.output_tokens,
            weight=ask.weight,
            latest_start=now + wait_seconds - prefill_seconds,
            patient=ask.patient,
        )
        if not accepted:
            self._decline(instance, ask, Reason.QUEUE_FULL)
            return
        cost = ask.prompt_tokens + ask.output_tokens
        self._fair_shares.record_requested(ask.account, ask.weight, cost)
        queued = _QueuedAsk(instance, ask, now + wait_seconds)
        self._queued_by_id[ask.request_id] = queued
        if self._decline_unservable(queued):
            return
        self.process_queue()

    def cancel(self, request_id: str) -> None:
        """Remove a request from the queue, or free its slots if it was granted."""
        if request_id in self._queued_by_id:
            self._remove_queued(request_id)
        self.release(request_id)

    def prefilled(self, request_id: str) -> None:
        """Free the prefill slot of a request and record how long the prefill took."""
        reservation = self._reservations_by_id.get(request_id)
        if reservation is None or not reservation.holding.prefill:
            return
        reservation.holding = self._servers.prefilled(reservation.holding)
        if reservation.prompt_tokens:
            latest = (
                self._clock.seconds() - reservation.granted_at
            ) / reservation.prompt_tokens
            previous = self._seconds_per_prompt_token or latest
            self._seconds_per_prompt_token += PREFILL_EWMA_WEIGHT * (latest - previous)
            if self._seconds_per_prompt_token == 0.0:
                self._seconds_per_prompt_token = latest
        self.process_queue()

    def release(self, request_id: str, *, completed: bool = False) -> None:
        """Free all slots of a request; repeated calls change nothing.

        ``completed`` says that it was answered in full.
        """
        reservation = self._reservations_by_id.get(request_id)
        if reservation is None:
            return
        if completed and reservation.holding.fingerprint:
            self._servers.trust(reservation.holding.fingerprint)
        self._free(request_id)
        self.process_queue()

    def engine_refused(self, request_id: str, replica: str) -> None:
        """Free the slots of a refused request, and count the replica as full."""
        self.counters["engine_refusals"] += 1
        self._servers.mark_full(replica)
        self._clock.callLater(ENGINE_FULL_SECONDS, self.process_queue)
        self.release(request_id)

    # Queue

    def process_queue(self) -> None:
        """Grant free slots in queue order and decline expired requests."""
        if self._processing:
            self._process_again = True
            return
        self._processing = True
        try:
            self._process_again = True
            while self._process_again:
                self._process_again = False
                self._expire()
                self._grant_next()
        finally:
            self._processing = False
        self._set_timer()

    def _grant_next(self) -> None:
        if self._holdings_asked_at_by_instance or not self._servers.has_free_slots():
            return
        for request_id in self._queue.in_order():
            queued = self._queued_by_id[request_id]
            if self._grant_or_decline(request_id, queued):
                self._process_again = True
                return

    def _grant_or_decline(self, request_id: str, queued: _QueuedAsk) -> bool:
        """Grant or decline one queued request; ``False`` leaves it queued."""
        ask = queued.ask
        if self._decline_unservable(queued):
            return True
        admission = self._admit(ask.fingerprint)
        if self._blocked_by_headroom(request_id, ask):
            return False
        alone = ask.alone or admission is Admission.RUN_ALONE
        zone = self._zone_of(queued.instance)
        holding = self._servers.choose(ask, zone, alone)
        if holding is None:
            return False
        del self._queued_by_id[request_id]
        self._queue.take(request_id)
        self._fair_shares.record_served(
            ask.account, ask.prompt_tokens + ask.output_tokens
        )
        self._reserve(queued.instance, holding, ask.prompt_tokens)
        self._servers.record_prefix(ask.prefix, holding.prefill)
        self._grant(queued.instance, ask.number, holding)
        return True

    def _decline_unservable(self, queued: _QueuedAsk) -> bool:
        """Decline a queued request that is refused or that no replica can serve."""
        ask = queued.ask
        admission = self._admit(ask.fingerprint)
        if isinstance(admission, Refusal):
            self._remove_queued(ask.request_id)
            self._decline(queued.instance, ask, Reason.SUSPECT, admission.retry_after)
            return True
        if not self._servers.servable(ask):
            self._remove_queued(ask.request_id)
            self._decline(queued.instance, ask, Reason.NO_BACKEND_SERVER)
            return True
        return False

    def _blocked_by_headroom(self, request_id: str, ask: PlacementAsk) -> bool:
        """Return whether a request must wait because only headroom is free.

        In overload the last free slots are kept for accounts within their share,
        which can't wait as long as it may take until the next slot is free.
        """
        role = "plain" if ask.plain else "decode"
        headroom = self._servers.all_slots(role) // SLOTS_PER_HEADROOM_SLOT
        if ask.patient:
            headroom *= PATIENT_HEADROOM_FACTOR
        if (
            self._servers.free_slots(role) > headroom
            or not self._fair_shares.overloaded()
        ):
            return False
        if ask.patient:
            return not self._queue.patient_has_credit()
        if not self._fair_shares.exceeds_fair_share(ask.account):
            return False
        return (
            self._clock.seconds()
            < self._queue.latest_start(request_id) - URGENT_SECONDS
        )

    # Bookkeeping

    def _reserve(self, instance: str, holding: Holding, prompt_tokens: int) -> None:
        now = self._clock.seconds()
        self._reservations_by_id[holding.request_id] = _Reservation(
            instance, holding, now, prompt_tokens, self._query_number
        )
        self._servers.hold(holding)

    def _free(self, request_id: str) -> None:
        self._servers.free(self._reservations_by_id.pop(request_id).holding)

    def _remove_queued(self, request_id: str) -> None:
        del self._queued_by_id[request_id]
        if request_id in self._queue:
            self._queue.remove(request_id)

    def _prefill_seconds(self, ask: PlacementAsk) -> float:
        if ask.plain:
            return 0.0
        estimate = self._seconds_per_prompt_token * ask.prompt_tokens
        return estimate + START_MARGIN_SECONDS

    def _expire(self) -> None:
        for request_id in self._queue.expire(self._clock.seconds()):
            queued = self._queued_by_id.pop(request_id)
            self._decline(queued.instance, queued.ask, self._expiry_reason(queued.ask))

    def _expiry_reason(self, ask: PlacementAsk) -> Reason:
        if ask.patient and not ask.plain:
            return Reason.NO_ENGINE_MEMORY
        return Reason.FIRST_TOKEN_TARGET_MISSED

    def _grant(self, instance: str, number: int, holding: Holding) -> None:
        self.counters["grants"] += 1
        grant = PlacementGrant(
            self.group,
            number,
            holding.request_id,
            holding.prefill,
            holding.decode,
            holding.server,
            holding.alone,
        )
        self._send(instance, grant)

    def _decline(
        self,
        instance: str,
        ask: PlacementAsk,
        reason: Reason,
        retry_after: timedelta | None = None,
    ) -> None:
        self.counters[f"declined_{reason.value}"] += 1
        if retry_after is None:
            seconds = self._random.uniform(0.5, 1.5) * (1 + len(self._queue) / 20)
            seconds = min(MAX_RETRY_AFTER_SECONDS, seconds)
        else:
            seconds = retry_after.total_seconds()
        decline = PlacementDecline(
            self.group,
            ask.number,
            ask.request_id,
            reason.value,
            seconds,
        )
        self._send(instance, decline)

    def _set_timer(self) -> None:
        expiry = self._queue.next_expiry()
        self.stop()
        if expiry is not None:
            wait = max(0.0, expiry - self._clock.seconds()) + TIMER_SLACK_SECONDS
            if wait > URGENT_SECONDS + 2 * TIMER_SLACK_SECONDS:
                wait -= URGENT_SECONDS
            self._timer = self._clock.callLater(wait, self.process_queue)
