"""Model of a fleet that runs membership and configuration distribution."""

import functools
import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import AlreadyCalled, AlreadyCancelled

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

MESSAGE_DELAY_SECONDS = 0.001


class HeapCall:
    """A call scheduled on a ``HeapClock``."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._called = False
        self._cancelled = False

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return not (self._called or self._cancelled)

    def cancel(self) -> None:
        """Cancel the call."""
        if self._called:
            raise AlreadyCalled
        if self._cancelled:
            raise AlreadyCancelled
        self._cancelled = True

    def run(self) -> None:
        """Make the call unless it was cancelled."""
        if not self._cancelled:
            self._called = True
            self._call()


class HeapClock:
    """A virtual clock for thousands of timers.

    ``task.Clock`` sorts all of them at every call.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._count = 0
        self._due: list[tuple[float, int, HeapCall]] = []

    def seconds(self) -> float:
        """Return the virtual time."""
        return self._now

    def callLater(self, delay: float, call: Callable, *args: object) -> HeapCall:  # noqa: N802
        """Call ``call`` after ``delay`` seconds."""
        scheduled = HeapCall(functools.partial(call, *args))
        self._count += 1
        heapq.heappush(self._due, (self._now + delay, self._count, scheduled))
        return scheduled

    def advance(self, seconds: float) -> None:
        """Advance the virtual time and make the calls scheduled by then."""
        end = self._now + seconds
        while self._due and self._due[0][0] <= end:
            self._now, _, scheduled = heapq.heappop(self._due)
            scheduled.run()
        self._now = end


class Network:
    """Carries messages between nodes, with cuts, loss and counts of bytes.

    Parameters
    ----------
    clock : HeapClock
        Virtual time.
    random : random.Random
        Chooses the messages that are lost.
    measure : callable
        Returns the size of a message in bytes.
    """

    def __init__(
        self,
        clock: HeapClock,
        random: random.Random,
        measure: Callable[[PeerMessage], int] = lambda message: 0,
    ) -> None:
        self.clock = clock
        self.loss_probability = 0.0
        self.nodes_by_instance: dict[str, Node] = {}
        self.cut_zones: set[frozenset[str]] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.messages: Counter[str] = Counter()
        self.bytes_out: Counter[str] = Counter()
        self.bytes_in: Counter[str] = Counter()
        self.bytes_by_type: Counter[str] = Counter()
        self._random = random
        self.measure = measure
        self._in_transit: deque[tuple[float, Node, Node, PeerMessage]] = deque()

    def send(self, source: "Node", instance: str, message: PeerMessage) -> None:
        """Deliver ``message`` after the delay, unless it is lost."""
        size = self.measure(message)
        self.messages[source.instance] += 1
        self.bytes_out[source.instance] += size
        self.bytes_by_type[type(message).__name__] += size
        target = self.nodes_by_instance.get(instance)
        if target is None or self._random.random() < self.loss_probability:
            return
        self.bytes_in[instance] += size
        if self._is_cut(source, target):
            return
        now = self.clock.seconds()
        if not self._in_transit or self._in_transit[-1][0] != now:
            self.clock.callLater(MESSAGE_DELAY_SECONDS, self._deliver_sent_at, now)
        self._in_transit.append((now, source, target, message))

    def _deliver_sent_at(self, sent: float) -> None:
        """Deliver all messages sent at one instant; they share a timer."""
        while self._in_transit and self._in_transit[0][0] <= sent:
            _, source, target, message = self._in_transit.popleft()
            self._deliver(source, target, message)

    def _deliver(self, source: "Node", target: "Node", message: PeerMessage) -> None:
        current = self.nodes_by_instance.get(target.instance)
        if current is target and not self._is_cut(source, target):
            target.deliver(source.instance, message)

    def _is_cut(self, one: "Node", other: "Node") -> bool:
        zones = frozenset((one.zone, other.zone))
        pair = frozenset((one.instance, other.instance))
        return zones in self.cut_zones or pair in self.cut_pairs

    def isolate_zone(self, zone: str) -> None:
        """Cut a zone off from all others."""
        others = {node.zone for node in self.nodes_by_instance.values()} - {zone}
        self.cut_zones |= {frozenset((zone, other)) for other in others}


class DisconnectableStore(KeyValueStore):
    """A node's connection to the platform, which can be cut.

    While ``reachable`` is false, reads, writes and new watches fail. While ``frozen``,
    the answers of watches are held back until ``wake``. With ``silent_watches``,
    watches get no answer.
    """

    def __init__(self, inner: MemoryKeyValueStore) -> None:
        self.reachable = True
        self.silent_watches = False
        self.frozen = False
        self.calls: Counter[str] = Counter()
        self._inner = inner
        self._held: list[tuple[tuple[Entry, ...], Deferred]] = []

    def get(self, key: str) -> "Deferred[Entry | None]":
        """Return the entry of ``key``, or ``None``."""
        self.calls["get"] += 1
        return self._inner.get(key) if self.reachable else self._failed()

    def list(self, prefix: str) -> "Deferred[tuple[Entry, ...]]":
        """Return all entries whose key starts with ``prefix``."""
        self.calls["list"] += 1
        return self._inner.list(prefix) if self.reachable else self._failed()

    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> "Deferred[int]":
        """Store ``value`` and return its revision."""
        self.calls["put"] += 1
        if not self.reachable:
            return self._failed()
        return self._inner.put(key, value, expected=expected, lease=lease)

    def delete(self, key: str, *, expected: int | None = None) -> "Deferred[None]":
        """Delete ``key``."""
        self.calls["delete"] += 1
        return (
            self._inner.delete(key, expected=expected)
            if self.reachable
            else self._failed()
        )

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[tuple[Entry, ...]]":
        """Wait for entries under ``prefix`` newer than ``after``."""
        self.calls["watch"] += 1
        if not self.reachable:
            return self._failed()
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

    def wake(self) -> None:
        """End a freeze and deliver the answers of watches that it held back."""
        self.frozen = False
        held, self._held = self._held, []
        for entries, outer in held:
            self._answer(entries, outer)

    def _answer(
        self, entries: tuple[Entry, ...], outer: "Deferred[tuple[Entry, ...]]"
    ) -> None:
        if self.frozen:
            self._held.append((entries, outer))
        elif self.reachable and not self.silent_watches and not outer.called:
            outer.callback(entries)

    def _failed(self) -> "Deferred":
        return fail(KeyValueUnavailableError("the platform is down", step="call"))


