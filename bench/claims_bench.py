"""Benchmark of claims in virtual time.

Six instances in three zones, with half a millisecond between peers and a
platform that answers in three milliseconds. Every request claims its key, runs
for ``REQUEST_SECONDS`` and records its outcome; one in ten is resent through a
random instance. The claim latency, printed as "added", is the time from a claim
to its answer.
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
    grant_without_claim,
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
from pomeloglade_coordination.rendezvous import rank_members
from pomeloglade_coordination.request_ids import RequestIds

SEED = 4
INSTANCES = 6
ZONES = 3
REQUESTS_PER_SECOND = (200, 2000)
MEASURED_SECONDS = 3.0
REQUEST_SECONDS = 0.05
RESENT_SHARE = 0.1
RESENT_AMONG_LAST_REQUESTS = 50
OUTCOME = b"x" * 200
PEER_DELAY_SECONDS = 0.0005
PLATFORM_DELAY_SECONDS = 0.003
KILL_AFTER_SECONDS = 1.0
SHARED_VALUE_MEASURED_SECONDS = 1.0

MAX_WRITES_PER_SECOND = 200
MAX_CLAIM_P99_SECONDS = 0.020


class HeapClock:
    """A virtual clock for many timers; ``task.Clock`` sorts them at each call."""

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
        """Schedule a call, like ``IReactorTime.callLater``."""
        when = self._now + delay
        delayed = DelayedCall(
            when, call, args, kwargs, lambda _call: None, self._push, self.seconds
        )
        self._push(delayed)
        return delayed

    def run(self, seconds: float) -> None:
        """Make the calls scheduled up to the instant ``seconds``."""
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
        """Return the sender of an instance's messages."""
        return PeerLink(self, instance)

    def deliver(self, source: str, instance: str, message: PeerMessage) -> None:
        """Schedule the delivery of a message, unless one end is dead."""
        if self.dead in (source, instance):
            return
        self.messages += 1
        receiver = self.claims_by_instance[instance]
        self._clock.callLater(PEER_DELAY_SECONDS, receiver.receive, source, message)


@dataclass(frozen=True, slots=True)
class PeerLink:
    """Sends one instance's messages over the network."""

    network: PeerNetwork
    instance: str

    def send(self, instance: str, message: PeerMessage) -> None:
        """Send a message to another instance."""
        self.network.deliver(self.instance, instance, message)


class RequestRunner(Protocol):
    """Runs requests at one instance under one scheme of claims."""

    def run(self, account: str, key: str) -> "Deferred[bool]":
        """Claim, run and finish one request."""


@dataclass(slots=True)
class RunTally:
    """Measurements of one run."""

    claim_latencies: list[float] = field(default_factory=list)
    runs_by_key: dict[str, int] = field(default_factory=dict)
    arrivals: int = 0
    refused: int = 0

    def count_run(self, key: str) -> None:
        """Count a run of the request with this key."""
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1

    def claim_latency_percentile(self, percent: float) -> float:
        """Return a percentile of the claim latency in seconds."""
        ordered = sorted(self.claim_latencies)
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


@dataclass(slots=True)
class ClaimsRunner:
    """Runs requests under the router's own claims."""

    clock: Clock
    claims: Claims
    ids: RequestIds
    tally: RunTally

    @inlineCallbacks
    def run(self, account: str, key: str) -> Generator[Any, Any, None]:
        """Claim, run and finish one request."""
        start = self.clock.seconds()
        request_id = str(self.ids.issue())
        answer = yield self.claims.claim(account, key, "body", request_id)
        self.tally.claim_latencies.append(self.clock.seconds() - start)
        if not isinstance(answer, Claimed):
            self.tally.refused += 1
            return
        self.tally.count_run(key)
        yield deferLater(self.clock, REQUEST_SECONDS)
        yield self.claims.finish(answer.claim, OUTCOME)


@dataclass(slots=True)
class BaselineRunner:
    """Runs requests under the claims of a baseline."""

    clock: Clock
    claims: Any
    ids: RequestIds
    tally: RunTally

    @inlineCallbacks
    def run(self, account: str, key: str) -> Generator[Any, Any, None]:
        """Claim, run and finish one request."""
        start = self.clock.seconds()
        claimed = yield self.claims.claim(account, key, str(self.ids.issue()))
        self.tally.claim_latencies.append(self.clock.seconds() - start)
        if not claimed:
            self.tally.refused += 1
            return
        self.tally.count_run(key)
        yield deferLater(self.clock, REQUEST_SECONDS)
        yield self.claims.finish(account, key, OUTCOME)


class Unclaimed:
    """Upper bound for speed: runs all requests, without protection from double runs."""

    claim = staticmethod(grant_without_claim)
    finish = staticmethod(grant_without_claim)


@dataclass(frozen=True, slots=True)
class Case:
    """A line of the table; its bounds are checked when ``bounded``."""

    name: str
    rate: int
    build: Callable[[Clock, KeyValueStore, RunTally], list[RequestRunner]]
    bounded: bool = False
    seconds: float = MEASURED_SECONDS


class Arrivals:
    """Sends requests at a rate through random instances, some of them resent."""

    def __init__(
        self, clock: Clock, case: Case, runners: list[RequestRunner], tally: RunTally
    ) -> None:
        self._clock = clock
        self._rate = case.rate
        self._runners = runners
        self._tally = tally
        self._random = random.Random(SEED)

    def start(self) -> None:
        """Schedule the next arrival."""
        self._clock.callLater(self._random.expovariate(self._rate), self._arrive)

    def _arrive(self) -> None:
        number = self._tally.arrivals
        if number and self._random.random() < RESENT_SHARE:
            number = self._random.randrange(
                max(0, number - RESENT_AMONG_LAST_REQUESTS), number
            )
        self._tally.arrivals += 1
        self._random.choice(self._runners).run("account", f"key-{number}")
        self.start()


