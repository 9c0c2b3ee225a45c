"""Fleet of memberships and configuration spreads over a model network."""

import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from pomeloglade_coordination.configuration import ConfigurationSpread
from pomeloglade_coordination.errors import KeyValueUnavailableError
from pomeloglade_coordination.key_value import Entry, KeyValueStore, MemoryKeyValueStore
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.membership import (
    TICK_SECONDS,
    ListedInstance,
    Membership,
)
from pomeloglade_coordination.membership_messages import MembershipMessage
from pomeloglade_coordination.peer import PeerMessage

DELAY_SECONDS = 0.001


class Network:
    """Carries messages between nodes, with cuts, loss and a count of bytes.

    Parameters
    ----------
    clock : Clock
        Virtual time.
    random : random.Random
        Chooses the messages lost.
    measure : callable
        Returns the bytes of a message; not called without need.
    """

    def __init__(
        self,
        clock: Clock,
        random: random.Random,
        measure: Callable[[PeerMessage], int] = lambda message: 0,
    ) -> None:
        self.clock = clock
        self.loss = 0.0
        self.nodes_by_instance: dict[str, Node] = {}
        self.cut_zones: set[frozenset[str]] = set()
        self.messages: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_by_type: Counter[str] = Counter()
        self._random = random
        self._measure = measure

    def send(self, source: "Node", instance: str, message: PeerMessage) -> None:
        """Deliver ``message`` after the delay, unless it is lost."""
        size = self._measure(message)
        self.messages[source.instance] += 1
        self.bytes_out[source.instance] += size
        self.bytes_by_type[type(message).__name__] += size
        target = self.nodes_by_instance.get(instance)
        if target is None or self._random.random() < self.loss:
            return
        self.bytes_in[instance] += size
        if not self._is_cut(source.zone, target.zone):
            arrive = self._arrive
            self.clock.callLater(DELAY_SECONDS, arrive, source, target, message)

    def _arrive(self, source: "Node", target: "Node", message: PeerMessage) -> None:
        current = self.nodes_by_instance.get(target.instance)
        if current is target and not self._is_cut(source.zone, target.zone):
            target.deliver(source.instance, message)

    def _is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut_zones

    def cut(self, zone: str) -> None:
        """Cut a zone off from all others."""
        others = {node.zone for node in self.nodes_by_instance.values()} - {zone}
        self.cut_zones |= {frozenset((zone, other)) for other in others}


class ReachableStore(KeyValueStore):
    """A node's way to the platform, which can be cut or go silent.

    ``silent_watches`` and ``silent`` make calls wait for an answer that never
    comes.
    """

    def __init__(self, inner: MemoryKeyValueStore) -> None:
        self.up = True
        self.silent_watches = False
        self.calls: Counter[str] = Counter()
        self._inner = inner

    def get(self, key: str) -> "Deferred[Entry | None]":
        """Return the entry of ``key``, or ``None``."""
        self.calls["get"] += 1
        return self._inner.get(key) if self.up else self._down()

    def list(self, prefix: str) -> "Deferred[tuple[Entry, ...]]":
        """Return all entries whose key starts with ``prefix``."""
        self.calls["list"] += 1
        return self._inner.list(prefix) if self.up else self._down()

    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> "Deferred[int]":
        """Store ``value`` and return its revision."""
        self.calls["put"] += 1
        if not self.up:
            return self._down()
        return self._inner.put(key, value, expected=expected, lease=lease)

    def delete(self, key: str, *, expected: int | None = None) -> "Deferred[None]":
        """Delete ``key``."""
        self.calls["delete"] += 1
        return self._inner.delete(key, expected=expected) if self.up else self._down()

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[tuple[Entry, ...]]":
        """Wait for entries under ``prefix`` newer than ``after``."""
        self.calls["watch"] += 1
        if not self.up:
            return self._down()
        if self.silent_watches:
            return Deferred()
        outer: Deferred[tuple[Entry, ...]] = Deferred()
        inner = self._inner.watch(prefix, after, timeout)
        inner.addCallback(self._answer, outer)
        return outer

    def grant_lease(self, time_to_live: timedelta) -> "Deferred[str]":
        """Create a lease and return its id."""
        return self._inner.grant_lease(time_to_live)

    def renew_lease(self, lease: str) -> "Deferred[None]":
        """Extend a lease."""
        return self._inner.renew_lease(lease)

    def _answer(
        self, entries: tuple[Entry, ...], outer: "Deferred[tuple[Entry, ...]]"
    ) -> None:
        if outer.called:
            return
        if self.up and not self.silent_watches:
            outer.callback(entries)

    def _down(self) -> "Deferred":
        return fail(KeyValueUnavailableError("the platform is down", step="call"))


