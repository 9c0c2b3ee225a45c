"""The placing owner of a group of replicas: its slots and its queue."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import Literal

from .clock import Clock
from .peer import PeerMessage
from .placement_messages import (
    Holding,
    Holdings,
    HoldingsWanted,
    PlacementAsk,
    PlacementDecline,
    PlacementGrant,
)
from .queueing import DeadlineQueue
from .refusals import Reason, Refusal
from .suspects import Admission

SLOT_LEASE_SECONDS = 5.0
"""How long slots stay taken after their instance was last seen."""

ENGINE_FULL_SECONDS = 0.5
"""How long a replica gets no new work after its engine refused a request."""

START_MARGIN_SECONDS = 0.02
MAX_RETRY_AFTER_SECONDS = 30.0
MAX_KNOWN_PREFIXES = 20_000
MAX_TRUSTED_FINGERPRINTS = 10_000
AFFINITY_SLACK_SLOTS = 1
"""Slots by which a replica with the prefix may be busier than the idlest one."""

PREFILL_SMOOTHING = 0.1

ReplicaRole = Literal["prefill", "decode", "plain"]


@dataclass(frozen=True, slots=True)
class Replica:
    """One backend server of a pool; ``slots`` requests run there at once.

    A replica that is not ``accepting`` is leaving and gets no new work.
    """

    name: str
    pool: str
    role: ReplicaRole
    availability_zone: str
    slots: int
    accepting: bool = True


@dataclass(slots=True)
class _Server:
    replica: Replica
    held: set[str] = field(default_factory=set)
    alone: str = ""
    full_until: float = 0.0
    blocked_until: float = 0.0
    orphans: int = 0

    def free(self, now: float) -> int:
        if now < self.full_until:
            return 0
        orphans = self.orphans if now < self.blocked_until else 0
        return self.replica.slots - len(self.held) - orphans


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
        self._zone_usable = zone_usable
        self._zone_of = zone_of
        self._numbers = numbers
        self._servers_by_name: dict[str, _Server] = {}
        self._held_by_id: dict[str, _Held] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._queue = DeadlineQueue()
        self._ids_by_fingerprint: dict[str, set[str]] = {}
        self._trusted: OrderedDict[str, None] = OrderedDict()
        self._replica_by_prefix: OrderedDict[int, str] = OrderedDict()
        self._seconds_per_prompt_token = 0.0
        self._unheard: set[str] = set()
        self._number = 0
        self._started_number = 0
        self._miscounted: set[str] = set()
        self._started_at = 0.0
        self._lost_at_by_instance: dict[str, float] = {}
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
        self._ids_by_fingerprint.clear()
        self._queue = DeadlineQueue()
        for server in self._servers_by_name.values():
            server.held.clear()
            server.alone = ""
            server.orphans = 0
            server.blocked_until = 0.0
        self._block_for_lost(lost_seconds)
        self._number = self._started_number = next(self._numbers)
        self._unheard = set(instances)
        for instance in sorted(self._unheard):
            self._send(instance, HoldingsWanted(self.group, self._number))

    def stop(self) -> None:
        """Cancel the timer; the owner is used no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def instance_joined(self, instance: str) -> None:
        """Ask an instance that came (back) what it holds."""
        self._lost_at_by_instance.pop(instance, None)
        self._number = next(self._numbers)
        self._send(instance, HoldingsWanted(self.group, self._number))

    def instance_lost(self, instance: str) -> None:
        """Drop the asks of an instance, and keep its slots for their lease."""
        now = self._clock.seconds()
        self._lost_at_by_instance[instance] = now
        self._clock.callLater(SLOT_LEASE_SECONDS, self._end_lease, instance, now)
        for request_id, waiting in list(self._waiting_by_id.items()):
            if waiting.instance == instance:
                self._forget_waiting(request_id)
        if instance in self._unheard:
            self._unheard.discard(instance)
            self._block_for_lost(0.0)
        self.serve()

    def _end_lease(self, instance: str, lost_at: float) -> None:
        if self._lost_at_by_instance.get(instance) != lost_at:
            return
        del self._lost_at_by_instance[instance]
        for request_id, held in list(self._held_by_id.items()):
            if held.instance == instance:
                self.counters["lapsed"] += 1
                self._free(request_id)
        self.serve()

    def _block_for_lost(self, lost_seconds: float) -> None:
        if lost_seconds < 0:
            return
        until = self._clock.seconds() + SLOT_LEASE_SECONDS - lost_seconds
        for server in self._servers_by_name.values():
            server.orphans = server.replica.slots
            server.blocked_until = max(server.blocked_until, until)
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
            if holding.request_id not in self._held_by_id:
                self._hold(instance, holding, prompt_tokens=0)
        if instance in self._unheard:
            self._unheard.discard(instance)
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
        replicas_by_name = {replica.name: replica for replica in replicas}
        for name, replica in replicas_by_name.items():
            server = self._servers_by_name.setdefault(name, _Server(replica))
            server.replica = replica
        for name in set(self._servers_by_name) - set(replicas_by_name):
            del self._servers_by_name[name]
        self.serve()

    def observe_load(self, replica: str, held: int, reported_at: float) -> None:
        """Learn from a load report how many requests of lost instances run."""
        server = self._servers_by_name.get(replica)
        if server is None or reported_at <= self._started_at or self._unheard:
            return
        if self._clock.seconds() < server.blocked_until:
            server.orphans = max(0, held - len(server.held))
            self.serve()

    # Requests

    def ask(self, instance: str, ask: PlacementAsk) -> None:
        """Queue an ask; one that is repeated gets the same answer again."""
        held = self._held_by_id.get(ask.request_id)
        if held is not None:
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
        self._waiting_by_id[ask.request_id] = _Waiting(instance, ask, now + left)
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
        self._free_on(held.holding.prefill, request_id)
        held.holding = replace(held.holding, prefill="")
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
            self._trusted[held.holding.fingerprint] = None
            if len(self._trusted) > MAX_TRUSTED_FINGERPRINTS:
                self._trusted.popitem(last=False)
        self._free(request_id)
        self.serve()

    def refused(self, request_id: str, replica: str) -> None:
        """Take the engine's word that it has no room, and free the grant."""
        server = self._servers_by_name.get(replica)
        if server is not None:
            self.counters["engine_refusals"] += 1
            server.full_until = self._clock.seconds() + ENGINE_FULL_SECONDS
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
        if self._unheard:
            return
        for request_id in self._queue.in_order():
            waiting = self._waiting_by_id[request_id]
            if self._settle(request_id, waiting):
                self._serve_again = True
                return

    def _settle(self, request_id: str, waiting: _Waiting) -> bool:
        """Grant or decline one waiting request; ``False`` leaves it waiting."""
        ask = waiting.ask
        admission = self._admit(ask.fingerprint)
        if isinstance(admission, Refusal):
            self._forget_waiting(request_id)
            self._decline(waiting.instance, ask, Reason.SUSPECT, admission.retry_after)
            return True
        alone = ask.alone or admission is Admission.RUN_ALONE
        if not self._served_at_all(ask):
            self._forget_waiting(request_id)
            self._decline(waiting.instance, ask, Reason.NO_BACKEND_SERVER)
            return True
        holding = self._choose(waiting, alone)
        if holding is None:
            return False
        del self._waiting_by_id[request_id]
        self._queue.take(request_id)
        self._hold(waiting.instance, holding, ask.prompt_tokens)
        for block in ask.prefix:
            self._replica_by_prefix[block] = holding.prefill
            self._replica_by_prefix.move_to_end(block)
        while len(self._replica_by_prefix) > MAX_KNOWN_PREFIXES:
            self._replica_by_prefix.popitem(last=False)
        self._grant(waiting.instance, ask.number, holding)
        return True

    def _choose(self, waiting: _Waiting, alone: bool) -> Holding | None:
        ask = waiting.ask
        zone = self._zone_of(waiting.instance)
        if ask.plain:
            server = self._pick("plain", ask, zone, alone)
            if server is None:
                return None
            name = server.replica.name
            return Holding(ask.request_id, "", "", name, ask.fingerprint, alone)
        decode = self._pick("decode", ask, zone, alone)
        if decode is None:
            return None
        prefill_zone = decode.replica.availability_zone
        prefill = self._pick("prefill", ask, prefill_zone, alone)
        if prefill is None:
            return None
        return Holding(
            ask.request_id,
            prefill.replica.name,
            decode.replica.name,
            "",
            ask.fingerprint,
            alone,
        )

    def _pick(
        self, role: ReplicaRole, ask: PlacementAsk, zone: str, alone: bool
    ) -> _Server | None:
        now = self._clock.seconds()
        usable = [
            server
            for server in self._usable(role, ask)
            if server.free(now) > 0 and not (alone and server.alone)
        ]
        usable = self._beside_copies(role, ask, usable)
        if not usable:
            return None
        if role == "prefill" and ask.prefix:
            cached = self._with_prefix(ask, usable)
            if cached is not None:
                return cached
        return min(
            usable,
            key=lambda server: (
                server.replica.availability_zone != zone,
                len(server.held) / server.replica.slots,
                server.replica.name,
            ),
        )

    def _usable(self, role: ReplicaRole, ask: PlacementAsk) -> list[_Server]:
        return [
            server
            for server in self._servers_by_name.values()
            if server.replica.role == role
            and server.replica.accepting
            and server.replica.name not in ask.unreachable
            and self._zone_usable(server.replica.availability_zone)
        ]

    def _served_at_all(self, ask: PlacementAsk) -> bool:
        roles = ("plain",) if ask.plain else ("prefill", "decode")
        return all(self._usable(role, ask) for role in roles)

    def _beside_copies(
        self, role: ReplicaRole, ask: PlacementAsk, usable: list[_Server]
    ) -> list[_Server]:
        """Keep copies of an untried request on the replicas of the first.

        If it crashes its replica, its copies have then cost no further one.
        """
        copies = self._ids_by_fingerprint.get(ask.fingerprint)
        if not copies or ask.fingerprint in self._trusted:
            return usable
        names = set()
        for request_id in copies:
            holding = self._held_by_id[request_id].holding
            names.add(getattr(holding, "server" if role == "plain" else role))
        names.discard("")
        if not names:
            return usable
        return [server for server in usable if server.replica.name in names]

    def _with_prefix(self, ask: PlacementAsk, usable: list[_Server]) -> _Server | None:
        """Return the usable replica with the longest prefix, if not too busy."""
        usable_by_name = {server.replica.name: server for server in usable}
        idlest = min(len(server.held) for server in usable)
        for block in reversed(ask.prefix):
            server = usable_by_name.get(self._replica_by_prefix.get(block, ""))
            if server and len(server.held) <= idlest + AFFINITY_SLACK_SLOTS:
                self.counters["prefix_hits"] += 1
                return server
        return None

    # Bookkeeping

    def _hold(self, instance: str, holding: Holding, prompt_tokens: int) -> None:
        now = self._clock.seconds()
        self._held_by_id[holding.request_id] = _Held(
            instance, holding, now, prompt_tokens, self._number
        )
        for name in (holding.prefill, holding.decode, holding.server):
            server = self._servers_by_name.get(name)
            if server is None:
                continue
            server.held.add(holding.request_id)
            if holding.alone:
                server.alone = holding.request_id
        if holding.fingerprint:
            ids = self._ids_by_fingerprint.setdefault(holding.fingerprint, set())
            ids.add(holding.request_id)

    def _free(self, request_id: str) -> None:
        holding = self._held_by_id.pop(request_id).holding
        for name in (holding.prefill, holding.decode, holding.server):
            self._free_on(name, request_id)
        ids = self._ids_by_fingerprint.get(holding.fingerprint)
        if ids is not None:
            ids.discard(request_id)
            if not ids:
                del self._ids_by_fingerprint[holding.fingerprint]

    def _free_on(self, name: str, request_id: str) -> None:
        server = self._servers_by_name.get(name)
        if server is None:
            return
        server.held.discard(request_id)
        if server.alone == request_id:
            server.alone = ""

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
            wait = max(0.0, expiry - self._clock.seconds()) + 0.001
            self._timer = self._clock.callLater(wait, self.serve)
