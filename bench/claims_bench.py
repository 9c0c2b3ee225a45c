"""Benchmark of the claims decision in virtual time.

Six instances in three zones, half a millisecond from peer to peer, and a
platform that answers in three milliseconds. Every request claims its key, runs
for a while and records its outcome; one in ten is resent through another
instance. "Added" is the time from the claim to its answer.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.task import deferLater

from pomeloglade_coordination.claim_baselines import (
    KeyPerClaim,
    SharedValue,
    claim_nothing,
)
from pomeloglade_coordination.claims import Claimed, Claims
from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.key_value import (
    Entry,
    KeyValueStore,
    MemoryKeyValueStore,
)
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.peer import PeerMessage
from pomeloglade_coordination.rendezvous import ranked
from pomeloglade_coordination.request_ids import RequestIds

SEED = 4
INSTANCES = 6
ZONES = 3
RATES = (200, 2000)
SECONDS = 3.0
RUN_SECONDS = 0.05
RESENT_SHARE = 0.1
RESENT_AMONG = 50
OUTCOME = b"x" * 200
PEER_DELAY = 0.0005
PLATFORM_DELAY = 0.003
KILL_SECONDS = 1.0
SHARED_VALUE_SECONDS = 1.0

MAX_WRITES_PER_SECOND = 200
MAX_ADDED_P99_SECONDS = 0.020


class HeapClock:
    """A virtual clock for many timers; ``task.Clock`` sorts at each call."""

    def __init__(self) -> None:
        self._now = 0.0
        self._count = itertools.count()
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        """Return the virtual time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> DelayedCall:
        """Call something later, as ``IReactorTime`` has it."""
        when = self._now + delay
        delayed = DelayedCall(
            when, call, args, kwargs, lambda _call: None, self._push, self.seconds
        )
        self._push(delayed)
        return delayed

    def run(self, seconds: float) -> None:
        """Run everything that is due until then."""
        while self._heap and self._heap[0][0] <= seconds:
            when, _count, delayed = heapq.heappop(self._heap)
            if not delayed.active():
                continue
            if delayed.getTime() > when:
                self._push(delayed)
                continue
            self._now = when
            delayed.called = 1
            delayed.func(*delayed.args, **delayed.kw)
        self._now = seconds

    def _push(self, delayed: DelayedCall) -> None:
        entry = (delayed.getTime(), next(self._count), delayed)
        heapq.heappush(self._heap, entry)


class DelayedStore(KeyValueStore):
    """A store that answers after a fixed delay and counts its calls."""

    def __init__(self, clock: Clock, delay: float) -> None:
        self.writes = 0
        self.reads = 0
        self.written_bytes = 0
        self._clock = clock
        self._delay = delay
        self._store = MemoryKeyValueStore(clock)

    def get(self, key: str) -> "Deferred[Entry | None]":
        """Read one key."""
        self.reads += 1
        return self._later(lambda: self._store.get(key))

    def list(self, prefix: str) -> "Deferred[tuple[Entry, ...]]":
        """Read all keys with a prefix."""
        self.reads += 1
        return self._later(lambda: self._store.list(prefix))

    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> "Deferred[int]":
        """Write one key."""
        self.writes += 1
        self.written_bytes += len(value)
        return self._later(
            lambda: self._store.put(key, value, expected=expected, lease=lease)
        )

    def delete(self, key: str, *, expected: int | None = None) -> "Deferred[None]":
        """Delete one key."""
        self.writes += 1
        return self._later(lambda: self._store.delete(key, expected=expected))

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[tuple[Entry, ...]]":
        """Wait for changes."""
        self.reads += 1
        return self._store.watch(prefix, after, timeout)

    def grant_lease(self, time_to_live: timedelta) -> "Deferred[str]":
        """Create a lease."""
        self.writes += 1
        return self._later(lambda: self._store.grant_lease(time_to_live))

    def renew_lease(self, lease: str) -> "Deferred[None]":
        """Renew a lease."""
        self.writes += 1
        return self._later(lambda: self._store.renew_lease(lease))

    @inlineCallbacks
    def _later(self, call: Callable[[], Any]) -> Generator[Any, Any, Any]:
        yield deferLater(self._clock, self._delay / 2)
        try:
            return (yield call())
        finally:
            yield deferLater(self._clock, self._delay / 2)


