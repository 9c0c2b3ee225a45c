"""The replicas of one group and the requests that hold their slots."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Literal

from .clock import Clock
from .placement_messages import Holding, PlacementAsk

ENGINE_FULL_SECONDS = 0.5
"""How long a replica gets no new requests after its engine refused one."""

MAX_KNOWN_PREFIXES = 20_000
MAX_TRUSTED_FINGERPRINTS = 10_000

AFFINITY_SLACK_SLOTS = 1
"""How many more requests a replica with the prefix may hold than the least loaded."""

ReplicaRole = Literal["prefill", "decode", "plain"]


@dataclass(frozen=True, slots=True)
class Replica:
    """One backend server of a pool, which runs up to ``slots`` requests at once.

    A replica that is not ``accepting`` is draining and gets no new requests.
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
    suspect_request_id: str = ""
    full_until: float = 0.0
    blocked_until: float = 0.0
    unknown_requests: int = 0

    def free_slots(self, now: float) -> int:
        if now < self.full_until:
            return 0
        unknown = self.unknown_requests if now < self.blocked_until else 0
        return max(0, self.replica.slots - len(self.held) - unknown)


class Servers:
    """Tracks the slots of a group's replicas and chooses replicas for requests.

    Parameters
    ----------
    clock : IReactorTime
        Measures how long replicas count as full or blocked.
    zone_usable : callable
        Returns whether the replicas of an availability zone may be granted.
    """

    def __init__(self, *, clock: Clock, zone_usable: Callable[[str], bool]) -> None:
        self.counters: Counter[str] = Counter()
        self._clock = clock
        self._zone_usable = zone_usable
        self._servers_by_name: dict[str, _Server] = {}
        self._holdings_by_fingerprint: dict[str, dict[str, Holding]] = {}
        self._trusted: OrderedDict[str, None] = OrderedDict()
        self._replica_by_prefix: OrderedDict[int, str] = OrderedDict()

    def configure(self, replicas: Iterable[Replica]) -> None:
        """Replace the replicas; those that stay keep their requests."""
        replicas_by_name = {replica.name: replica for replica in replicas}
        for name, replica in replicas_by_name.items():
            server = self._servers_by_name.setdefault(name, _Server(replica))
            server.replica = replica
        for name in set(self._servers_by_name) - set(replicas_by_name):
            del self._servers_by_name[name]

    def clear(self) -> None:
        """Discard all requests in flight, and the marks of full or blocked replicas."""
        self._holdings_by_fingerprint.clear()
        for name, server in self._servers_by_name.items():
            self._servers_by_name[name] = _Server(server.replica)

    def block(self, until: float) -> None:
        """Count all slots as used by unknown requests until the given time."""
        for server in self._servers_by_name.values():
            server.unknown_requests = server.replica.slots
            server.blocked_until = max(server.blocked_until, until)

    def observe_load(self, replica: str, held: int) -> bool:
        """Derive a blocked replica's unknown requests from its load.

        Return ``False`` if the replica is not blocked.
        """
        server = self._servers_by_name.get(replica)
        if server is None or self._clock.seconds() >= server.blocked_until:
            return False
        server.unknown_requests = max(0, held - len(server.held))
        return True

    def mark_full(self, replica: str) -> None:
        """Count a replica as full for ``ENGINE_FULL_SECONDS``."""
        server = self._servers_by_name.get(replica)
        if server is not None:
            server.full_until = self._clock.seconds() + ENGINE_FULL_SECONDS

    def has_free_slots(self) -> bool:
        """Return whether there are free slots for a model or a plain request."""
        model = self.free_slots("decode") and self.free_slots("prefill")
        return bool(model or self.free_slots("plain"))

    def free_slots(self, role: ReplicaRole) -> int:
        """Return the free slots of all accepting replicas with a role."""
        now = self._clock.seconds()
        return sum(
            server.free_slots(now)
            for server in self._servers_by_name.values()
            if server.replica.role == role and server.replica.accepting
        )

    def all_slots(self, role: ReplicaRole) -> int:
        """Return the slots, free or not, of all accepting replicas with a role."""
        replicas = [server.replica for server in self._servers_by_name.values()]
        return sum(r.slots for r in replicas if r.role == role and r.accepting)

    def servable(self, ask: PlacementAsk) -> bool:
        """Return whether there are replicas, full or not, that can serve a request."""
        roles = ("plain",) if ask.plain else ("prefill", "decode")
        return all(self._usable(role, ask) for role in roles)

    def choose(self, ask: PlacementAsk, zone: str, alone: bool) -> Holding | None:
        """Return replicas with free slots for a request, preferring ``zone``.

        A model request needs both a decode and a prefill slot.
        """
        request = ask.request_id
        if ask.plain:
            server = self._pick("plain", ask, zone, alone)
            if server is None:
                return None
            return Holding(request, "", "", server.name, ask.fingerprint, alone)
        decode = self._pick("decode", ask, zone, alone)
        if decode is None:
            return None
        prefill = self._pick("prefill", ask, decode.availability_zone, alone)
        if prefill is None:
            return None
        return Holding(request, prefill.name, decode.name, "", ask.fingerprint, alone)

    def hold(self, holding: Holding) -> None:
        """Reserve a slot for a request on each of its replicas."""
        for name in (holding.prefill, holding.decode, holding.server):
            server = self._servers_by_name.get(name)
            if server is None:
                continue
            server.held.add(holding.request_id)
            if holding.alone:
                server.suspect_request_id = holding.request_id
        if holding.fingerprint:
            copies = self._holdings_by_fingerprint.setdefault(holding.fingerprint, {})
            copies[holding.request_id] = holding

    def prefilled(self, holding: Holding) -> Holding:
        """Free the prefill slot of a request and return what it still holds."""
        self._free_on(holding.prefill, holding.request_id)
        remaining = replace(holding, prefill="")
        if holding.fingerprint:
            self._holdings_by_fingerprint[holding.fingerprint][holding.request_id] = (
                remaining
            )
        return remaining

    def free(self, holding: Holding) -> None:
        """Free all slots that a request holds."""
        for name in (holding.prefill, holding.decode, holding.server):
            self._free_on(name, holding.request_id)
        copies = self._holdings_by_fingerprint.get(holding.fingerprint)
        if copies is not None:
            copies.pop(holding.request_id, None)
            if not copies:
                del self._holdings_by_fingerprint[holding.fingerprint]

    def trust(self, fingerprint: str) -> None:
        """Allow copies of a request on several replicas, after one was answered."""
        self._trusted[fingerprint] = None
        if len(self._trusted) > MAX_TRUSTED_FINGERPRINTS:
            self._trusted.popitem(last=False)

    def record_prefix(self, prefix: tuple[int, ...], replica: str) -> None:
        """Record that a prefill replica has the blocks of a prompt in its cache."""
        for block in prefix:
            self._replica_by_prefix[block] = replica
            self._replica_by_prefix.move_to_end(block)
        while len(self._replica_by_prefix) > MAX_KNOWN_PREFIXES:
            self._replica_by_prefix.popitem(last=False)

    def _free_on(self, name: str, request_id: str) -> None:
        server = self._servers_by_name.get(name)
        if server is None:
            return
        server.held.discard(request_id)
        if server.suspect_request_id == request_id:
            server.suspect_request_id = ""

    def _usable(self, role: ReplicaRole, ask: PlacementAsk) -> list[_Server]:
        return [
            server
            for server in self._servers_by_name.values()
            if server.replica.role == role
            and server.replica.accepting
            and server.replica.name not in ask.unreachable
            and self._zone_usable(server.replica.availability_zone)
        ]

    def _pick(
        self, role: ReplicaRole, ask: PlacementAsk, zone: str, alone: bool
    ) -> Replica | None:
        now = self._clock.seconds()
        usable = [
            server
            for server in self._usable(role, ask)
            if server.free_slots(now) > 0 and not (alone and server.suspect_request_id)
        ]
        usable = self._colocate_copies(role, ask, alone, usable)
        if not usable:
            return None
        cached = self._with_prefix(ask, usable) if role == "prefill" else None
        if cached is not None:
            return cached.replica
        best = min(
            usable,
            key=lambda server: (
                server.replica.availability_zone != zone,
                len(server.held) / server.replica.slots,
                server.replica.name,
            ),
        )
        return best.replica

    def _colocate_copies(
        self, role: ReplicaRole, ask: PlacementAsk, alone: bool, usable: list[_Server]
    ) -> list[_Server]:
        """Restrict copies of a request to the replicas that already run it.

        If the request crashes its replica, its copies crash no further one. This
        ends once a copy was answered in full. A suspect waits until no copy of it
        is in flight.
        """
        copies = self._holdings_by_fingerprint.get(ask.fingerprint)
        if not copies:
            return usable
        if alone:
            return []
        if ask.fingerprint in self._trusted:
            return usable
        role_field = "server" if role == "plain" else role
        names = {getattr(holding, role_field) for holding in copies.values()} - {""}
        if not names:
            return usable
        return [server for server in usable if server.replica.name in names]

    def _with_prefix(self, ask: PlacementAsk, usable: list[_Server]) -> _Server | None:
        """Return the replica with the longest cached prefix that is not too busy."""
        servers_by_name = {server.replica.name: server for server in usable}
        least_held = min(len(server.held) for server in usable)
        for block in reversed(ask.prefix):
            server = servers_by_name.get(self._replica_by_prefix.get(block, ""))
            if server and len(server.held) <= least_held + AFFINITY_SLACK_SLOTS:
                self.counters["prefix_hits"] += 1
                return server
        return None
