"""The placing owner of a group of replicas: its slots and its queue."""

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
"""How long slots stay taken after their instance was last seen."""

START_MARGIN_SECONDS = 0.02

SLOTS_PER_KEPT_SLOT = 32
"""Slots of which one is kept, in overload, for accounts within their share."""

KEPT_FROM_PATIENT = 2
"""How many times more slots are kept from patient requests, which can wait."""

REPEAT_SECONDS = 0.5
"""How often instances are asked again for what they hold."""

URGENT_SECONDS = 0.03
"""Time before its latest start at which a request is held back no more."""

MAX_RETRY_AFTER_SECONDS = 30.0
TIMER_SLACK_SECONDS = 0.001
PREFILL_SMOOTHING = 0.1


@dataclass(slots=True)
class _Held:
    instance: str
    holding: Holding
    granted_at: float
    prompt_tokens: int
    number: int


@dataclass(slots=True)
class _Waiting:
    instance: str
    ask: PlacementAsk
    give_up: float


class PlacementOwner:
    """Queues the asks of all instances and grants the group's slots to them.

    Only the owner grants, so a slot is never granted twice while instances
    agree on the owner. Decode slots are reserved together with prefill slots,
    so that no prefill is done without memory for its result. A new owner, and
    one that was paused, first learns from every live instance what it has in
    flight, and grants nothing before.

    Parameters
    ----------
    group : str
        The group of replicas owned.
    send : callable
        Sends a message to an instance.
    admit : callable
        Tells how requests of a fingerprint may run.
    zone_usable : callable
        Tells whether the replicas of an availability zone may be granted.
    zone_of : callable
        Returns the availability zone of an instance.
    numbers : iterator
        Numbers the questions to instances, growing over owners and restarts.
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
        self._shares = FairShares(clock)
        self._zone_of = zone_of
        self._numbers = numbers
        self._held_by_id: dict[str, _Held] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._queue = DeadlineQueue()
        self._seconds_per_prompt_token = 0.0
        self._asked_at_by_unheard: dict[str, float] = {}
        self._wanted_at = 0.0
        self._number = 0
        self._started_number = 0
        self._miscounted: set[str] = set()
        self._started_at = 0.0
        self._serving = False
        self._serve_again = False
        self._timer = None

    # Ownership

    def start(self, instances: Iterable[str], lost_seconds: float) -> None:
        """Forget everything and ask all live instances what they hold.

        ``lost_seconds`` is how long ago an instance vanished, negative if none
        did: its requests may still run, unknown to all others.
        """
        now = self._clock.seconds()
        self.counters["starts"] += 1
        self._started_at = now
        self._held_by_id.clear()
        self._waiting_by_id.clear()
        self._queue = DeadlineQueue()
        self._servers.clear()
        self._block_for_lost(lost_seconds)
        self._number = self._started_number = next(self._numbers)
        self._asked_at_by_unheard = dict.fromkeys(sorted(instances), now)
        self._ask_unheard()

    def stop(self) -> None:
        """Cancel the timer; the owner is used no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def instance_joined(self, instance: str) -> None:
        """Ask an instance that came (back) what it holds, before more grants."""
        self._number = next(self._numbers)
        self._asked_at_by_unheard[instance] = self._clock.seconds()
        self._ask_unheard()

    def tick(self) -> None:
        """Ask the instances again that have not told what they hold.

        One that stays silent for a lease holds nothing any more.
        """
        now = self._clock.seconds()
        if not self._asked_at_by_unheard or now - self._wanted_at < REPEAT_SECONDS:
            return
        for instance, asked_at in list(self._asked_at_by_unheard.items()):
            if now - asked_at >= SLOT_LEASE_SECONDS:
                self.counters["instances_unheard"] += 1
                del self._asked_at_by_unheard[instance]
        self._ask_unheard()
        self.serve()

    def _ask_unheard(self) -> None:
        self._wanted_at = self._clock.seconds()
        for instance in list(self._asked_at_by_unheard):
            self._send(instance, HoldingsWanted(self.group, self._number))

    def instance_lost(self, instance: str) -> None:
        """Drop the asks of an instance, and keep its slots for their lease."""
        gone = f"{instance} lost at {self._clock.seconds()}"
        for held in self._held_by_id.values():
            if held.instance == instance:
                held.instance = gone
        self._clock.callLater(SLOT_LEASE_SECONDS, self._end_lease, gone)
        for request_id, waiting in list(self._waiting_by_id.items()):
            if waiting.instance == instance:
                self._forget_waiting(request_id)
        if self._asked_at_by_unheard.pop(instance, None) is not None:
            self._block_for_lost(0.0)
        self.serve()

    def _end_lease(self, gone: str) -> None:
        for request_id, held in list(self._held_by_id.items()):
            if held.instance == gone:
                self.counters["lapsed"] += 1
                self._free(request_id)
        self.serve()

    def _block_for_lost(self, lost_seconds: float) -> None:
        if lost_seconds < 0:
            return
        until = self._clock.seconds() + SLOT_LEASE_SECONDS - lost_seconds
        self._servers.block(until)
        self._clock.callLater(max(0.0, SLOT_LEASE_SECONDS - lost_seconds), self.serve)

    def receive_holdings(self, instance: str, message: Holdings) -> None:
        """Take over what an instance says that it has in flight."""
        if message.number < self._started_number:
            return
        named = {holding.request_id for holding in message.holdings}
        for request_id, held in list(self._held_by_id.items()):
            stale = held.instance == instance and held.number < message.number
            if stale and request_id not in named:
                self.counters["resynced"] += 1
                self._free(request_id)
        for holding in message.holdings:
            held = self._held_by_id.get(holding.request_id)
            if held is None:
                self._hold(instance, holding, prompt_tokens=0)
            else:
                held.instance = instance
        if self._asked_at_by_unheard.pop(instance, None) is not None:
            self._block_for_lost(message.lost_seconds)
        self.serve()

    def check_count(self, instance: str, count: int) -> None:
        """Ask an instance for its holdings if it counted otherwise twice."""
        known = sum(h.instance == instance for h in self._held_by_id.values())
        if known == count:
            self._miscounted.discard(instance)
        elif instance not in self._miscounted:
            self._miscounted.add(instance)
        else:
            self._miscounted.discard(instance)
            self._number = next(self._numbers)
            self._send(instance, HoldingsWanted(self.group, self._number))

    # Replicas

    def configure(self, replicas: Iterable[Replica]) -> None:
        """Replace the replicas; those that left keep their requests."""
        self._servers.configure(replicas)
        for waiting in list(self._waiting_by_id.values()):
            self._decline_hopeless(waiting)
        self.serve()

    def observe_load(self, replica: str, held: int, reported_at: float) -> None:
        """Learn from a load report how many requests of lost instances run."""
        if reported_at <= self._started_at or self._asked_at_by_unheard:
            return
        if self._servers.observe_load(replica, held):
            self.serve()

    # Requests

    def ask(self, instance: str, ask: PlacementAsk) -> None:
        """Queue an ask; one that is repeated gets the same answer again."""
        held = self._held_by_id.get(ask.request_id)
        if held is not None:
            held.number = self._number
            held.instance = instance
            self._grant(instance, ask.number, held.holding)
            return
        waiting = self._waiting_by_id.get(ask.request_id)
        if waiting is not None:
            waiting.ask = ask
            return
        now = self._clock.seconds()
        left = ask.give_up_left if ask.patient else ask.time_left
        prefill = 0.0 if ask.patient else self._prefill_seconds(ask)
        queued = self._queue.push(
            ask.request_id,
            ask.account,
            cost=ask.prompt_tokens + ask.output_tokens,
            weight=ask.weight,
            latest_start=now + left - prefill,
            patient=ask.patient,
        )
        if not queued:
            self._decline(instance, ask, Reason.QUEUE_FULL)
            return
        cost = ask.prompt_tokens + ask.output_tokens
        self._shares.asked(ask.account, ask.weight, cost)
        waiting = _Waiting(instance, ask, now + left)
        self._waiting_by_id[ask.request_id] = waiting
        if self._decline_hopeless(waiting):
            return
        self.serve()

    def cancel(self, request_id: str) -> None:
        """Take back an ask or its grant, whichever stands."""
        if request_id in self._waiting_by_id:
            self._forget_waiting(request_id)
        self.release(request_id)

    def prefilled(self, request_id: str) -> None:
        """Free the prefill slot of a request and learn how long it took."""
        held = self._held_by_id.get(request_id)
        if held is None or not held.holding.prefill:
            return
        held.holding = self._servers.prefilled(held.holding)
        if held.prompt_tokens:
            took = (self._clock.seconds() - held.granted_at) / held.prompt_tokens
            known = self._seconds_per_prompt_token or took
            self._seconds_per_prompt_token += PREFILL_SMOOTHING * (took - known)
            if self._seconds_per_prompt_token == 0.0:
                self._seconds_per_prompt_token = took
        self.serve()

    def release(self, request_id: str, *, completed: bool = False) -> None:
        """Free everything of a request; doing so twice changes nothing."""
        held = self._held_by_id.get(request_id)
        if held is None:
            return
        if completed and held.holding.fingerprint:
            self._servers.trust(held.holding.fingerprint)
        self._free(request_id)
        self.serve()

    def refused(self, request_id: str, replica: str) -> None:
        """Take the engine's word that it has no room, and free the grant."""
        self.counters["engine_refusals"] += 1
        self._servers.refused(replica)
        self._clock.callLater(ENGINE_FULL_SECONDS, self.serve)
        self.release(request_id)

    # Serving

    def serve(self) -> None:
        """Grant free slots in the queue's order and decline what expired."""
        if self._serving:
            self._serve_again = True
            return
        self._serving = True
        try:
            self._serve_again = True
            while self._serve_again:
                self._serve_again = False
                self._expire()
                self._grant_next()
        finally:
            self._serving = False
        self._set_timer()

    def _grant_next(self) -> None:
        if self._asked_at_by_unheard or not self._servers.has_room():
            return
        for request_id in self._queue.in_order():
            waiting = self._waiting_by_id[request_id]
            if self._settle(request_id, waiting):
                self._serve_again = True
                return

    def _settle(self, request_id: str, waiting: _Waiting) -> bool:
        """Grant or decline one waiting request; ``False`` leaves it waiting."""
        ask = waiting.ask
        if self._decline_hopeless(waiting):
            return True
        admission = self._admit(ask.fingerprint)
        if self._held_back(request_id, ask):
            return False
        alone = ask.alone or admission is Admission.RUN_ALONE
        zone = self._zone_of(waiting.instance)
        holding = self._servers.choose(ask, zone, alone)
        if holding is None:
            return False
        del self._waiting_by_id[request_id]
        self._queue.take(request_id)
        self._shares.served(ask.account, ask.prompt_tokens + ask.output_tokens)
        self._hold(waiting.instance, holding, ask.prompt_tokens)
        self._servers.remember_prefix(ask.prefix, holding.prefill)
        self._grant(waiting.instance, ask.number, holding)
        return True

    def _decline_hopeless(self, waiting: _Waiting) -> bool:
        """Decline a waiting request that no replica may serve, free or not."""
        ask = waiting.ask
        admission = self._admit(ask.fingerprint)
        if isinstance(admission, Refusal):
            self._forget_waiting(ask.request_id)
            self._decline(waiting.instance, ask, Reason.SUSPECT, admission.retry_after)
            return True
        if not self._servers.served_at_all(ask):
            self._forget_waiting(ask.request_id)
            self._decline(waiting.instance, ask, Reason.NO_BACKEND_SERVER)
            return True
        return False

    def _held_back(self, request_id: str, ask: PlacementAsk) -> bool:
        """Tell whether the last free slots are kept for others for now.

        In overload they are kept for accounts within their share, since those
        can't wait as long as it may take until the next slot is free.
        """
        role = "plain" if ask.plain else "decode"
        kept = self._servers.all_slots(role) // SLOTS_PER_KEPT_SLOT
        if ask.patient:
            kept *= KEPT_FROM_PATIENT
        if self._servers.free_slots(role) > kept or not self._shares.overloaded():
            return False
        if ask.patient:
            return not self._queue.patient_due()
        if not self._shares.over_share(ask.account):
            return False
        return (
            self._clock.seconds()
            < self._queue.latest_start(request_id) - URGENT_SECONDS
        )

    # Bookkeeping

    def _hold(self, instance: str, holding: Holding, prompt_tokens: int) -> None:
        now = self._clock.seconds()
        self._held_by_id[holding.request_id] = _Held(
            instance, holding, now, prompt_tokens, self._number
        )
        self._servers.hold(holding)

    def _free(self, request_id: str) -> None:
        self._servers.free(self._held_by_id.pop(request_id).holding)

    def _forget_waiting(self, request_id: str) -> None:
        del self._waiting_by_id[request_id]
        if request_id in self._queue:
            self._queue.remove(request_id)

    def _prefill_seconds(self, ask: PlacementAsk) -> float:
        if ask.plain:
            return 0.0
        took = self._seconds_per_prompt_token * ask.prompt_tokens
        return took + START_MARGIN_SECONDS

    def _expire(self) -> None:
        for request_id in self._queue.expire(self._clock.seconds()):
            waiting = self._waiting_by_id.pop(request_id)
            self._decline(waiting.instance, waiting.ask, self._why_late(waiting.ask))

    def _why_late(self, ask: PlacementAsk) -> Reason:
        if ask.patient and not ask.plain:
            return Reason.NO_ENGINE_MEMORY
        return Reason.TARGET_MISSED

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
            self._timer = self._clock.callLater(wait, self.serve)
