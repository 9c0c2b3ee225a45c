"""Model of a fleet whose instances share the accounts' rate limits."""

import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from datetime import timedelta

import cbor2
from twisted.internet.defer import Deferred, fail
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.task import Clock
from zope.interface import implementer

from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.errors import KeyValueUnavailableError
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.peer import PeerMessage
from pomeloglade_coordination.shares import TICK_SECONDS

MESSAGE_DELAY_SECONDS = 0.0005
"""One-way delay between two instances."""

PLATFORM_ROUND_TRIP_SECONDS = 0.004
"""Round trip to the platform's key-value service."""

DETECTION_SECONDS = 2.0
"""How long the fleet takes to detect that an instance is gone or back."""

FRAME_BYTES = 6
"""Header of a masked websocket frame of up to 125 bytes."""


def _to_plain_values(value: object) -> object:
    """Return a message as the plain values that a codec would encode."""
    if isinstance(value, tuple):
        return [_to_plain_values(each) for each in value]
    if isinstance(value, PeerMessage):
        names = [each.name for each in fields(value)]
        return [
            type(value).__name__,
            *(_to_plain_values(getattr(value, n)) for n in names),
        ]
    return value


def run_until(clock: Clock, instant: float) -> None:
    """Advance ``clock`` to ``instant``, making each call at its scheduled time."""
    while clock.calls and clock.calls[0].getTime() <= instant:
        clock.advance(max(0.0, clock.calls[0].getTime() - clock.seconds()))
    clock.advance(max(0.0, instant - clock.seconds()))


@implementer(IReactorTime)
class DriftingClock:
    """The monotonic clock of one instance, fast or slow by a fixed ratio."""

    def __init__(self, clock: Clock, ratio: float, process: "Process") -> None:
        self._clock = clock
        self._ratio = ratio
        self._process = process

    def seconds(self) -> float:
        """Return the instance's own time, which runs on while it is frozen."""
        return self._clock.seconds() * self._ratio

    def callLater(  # noqa: N802
        self, seconds: float, function: Callable, *args: object, **kwargs: object
    ) -> IDelayedCall:
        """Schedule a call in the process: delayed by a freeze, dropped after a kill."""

        def call() -> None:
            function(*args, **kwargs)

        return self._clock.callLater(seconds / self._ratio, self._process.run, call)

    def getDelayedCalls(self) -> list[IDelayedCall]:  # noqa: N802
        """Return the calls of all instances."""
        return self._clock.getDelayedCalls()


class Process:
    """One run of an instance's process; calls made while it is frozen wait."""

    def __init__(self) -> None:
        self.alive = True
        self.frozen = False
        self._waiting: list[Callable[[], None]] = []

    def run(self, call: Callable[[], None]) -> None:
        """Make a call now, or after a freeze; drop it if the process was killed."""
        if not self.alive:
            return
        if self.frozen:
            self._waiting.append(call)
            return
        call()

    def wake(self) -> None:
        """End the freeze and make the waiting calls in order."""
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.run(call)


class StoreLink(MemoryKeyValueStore):
    """One instance's connection to the shared store, which may be cut."""

    def __init__(self, fleet: "Fleet", instance: "Instance") -> None:
        self._fleet = fleet
        self._instance = instance

    def _call(self, method: str, *args: object, **kwargs: object) -> Deferred:
        self._fleet.store_calls[method] += 1
        answer: Deferred = Deferred()
        process = self._instance.process
        if not self._fleet.reaches_platform(self._instance.zone):
            error = KeyValueUnavailableError("no answer", step=method)
            later = self._fleet.clock.callLater
            later(
                PLATFORM_ROUND_TRIP_SECONDS, process.run, lambda: answer.errback(error)
            )
            return answer
        self._fleet.clock.callLater(
            PLATFORM_ROUND_TRIP_SECONDS / 2,
            self._apply,
            process,
            answer,
            method,
            args,
            kwargs,
        )
        return answer

    def _apply(
        self,
        process: Process,
        answer: Deferred,
        method: str,
        args: tuple,
        kwargs: dict,
    ) -> None:
        done = getattr(self._fleet.store, method)(*args, **kwargs)

        def deliver(result: object) -> None:
            later = self._fleet.clock.callLater
            later(
                PLATFORM_ROUND_TRIP_SECONDS / 2,
                process.run,
                lambda: answer.callback(result),
            )

        done.addBoth(deliver)

    def get(self, key: str) -> Deferred:
        """Read through the link."""
        return self._call("get", key)

    def list(self, prefix: str) -> Deferred:
        """Read through the link."""
        return self._call("list", prefix)

    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> Deferred:
        """Write through the link."""
        return self._call("put", key, value, expected=expected, lease=lease)

    def delete(self, key: str, *, expected: int | None = None) -> Deferred:
        """Delete through the link."""
        return self._call("delete", key, expected=expected)

    def watch(self, prefix: str, after: int, timeout: timedelta) -> Deferred:
        """Not modelled."""
        return fail(NotImplementedError())