class PeerNetwork:
    """Delivers messages between instances after a delay."""

    def __init__(self, clock: Clock) -> None:
        self.messages = 0
        self.dead = ""
        self.claims_by_instance: dict[str, Claims] = {}
        self._clock = clock

    def sender(self, instance: str) -> "PeerLink":
        """Return the sender of one instance."""
        return PeerLink(self, instance)

    def deliver(self, source: str, instance: str, message: PeerMessage) -> None:
        """Hand ``message`` over later, unless one end is dead."""
        if self.dead in (source, instance):
            return
        self.messages += 1
        receiver = self.claims_by_instance[instance]
        self._clock.callLater(PEER_DELAY, receiver.receive, source, message)


@dataclass(frozen=True, slots=True)
class PeerLink:
    """The sender of one instance."""

    network: PeerNetwork
    instance: str

    def send(self, instance: str, message: PeerMessage) -> None:
        """Queue a message."""
        self.network.deliver(self.instance, instance, message)


class Way(Protocol):
    """One way to claim, at one instance."""

    def run(self, account: str, key: str) -> "Deferred[bool]":
        """Claim and finish; return whether the request ran."""


@dataclass(slots=True)
class Tally:
    """What one run measured."""

    added: list[float] = field(default_factory=list)
    runs_by_key: dict[str, int] = field(default_factory=dict)
    claims: int = 0
    refused: int = 0

    def ran(self, key: str) -> None:
        """Count a run of the request with this key."""
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1

    def added_percentile(self, percent: float) -> float:
        """Return a percentile of the added time in seconds."""
        ordered = sorted(self.added)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


@dataclass(slots=True)
class ChosenWay:
    """The real claims of one instance."""

    clock: Clock
    claims: Claims
    ids: RequestIds
    tally: Tally

    @inlineCallbacks
    def run(self, account: str, key: str) -> Generator[Any, Any, None]:
        """Claim, run and finish one request."""
        start = self.clock.seconds()
        request_id = str(self.ids.issue())
        answer = yield self.claims.claim(account, key, "body", request_id)
        self.tally.added.append(self.clock.seconds() - start)
        if not isinstance(answer, Claimed):
            self.tally.refused += 1
            return
        self.tally.ran(key)
        yield deferLater(self.clock, RUN_SECONDS)
        yield self.claims.finish(answer.claim, OUTCOME)


@dataclass(slots=True)
class BaselineWay:
    """A baseline's claims at one instance."""

    clock: Clock
    claims: Any
    ids: RequestIds
    tally: Tally

    @inlineCallbacks
    def run(self, account: str, key: str) -> Generator[Any, Any, None]:
        """Claim, run and finish one request."""
        start = self.clock.seconds()
        claimed = yield self.claims.claim(account, key, str(self.ids.issue()))
        self.tally.added.append(self.clock.seconds() - start)
        if not claimed:
            self.tally.refused += 1
            return
        self.tally.ran(key)
        yield deferLater(self.clock, RUN_SECONDS)
        yield self.claims.finish(account, key, OUTCOME)


class Unclaimed:
    """Claims nothing: the upper bound for speed, and no promise kept."""

    claim = staticmethod(claim_nothing)
    finish = staticmethod(claim_nothing)


@dataclass(frozen=True, slots=True)
class Setting:
    """One line of the table."""

    name: str
    rate: int
    build: Callable[[Clock, KeyValueStore, Tally], list[Way]]
    bound: bool = False
    seconds: float = SECONDS


class Arrivals:
    """Sends requests at a rate through random instances, some of them resent."""

    def __init__(
        self, clock: Clock, setting: Setting, ways: list[Way], tally: Tally
    ) -> None:
        self._clock = clock
        self._rate = setting.rate
        self._ways = ways
        self._tally = tally
        self._random = random.Random(SEED)

    def start(self) -> None:
        """Wait for the next arrival."""
        self._clock.callLater(self._random.expovariate(self._rate), self._arrive)

    def _arrive(self) -> None:
        number = self._tally.claims
        if number and self._random.random() < RESENT_SHARE:
            number = self._random.randrange(max(0, number - RESENT_AMONG), number)
        self._tally.claims += 1
        self._random.choice(self._ways).run("account", f"key-{number}")
        self.start()


def fleet() -> list[Member]:
    """Return the members of the fleet."""
    return [
        Member(f"i{number}", f"zone-{number % ZONES}", 1) for number in range(INSTANCES)
    ]