class NodeClock:
    """A node's clock; its timers wait while the node is frozen."""

    def __init__(self, clock: HeapClock) -> None:
        self.frozen = False
        self.seconds = clock.seconds
        self._clock = clock
        self._held: list[Callable[[], None]] = []

    def callLater(self, delay: float, call: Callable, *args: object) -> object:  # noqa: N802
        """Call ``call`` after ``delay``, or at the end of a freeze."""
        return self._clock.callLater(delay, self._run, functools.partial(call, *args))

    def wake(self) -> None:
        """End a freeze and run the timers that came due during it."""
        self.frozen = False
        held, self._held = self._held, []
        for call in held:
            call()

    def _run(self, call: Callable[[], None]) -> None:
        if self.frozen:
            self._held.append(call)
        else:
            call()


class Node:
    """An instance's membership and configuration distribution; it can freeze."""

    def __init__(
        self,
        network: Network,
        member: Member,
        zones: tuple[str, ...],
        store: DisconnectableStore,
        seed: int,
        adopt: Callable[[int, bytes], None] | None = None,
    ) -> None:
        self.instance = member.instance
        self.zone = member.availability_zone
        self.store = store
        self.clock = NodeClock(network.clock)
        self.adopted: list[int] = []
        self.dead: list[Member] = []
        self.fenced: list[Member] = []
        self._held_messages: list[tuple[str, PeerMessage]] = []
        self._network = network
        self._adopt = adopt
        self.members = Membership(
            own=member,
            clock=self.clock,
            sender=self,
            availability_zones=zones,
            random=random.Random(seed),
        )
        self.spread = ConfigurationSpread(
            clock=self.clock,
            members=self.members,
            sender=self,
            store=store,
            adopt=self._record_adopted,
            random=random.Random(seed + 1),
        )
        self.members.subscribe_death(self.dead.append)
        self.members.subscribe_fenced(self.fenced.append)
        network.nodes_by_instance[self.instance] = self

    def start(self, first_tick: float = 0.0) -> None:
        """Start the configuration distribution and the ticks of the membership."""
        self.spread.start()
        self.clock.callLater(first_tick, self._tick)

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message, unless this process has ended."""
        if self._network.nodes_by_instance.get(self.instance) is self:
            self._network.send(self, instance, message)

    def deliver(self, instance: str, message: PeerMessage) -> None:
        """Receive a message; while frozen, keep it until ``wake``."""
        if self.frozen:
            self._held_messages.append((instance, message))
            return
        if isinstance(message, MembershipMessage):
            self.members.receive(instance, message)
        else:
            self.spread.receive(instance, message)

    @property
    def frozen(self) -> bool:
        """Whether the process is stopped."""
        return self.clock.frozen

    def freeze(self) -> None:
        """Stop the process, as ``SIGSTOP`` does."""
        self.clock.frozen = True
        self.store.frozen = True

    def wake(self) -> None:
        """End a freeze, then receive the messages that arrived during it."""
        self.clock.wake()
        self.store.wake()
        waiting, self._held_messages = self._held_messages, []
        for instance, message in waiting:
            self.deliver(instance, message)

    def kill(self) -> None:
        """End the process without notice to its peers."""
        self.spread.stop()
        del self._network.nodes_by_instance[self.instance]

    def _record_adopted(self, revision: int, value: bytes) -> None:
        if self._adopt is not None:
            self._adopt(revision, value)
        self.adopted.append(revision)

    def _tick(self) -> None:
        if self._network.nodes_by_instance.get(self.instance) is not self:
            return
        self.members.tick()
        self.clock.callLater(TICK_SECONDS, self._tick)


class Fleet:
    """Nodes in several zones with one platform.

    Parameters
    ----------
    sizes : tuple of int
        How many instances each zone has.
    seed : int
        Seeds every random choice.
    measure : callable
        Returns the size of a message in bytes.
    """

    def __init__(
        self,
        sizes: tuple[int, ...],
        seed: int = 1,
        measure: Callable[[PeerMessage], int] = lambda message: 0,
    ) -> None:
        self.clock = HeapClock()
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
        store = DisconnectableStore(self.platform)
        node = Node(self.network, member, self.zones, store, seed, adopt)
        node.members.update_listing(self.listed)
        node.start(self.random.uniform(0, TICK_SECONDS))
        return node

    @property
    def nodes(self) -> tuple[Node, ...]:
        """The running instances, sorted."""
        return tuple(node for _, node in sorted(self.network.nodes_by_instance.items()))

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.advance(seconds)

    def node(self, instance: str) -> Node:
        """Return the running instance with this name."""
        return self.network.nodes_by_instance[instance]

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
        """Return whether every node not frozen has the revision or a later one."""
        return all(n.spread.revision >= revision for n in self.nodes if not n.frozen)