@dataclass(slots=True)
class Instance:
    """An instance with its current process."""

    name: str
    zone: str
    clock_ratio: float = 1.0
    incarnation: int = 0
    process: Process = field(default_factory=Process)
    members: FixedMembership | None = None
    shares: object = None


class _Sender:
    def __init__(self, fleet: "Fleet", instance: str) -> None:
        self._fleet = fleet
        self._instance = instance

    def send(self, instance: str, message: PeerMessage) -> None:
        self._fleet.send(self._instance, instance, message)


@dataclass(slots=True)
class ShareDependencies:
    """What a sharing strategy is built from, for one run of an instance."""

    clock: DriftingClock
    members: FixedMembership
    sender: _Sender
    store: StoreLink
    fleet: "Fleet"


class Fleet:
    """Instances in zones, the links between them, and their faults.

    Parameters
    ----------
    build : callable
        Creates one instance's shares from ``ShareDependencies``.
    instances_by_zone : mapping of str to tuple of str
        The names of the instances in each availability zone.
    limits : mapping of str to Limit
        The limits in force from the start.
    seed : int
        Seeds every random choice.
    clock_ratios : mapping of str to float, optional
        How fast the clocks of instances run; 1 for those not named.
    """

    def __init__(
        self,
        build: Callable[[ShareDependencies], object],
        instances_by_zone: Mapping[str, tuple[str, ...]],
        limits: Mapping[str, Limit],
        seed: int = 1,
        clock_ratios: Mapping[str, float] | None = None,
    ) -> None:
        self.clock = Clock()
        self.random = random.Random(seed)
        self.store = MemoryKeyValueStore(self.clock)
        self.platform_up = True
        self.loss_probability = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.cut_from_platform: set[str] = set()
        self.sent_messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.store_calls: Counter[str] = Counter()
        self.limits = dict(limits)
        self.revision = 1
        self.instances_by_zone = dict(instances_by_zone)
        self._build = build
        ratios = clock_ratios or {}
        self.instances_by_name = {
            name: Instance(name, zone, ratios.get(name, 1.0))
            for zone, names in instances_by_zone.items()
            for name in names
        }
        for name in self.instances_by_name:
            self.start(name)
        self._update_members()

    def start(self, name: str) -> None:
        """Start a new run of an instance, without any state."""
        instance = self.instances_by_name[name]
        instance.incarnation += 1
        instance.process = Process()
        own = Member(name, instance.zone, instance.incarnation)
        others = tuple(
            Member(other.name, other.zone, other.incarnation)
            for other in self.instances_by_name.values()
            if other.name != name
        )
        instance.members = FixedMembership(own, others, tuple(self.instances_by_zone))
        clock = DriftingClock(self.clock, instance.clock_ratio, instance.process)
        instance.shares = self._build(
            ShareDependencies(
                clock,
                instance.members,
                _Sender(self, name),
                StoreLink(self, instance),
                self,
            )
        )
        instance.shares.configure(self.limits, self.revision)
        offset = self.random.uniform(0.0, TICK_SECONDS)
        clock.callLater(offset, self._tick, instance, instance.shares, clock)
        self._update_members_later()

    def kill(self, name: str) -> None:
        """Kill an instance's process."""
        self.instances_by_name[name].process.alive = False
        self._update_members_later()

    def freeze(self, name: str) -> None:
        """Freeze an instance; its clock runs on and its messages are kept."""
        self.instances_by_name[name].process.frozen = True
        self._update_members_later()

    def wake(self, name: str) -> None:
        """Resume a frozen instance."""
        self.instances_by_name[name].process.wake()
        self._update_members_later()

    def isolate_zone(self, zone: str, *, platform: bool = True) -> None:
        """Cut a zone off from the other zones and, by default, from the platform."""
        self.cuts |= {
            frozenset((zone, other))
            for other in self.instances_by_zone
            if other != zone
        }
        if platform:
            self.cut_from_platform.add(zone)
        self._update_members_later()

    def heal(self) -> None:
        """End all network cuts and the outage of the platform."""
        self.cuts.clear()
        self.cut_from_platform.clear()
        self.platform_up = True
        self._update_members_later()

    def configure(self, limits: Mapping[str, Limit]) -> None:
        """Publish limits that reach running instances at once."""
        self.limits = dict(limits)
        self.revision += 1
        for instance in self.instances_by_name.values():
            shares = instance.shares
            instance.process.run(
                lambda shares=shares: shares.configure(self.limits, self.revision)
            )

    def running(self, name: str) -> bool:
        """Return whether an instance is alive and not frozen, so reached by callers."""
        process = self.instances_by_name[name].process
        return process.alive and not process.frozen

    def reaches_platform(self, zone: str) -> bool:
        """Return whether the platform answers instances of this zone."""
        return self.platform_up and zone not in self.cut_from_platform

    def send(self, sender: str, receiver: str, message: PeerMessage) -> None:
        """Deliver a message after the link's delay, unless it is lost."""
        self.sent_messages[sender] += 1
        size = len(cbor2.dumps(_to_plain_values(message)))
        self.sent_bytes[sender] += size + FRAME_BYTES
        target = self.instances_by_name.get(receiver)
        if target is None or self._is_cut_between(sender, receiver):
            return
        if self.loss_probability and self.random.random() < self.loss_probability:
            return
        process, shares = target.process, target.shares
        self.clock.callLater(
            MESSAGE_DELAY_SECONDS, process.run, lambda: shares.receive(sender, message)
        )

    def _is_cut_between(self, one: str, other: str) -> bool:
        zones = (self.instances_by_name[name].zone for name in (one, other))
        return frozenset(zones) in self.cuts

    def _tick(self, instance: Instance, shares: object, clock: DriftingClock) -> None:
        shares.tick()
        clock.callLater(TICK_SECONDS, self._tick, instance, shares, clock)

    def _update_members_later(self) -> None:
        self.clock.callLater(DETECTION_SECONDS, self._update_members)

    def _update_members(self) -> None:
        for instance in self.instances_by_name.values():
            others = tuple(
                Member(other.name, other.zone, other.incarnation)
                for other in self.instances_by_name.values()
                if other.name != instance.name
                and self.running(other.name)
                and not self._is_cut_between(instance.name, other.name)
            )
            instance.members.set_members(others)


@dataclass(frozen=True, slots=True)
class Event:
    """Tokens admitted (positive) or refunded (negative) at an instant."""

    at: float
    tokens: int


def excess_tokens(events: list[Event], limit: Limit, since: float = 0.0) -> float:
    """Return by how many tokens the worst window exceeds ``burst + rate x window``."""
    # Of all windows that end at an event, the worst starts where the tokens used
    # so far, less the tokens earned at the rate, were fewest.
    lowest = 0.0
    total = 0
    max_excess = float("-inf")
    for event in events:
        if event.at < since:
            continue
        earned = limit.rate * (event.at - since)
        lowest = min(lowest, total - earned)
        total += event.tokens
        max_excess = max(max_excess, total - earned - lowest - limit.burst)
    return max(0.0, max_excess)