def chosen(
    shards: int, milliseconds: int, *, routed: bool = True, killed: bool = False
) -> Callable[[Clock, KeyValueStore, Tally], list[Way]]:
    """Return a builder of the real claims with ``shards`` shards."""

    def build(clock: Clock, store: KeyValueStore, tally: Tally) -> list[Way]:
        network = PeerNetwork(clock)
        ways: list[Way] = []
        for number, own in enumerate(fleet()):
            others = tuple(member for member in fleet() if member != own)
            claims = Claims(
                clock=clock,
                store=store,
                own=own,
                random=random.Random(SEED + number),
                members=FixedMembership(own, others) if routed else None,
                sender=network.sender(own.instance),
                shards=shards,
                commit_interval=timedelta(milliseconds=milliseconds),
            )
            network.claims_by_instance[own.instance] = claims
            ways.append(ChosenWay(clock, claims, RequestIds(own), tally))
        if killed:
            clock.callLater(KILL_SECONDS, kill_writer, network, ways)
        return ways

    return build


def kill_writer(network: PeerNetwork, ways: list[Way]) -> None:
    """Kill the first shard's writer; the members still list it."""
    names = [member.instance for member in fleet()]
    network.dead = ranked("claims/0", names)[0]
    del ways[names.index(network.dead)]


def baseline(
    make: Callable[[Clock, KeyValueStore], Any],
) -> Callable[[Clock, KeyValueStore, Tally], list[Way]]:
    """Return a builder of a baseline at each instance."""

    def build(clock: Clock, store: KeyValueStore, tally: Tally) -> list[Way]:
        return [
            BaselineWay(clock, make(clock, store), RequestIds(own), tally)
            for own in fleet()
        ]

    return build


def measure(setting: Setting) -> tuple[Tally, DelayedStore]:
    """Run one setting and return what it measured."""
    clock = HeapClock()
    store = DelayedStore(clock, PLATFORM_DELAY)
    tally = Tally()
    ways = setting.build(clock, store, tally)
    arrivals = Arrivals(clock, setting, ways, tally)
    arrivals.start()
    clock.run(setting.seconds)
    return tally, store


def settings() -> list[Setting]:
    """Return every line of the table."""
    lines = []
    for rate in RATES:
        lines += [
            Setting("chosen: 1 shard, 6 ms", rate, chosen(1, 6), bound=True),
            Setting("chosen, writer killed", rate, chosen(1, 6, killed=True)),
            Setting("2 shards, 12 ms", rate, chosen(2, 12)),
            Setting("4 shards, 24 ms", rate, chosen(4, 24)),
            Setting("1 shard, each writes", rate, chosen(1, 6, routed=False)),
            Setting(
                "baseline: key per claim",
                rate,
                baseline(lambda _clock, store: KeyPerClaim(store=store)),
            ),
            Setting(
                "baseline: one shared value",
                rate,
                baseline(lambda clock, store: SharedValue(clock=clock, store=store)),
                seconds=SHARED_VALUE_SECONDS,
            ),
            Setting(
                "upper bound: no claims",
                rate,
                baseline(lambda _clock, _store: Unclaimed()),
            ),
        ]
    return lines


def report(setting: Setting) -> int:
    """Print one line; return how many bounds it violates."""
    tally, store = measure(setting)
    doubles = sum(runs - 1 for runs in tally.runs_by_key.values())
    writes = store.writes / setting.seconds
    p50, p99 = tally.added_percentile(50), tally.added_percentile(99)
    answered = len(tally.added) / setting.seconds
    print(
        f"{setting.name:28} {setting.rate:5} {answered:9.0f} {writes:8.0f} "
        f"{store.reads / setting.seconds:7.0f} "
        f"{store.written_bytes / setting.seconds / 1000:8.0f} "
        f"{p50 * 1000:7.1f} {p99 * 1000:7.1f} {doubles:7}"
    )
    if not setting.bound:
        return 0
    return sum(
        (
            writes > MAX_WRITES_PER_SECOND,
            p99 > MAX_ADDED_P99_SECONDS,
            doubles > 0,
            answered < setting.rate * 0.97,
        )
    )


def main() -> int:
    """Print the table of claims and return how many bounds are violated."""
    print("claims: 6 instances, platform 3 ms, seed", SEED)
    print(
        f"{'way':28} {'rate':>5} {'claims/s':>9} {'writes/s':>8} {'reads/s':>7} "
        f"{'kB/s':>8} {'p50 ms':>7} {'p99 ms':>7} {'doubles':>7}"
    )
    violated = sum(report(setting) for setting in settings())
    print(
        f"bounds on the chosen way: writes <= {MAX_WRITES_PER_SECOND}/s, "
        f"added p99 <= {MAX_ADDED_P99_SECONDS * 1000:.0f} ms, 0 double runs; "
        f"violated: {violated}"
    )
    return violated


if __name__ == "__main__":
    raise SystemExit(main())