def fleet_members() -> list[Member]:
    """Return the members of the fleet."""
    return [
        Member(f"i{number}", f"zone-{number % ZONES}", 1) for number in range(INSTANCES)
    ]


def claims_builder(
    shards: int, milliseconds: int, *, routed: bool = True, killed: bool = False
) -> Callable[[Clock, KeyValueStore, RunTally], list[RequestRunner]]:
    """Return a builder of the router's own claims.

    ``milliseconds`` is the commit interval. If ``routed``, one instance writes each
    shard for all; otherwise every instance writes all shards itself.
    """

    def build(
        clock: Clock, store: KeyValueStore, tally: RunTally
    ) -> list[RequestRunner]:
        network = PeerNetwork(clock)
        runners: list[RequestRunner] = []
        for number, own in enumerate(fleet_members()):
            others = tuple(member for member in fleet_members() if member != own)
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
            runners.append(ClaimsRunner(clock, claims, RequestIds(own), tally))
        if killed:
            clock.callLater(KILL_AFTER_SECONDS, kill_writer, network, runners)
        return runners

    return build


def kill_writer(network: PeerNetwork, runners: list[RequestRunner]) -> None:
    """Kill the first shard's writer; the members still list it."""
    names = [member.instance for member in fleet_members()]
    network.dead = rank_members("claims/0", names)[0]
    del runners[names.index(network.dead)]


def baseline_builder(
    make: Callable[[Clock, KeyValueStore], Any],
) -> Callable[[Clock, KeyValueStore, RunTally], list[RequestRunner]]:
    """Return a builder that creates a baseline for each instance."""

    def build(
        clock: Clock, store: KeyValueStore, tally: RunTally
    ) -> list[RequestRunner]:
        return [
            BaselineRunner(clock, make(clock, store), RequestIds(own), tally)
            for own in fleet_members()
        ]

    return build


def measure(case: Case) -> tuple[RunTally, DelayedStore]:
    """Run one case; return its measurements and the store."""
    clock = HeapClock()
    store = DelayedStore(clock, PLATFORM_DELAY_SECONDS)
    tally = RunTally()
    runners = case.build(clock, store, tally)
    arrivals = Arrivals(clock, case, runners, tally)
    arrivals.start()
    clock.run(case.seconds)
    return tally, store


def all_cases() -> list[Case]:
    """Return a case for every line of the table."""
    cases = []
    for rate in REQUESTS_PER_SECOND:
        cases += [
            Case("chosen: 1 shard, 6 ms", rate, claims_builder(1, 6), bounded=True),
            Case("chosen, writer killed", rate, claims_builder(1, 6, killed=True)),
            Case("2 shards, 12 ms", rate, claims_builder(2, 12)),
            Case("4 shards, 24 ms", rate, claims_builder(4, 24)),
            Case("1 shard, each writes", rate, claims_builder(1, 6, routed=False)),
            Case(
                "baseline: key per claim",
                rate,
                baseline_builder(lambda _clock, store: KeyPerClaim(store=store)),
            ),
            Case(
                "baseline: one shared value",
                rate,
                baseline_builder(
                    lambda clock, store: SharedValue(clock=clock, store=store)
                ),
                seconds=SHARED_VALUE_MEASURED_SECONDS,
            ),
            Case(
                "upper bound: no claims",
                rate,
                baseline_builder(lambda _clock, _store: Unclaimed()),
            ),
        ]
    return cases


def report(case: Case) -> int:
    """Print one line; return how many bounds it violates."""
    tally, store = measure(case)
    double_runs = sum(runs - 1 for runs in tally.runs_by_key.values())
    writes = store.writes / case.seconds
    p50, p99 = tally.claim_latency_percentile(50), tally.claim_latency_percentile(99)
    answered = len(tally.claim_latencies) / case.seconds
    print(
        f"{case.name:28} {case.rate:5} {answered:9.0f} {writes:8.0f} "
        f"{store.reads / case.seconds:7.0f} "
        f"{store.written_bytes / case.seconds / 1000:8.0f} "
        f"{p50 * 1000:7.1f} {p99 * 1000:7.1f} {double_runs:7}"
    )
    if not case.bounded:
        return 0
    return sum(
        (
            writes > MAX_WRITES_PER_SECOND,
            p99 > MAX_CLAIM_P99_SECONDS,
            double_runs > 0,
            answered < case.rate * 0.97,
        )
    )


def main() -> int:
    """Print the table and return how many bounds are violated."""
    print("claims: 6 instances, platform 3 ms, seed", SEED)
    print(
        f"{'way':28} {'rate':>5} {'claims/s':>9} {'writes/s':>8} {'reads/s':>7} "
        f"{'kB/s':>8} {'p50 ms':>7} {'p99 ms':>7} {'doubles':>7}"
    )
    violated = sum(report(case) for case in all_cases())
    print(
        f"bounds on the router's claims: writes <= {MAX_WRITES_PER_SECOND}/s, "
        f"added p99 <= {MAX_CLAIM_P99_SECONDS * 1000:.0f} ms, 0 double runs; "
        f"violated: {violated}"
    )
    return violated


if __name__ == "__main__":
    raise SystemExit(main())