class Node:
    """One instance: membership and configuration spread, which can freeze."""

    def __init__(
        self,
        network: Network,
        member: Member,
        zones: tuple[str, ...],
        store: ReachableStore,
        seed: int,
        adopt: Callable[[int, bytes], None] | None = None,
    ) -> None:
        self.instance = member.instance
        self.zone = member.availability_zone
        self.store = store
        self.frozen = False
        self.adopted: list[int] = []
        self.dead: list[Member] = []
        self.fenced: list[Member] = []
        self._waiting: list[tuple[str, PeerMessage]] = []
        self._network = network
        self._adopt = adopt
        self.members = Membership(
            own=member,
            clock=network.clock,
            sender=self,
            availability_zones=zones,
            random=random.Random(seed),
        )
        self.spread = ConfigurationSpread(
            clock=network.clock,
            members=self.members,
            sender=self,
            store=store,
            adopt=self._take,
            random=random.Random(seed + 1),
        )
        self.members.subscribe_death(lambda dead: self.dead.append(dead.member))
        self.members.subscribe_fenced(self.fenced.append)
        network.nodes_by_instance[self.instance] = self

    def start(self, first_tick: float = 0.0) -> None:
        """Begin to tick."""
        self.spread.start()
        self._network.clock.callLater(first_tick, self._tick)

    def send(self, instance: str, message: PeerMessage) -> None:
        """Hand a message to the network."""
        if self._network.nodes_by_instance.get(self.instance) is self:
            self._network.send(self, instance, message)

    def deliver(self, instance: str, message: PeerMessage) -> None:
        """Take a message, or keep it while frozen."""
        if self.frozen:
            self._waiting.append((instance, message))
            return
        if isinstance(message, MembershipMessage):
            self.members.receive(instance, message)
        else:
            self.spread.receive(instance, message)

    def wake(self) -> None:
        """End a freeze; what arrived meanwhile comes in at once."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for instance, message in waiting:
            self.deliver(instance, message)

    def kill(self) -> None:
        """End the process without a word."""
        self.spread.stop()
        del self._network.nodes_by_instance[self.instance]

    def _take(self, revision: int, value: bytes) -> None:
        if self._adopt is not None:
            self._adopt(revision, value)
        self.adopted.append(revision)

    def _tick(self) -> None:
        if self._network.nodes_by_instance.get(self.instance) is not self:
            return
        if not self.frozen:
            self.members.tick()
        self._network.clock.callLater(TICK_SECONDS, self._tick)


class Fleet:
    """Nodes in several zones with one platform.

    Parameters
    ----------
    sizes : tuple of int
        How many instances each zone has.
    seed : int
        Seeds every random choice.
    measure : callable
        Returns the bytes of a message.
    """

    def __init__(
        self,
        sizes: tuple[int, ...],
        seed: int = 1,
        measure: Callable[[PeerMessage], int] = lambda message: 0,
    ) -> None:
        self.clock = Clock()
        self.random = random.Random(seed)
        self.network = Network(self.clock, self.random, measure)
        self.platform = MemoryKeyValueStore(self.clock)
        self.zones = tuple(f"zone-{number}" for number in range(len(sizes)))
        self.listed = tuple(
            ListedInstance(f"z{zone}-i{number}", self.zones[zone], f"a{zone}-{number}")
            for zone, size in enumerate(sizes)
            for number in range(size)
        )
        for entry in self.listed:
            self.start(entry.instance)

    def start(
        self,
        instance: str,
        incarnation: int = 1,
        adopt: Callable[[int, bytes], None] | None = None,
    ) -> Node:
        """Start an instance from the platform's list."""
        entry = next(each for each in self.listed if each.instance == instance)
        zone = entry.availability_zone
        member = Member(instance, zone, incarnation, entry.address)
        seed = self.random.getrandbits(32)
        store = ReachableStore(self.platform)
        node = Node(self.network, member, self.zones, store, seed, adopt)
        node.members.listed(self.listed)
        node.start(self.random.uniform(0, TICK_SECONDS))
        return node

    @property
    def nodes(self) -> tuple[Node, ...]:
        """The running instances, sorted."""
        return tuple(node for _, node in sorted(self.network.nodes_by_instance.items()))

    def advance(self, seconds: float, step: float = 0.05) -> None:
        """Let virtual time pass."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end - 1e-9:
            self.clock.advance(min(step, end - self.clock.seconds()))

    def publish(self, value: bytes) -> int:
        """Store a configuration as an operator does; return its revision."""
        revisions: list[int] = []
        self.platform.put("configuration", value).addCallback(revisions.append)
        return revisions[0]

    def seconds_until(self, done: Callable[[], bool], limit: float) -> float:
        """Return how long ``done`` takes to become true, at most ``limit``."""
        start = self.clock.seconds()
        while not done() and self.clock.seconds() - start < limit:
            self.clock.advance(0.05)
        return self.clock.seconds() - start

    def in_force(self, revision: int) -> bool:
        """Tell whether every node that runs has the revision or a later one."""
        return all(n.spread.revision >= revision for n in self.nodes if not n.frozen)
