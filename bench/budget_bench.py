"""Benchmark of sharing rate limits over a fleet, in virtual time."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from bench.budget_model import Event, Fleet, ShareDependencies, excess_tokens, run_until
from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.refusals import Refusal
from pomeloglade_coordination.share_baselines import CentralShares, StaticShares
from pomeloglade_coordination.share_owners import FixedOwners
from pomeloglade_coordination.shares import Shares

WARM_UP_SECONDS = 60.0
RUN_SECONDS = 120.0
OVERLOAD_SECONDS = 40.0
SLOPE_SECONDS = 10.0
SLOPE_ACCOUNTS = 100
FAULT_SECONDS = 40.0
TIMEOUT = timedelta(seconds=0.5)
STREAM_SECONDS = 5.0
LOAD = 0.9
"""Tokens used per second, as a fraction of an account's rate."""

SEED = 20

MAX_WRONGFUL_SKEW = 0.001
MAX_WRONGFUL_FAULT = 0.01


@dataclass(frozen=True, slots=True)
class Workload:
    """A deployment: its instances and limits, and its requests' mean tokens."""

    name: str
    instances_by_zone: dict[str, tuple[str, ...]]
    limits: dict[str, Limit]
    mean_tokens: int


HALVORSEN = Workload(
    "halvorsen",
    {f"nordvik-{z}": (f"{z}1", f"{z}2") for z in "abc"},
    {
        "county": Limit(30_000, 300_000),
        "academy": Limit(20_000, 200_000),
        "league": Limit(10_000, 150_000),
        "clubs": Limit(2_000, 60_000),
        "officials": Limit(1_000, 40_000),
    },
    6_000,
)
KOWHAI = Workload(
    "kowhai",
    {z: (f"{z}-1", f"{z}-2") for z in ("akl-a", "akl-b", "hlz-c")},
    {
        "head-office": Limit(8_000, 80_000),
        "auckland": Limit(4_000, 40_000),
        "waikato": Limit(3_000, 30_000),
        "coastal": Limit(600, 12_000),
        "hauraki": Limit(400, 8_000),
    },
    800,
)


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one strategy in one scenario.

    A refusal is wrongful when an ideal central bucket would have admitted the
    request. ``wrongful`` and ``others_wrongful`` are fractions of the requests of
    all accounts and of all but the first. ``lowest_granted_ratio`` is the lowest
    ratio, over the accounts, of granted tokens to those the ideal bucket admits.
    """

    workload: str
    scenario: str
    strategy: str
    requests: int
    refused: int
    wrongful: float
    lowest_granted_ratio: float
    others_wrongful: float
    tokens_over_limit: float
    refused_within_floor: int
    messages_per_second: float
    bytes_per_second: float
    platform_writes_per_second: float


@dataclass(slots=True)
class IdealBucket:
    """A central bucket that every request reaches without delay."""

    limit: Limit
    level: float
    at: float = 0.0

    def acquire(self, tokens: int, now: float) -> bool:
        """Take the tokens, or return ``False`` when there are too few."""
        self.refund(0, now)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def refund(self, tokens: int, now: float) -> None:
        """Put tokens back, up to the burst."""
        earned = self.limit.rate * (now - self.at)
        self.level = min(self.limit.burst, self.level + earned + tokens)
        self.at = now


@dataclass(slots=True)
class AccountTally:
    """Counts of one account's requests and tokens.

    ``ideal_tokens`` are those that the ideal central bucket admits.
    """

    events: list[Event] = field(default_factory=list)
    requests: int = 0
    refused: int = 0
    wrongful: int = 0
    asked_tokens: int = 0
    ideal_tokens: int = 0
    granted_tokens: int = 0


class Run:
    """Runs one strategy in one scenario."""

    def __init__(self, workload: Workload, strategy: str, scenario: "Scenario") -> None:
        self.workload = workload
        self.strategy = strategy
        self.scenario = scenario
        self.fleet = Fleet(
            STRATEGIES[strategy], workload.instances_by_zone, workload.limits, SEED
        )
        self.random = random.Random(SEED)
        self.accounts = {name: AccountTally() for name in workload.limits}
        self.ideals = {
            name: IdealBucket(limit, limit.burst, WARM_UP_SECONDS)
            for name, limit in workload.limits.items()
        }
        self.floors: dict[tuple[str, str], IdealBucket] = {}
        self.refused_within_floor = 0

    def run(self) -> Row:
        """Run to the end and return the figures."""
        clock = self.fleet.clock
        run_until(clock, WARM_UP_SECONDS)
        self.fleet.sent_messages.clear()
        self.fleet.sent_bytes.clear()
        self.fleet.store_calls.clear()
        if self.scenario.fault is not None:
            clock.callLater(FAULT_SECONDS, self.scenario.fault, self.fleet)
        if self.scenario.one_large:
            for name in self.workload.limits:
                self._send(name, self.workload.limits[name].burst * 9 // 10)
        else:
            for name in self.workload.limits:
                self._schedule_next(name)
        run_until(clock, WARM_UP_SECONDS + self.scenario.seconds)
        return self._row()

    def _schedule_next(self, account: str) -> None:
        """Schedule the next request of an account, as a Poisson process.

        A request uses three quarters of its tokens on average; the rest is refunded.
        """
        load = LOAD
        if account == next(iter(self.workload.limits)) and self.scenario.overload:
            load *= self.scenario.overload
        tokens = self._tokens(account)
        mean = tokens * 0.75 / (self.workload.limits[account].rate * load)
        wait = self.random.expovariate(1.0 / mean)
        self.fleet.clock.callLater(wait, self._arrive, account, tokens)

    def _tokens(self, account: str) -> int:
        max_tokens = self.workload.limits[account].burst // 5
        tokens = int(self.random.expovariate(1.0 / self.workload.mean_tokens))
        return max(50, min(max_tokens, tokens))

    def _arrive(self, account: str, tokens: int) -> None:
        self._send(account, tokens)
        self._schedule_next(account)

    def _instance(self) -> str:
        names = [n for n in self.fleet.instances_by_name if self.fleet.running(n)]
        if self.random.random() < self.scenario.skew:
            return names[0]
        return self.random.choice(names)

    def _send(self, account: str, tokens: int) -> None:
        name = self._instance()
        instance = self.fleet.instances_by_name[name]
        now = self.fleet.clock.seconds()
        tally = self.accounts[account]
        tally.requests += 1
        tally.asked_tokens += tokens
        ideal = self.ideals[account]
        unused = tokens // 2 if self.random.random() < 0.5 else 0
        ideal_admits = ideal.acquire(tokens, now)
        if ideal_admits:
            tally.ideal_tokens += tokens
            self._after_stream(lambda: ideal.refund(unused, self.fleet.clock.seconds()))
        floor_admits = self._floor_admits(account, instance.zone, tokens, unused)
        done = instance.shares.acquire(account, tokens, TIMEOUT)
        done.addCallback(
            self._answered, instance, tally, tokens, unused, ideal_admits, floor_admits
        )

    def _floor_admits(self, account: str, zone: str, tokens: int, unused: int) -> bool:
        """Return whether the floor alone of a cut-off zone would admit a request.

        The floor is the zone's part of the account's limit. The result is ``False``
        in a zone that reaches the platform.
        """
        if zone not in self.fleet.cut_from_platform:
            return False
        now = self.fleet.clock.seconds()
        key = (zone, account)
        if key not in self.floors:
            part = self.workload.limits[account].part(
                0, len(self.workload.instances_by_zone)
            )
            self.floors[key] = IdealBucket(part, 0, now)
        floor = self.floors[key]
        admitted = floor.acquire(tokens, now)
        if admitted:
            self._after_stream(lambda: floor.refund(unused, self.fleet.clock.seconds()))
        return admitted

    def _after_stream(self, call: Callable[[], None]) -> None:
        self.fleet.clock.callLater(STREAM_SECONDS, call)

    def _answered(
        self,
        result: object,
        instance: object,
        tally: AccountTally,
        tokens: int,
        unused: int,
        ideal_admits: bool,
        floor_admits: bool,
    ) -> None:
        shares = instance.shares
        if isinstance(result, Refusal) or not shares.confirm(result):
            tally.refused += 1
            tally.wrongful += ideal_admits
            self.refused_within_floor += ideal_admits and floor_admits
            return
        tally.granted_tokens += tokens
        tally.events.append(Event(self.fleet.clock.seconds(), tokens))
        process = instance.process

        def finish() -> None:
            if not process.alive:
                return
            shares.refund(result, unused)
            tally.events.append(Event(self.fleet.clock.seconds(), -unused))

        self._after_stream(lambda: process.run(finish))

    def _row(self) -> Row:
        tallies = list(self.accounts.values())
        others = tallies[1:]
        count = len(self.fleet.instances_by_name)
        writes = self.fleet.store_calls["put"]
        return Row(
            self.workload.name,
            self.scenario.name,
            self.strategy,
            sum(r.requests for r in tallies),
            sum(r.refused for r in tallies),
            _wrongful_fraction(tallies),
            min(r.granted_tokens / max(1, r.ideal_tokens) for r in tallies),
            _wrongful_fraction(others),
            max(
                excess_tokens(self.accounts[name].events, limit)
                for name, limit in self.workload.limits.items()
            ),
            self.refused_within_floor,
            sum(self.fleet.sent_messages.values()) / self.scenario.seconds / count,
            sum(self.fleet.sent_bytes.values()) / self.scenario.seconds / count,
            writes / self.scenario.seconds,
        )


def _wrongful_fraction(tallies: list[AccountTally]) -> float:
    return sum(r.wrongful for r in tallies) / max(1, sum(r.requests for r in tallies))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load, and a fault injected ``FAULT_SECONDS`` after the warm-up.

    ``skew`` is the probability that a request goes to the first running instance
    instead of a random one; ``overload`` multiplies the first account's load.
    """

    name: str
    max_wrongful: float
    skew: float = 0.0
    overload: int = 0
    one_large: bool = False
    seconds: float = RUN_SECONDS
    fault: Callable[[Fleet], None] | None = None


def _first(fleet: Fleet) -> str:
    return next(iter(fleet.instances_by_name))


def _kill(fleet: Fleet) -> None:
    fleet.kill(_first(fleet))
    fleet.clock.callLater(20.0, fleet.start, _first(fleet))


def _kill_permanently(fleet: Fleet) -> None:
    fleet.kill(_first(fleet))


def _freeze(fleet: Fleet) -> None:
    fleet.freeze(_first(fleet))
    fleet.clock.callLater(20.0, fleet.wake, _first(fleet))


def _cut(fleet: Fleet) -> None:
    fleet.isolate_zone(next(iter(fleet.instances_by_zone)))
    fleet.clock.callLater(30.0, fleet.heal)


def _stop_platform(fleet: Fleet) -> None:
    fleet.platform_up = False


SCENARIOS = (
    Scenario("even", MAX_WRONGFUL_SKEW),
    Scenario("skew", MAX_WRONGFUL_SKEW, skew=0.8),
    Scenario("one at 5x", MAX_WRONGFUL_SKEW, overload=5, seconds=OVERLOAD_SECONDS),
    Scenario("owner killed", MAX_WRONGFUL_FAULT, fault=_kill),
    Scenario("killed for good", MAX_WRONGFUL_FAULT, fault=_kill_permanently),
    Scenario("owner frozen", MAX_WRONGFUL_FAULT, fault=_freeze),
    Scenario("platform out", MAX_WRONGFUL_FAULT, fault=_stop_platform),
    Scenario("zone cut", 1.0, fault=_cut),
    Scenario("one large", 0.0, one_large=True),
)


def _lending(dependencies: ShareDependencies) -> Shares:
    return Shares(
        clock=dependencies.clock,
        members=dependencies.members,
        sender=dependencies.sender,
        owners=FixedOwners(dependencies.fleet.instances_by_zone),
    )


def _static(dependencies: ShareDependencies) -> StaticShares:
    names = list(dependencies.fleet.instances_by_name)
    index = names.index(dependencies.members.own.instance)
    return StaticShares(clock=dependencies.clock, index=index, count=len(names))


def _central(dependencies: ShareDependencies) -> CentralShares:
    return CentralShares(
        clock=dependencies.clock, members=dependencies.members, store=dependencies.store
    )


STRATEGIES = {"lending": _lending, "static": _static, "central": _central}


def run() -> list[Row]:
    """Return a row for each workload, scenario and strategy."""
    return [
        Run(workload, strategy, scenario).run()
        for workload in (HALVORSEN, KOWHAI)
        for scenario in SCENARIOS
        for strategy in STRATEGIES
    ]


def violations(rows: list[Row]) -> list[str]:
    """Return each bound that the ``lending`` strategy misses."""
    limits = {scenario.name: scenario.max_wrongful for scenario in SCENARIOS}
    missed = []
    for row in rows:
        if row.strategy != "lending":
            continue
        label = f"{row.workload}, {row.scenario}"
        if row.tokens_over_limit > 0:
            missed.append(f"{label}: {row.tokens_over_limit:.0f} tokens over")
        wrongful = row.others_wrongful if row.scenario == "one at 5x" else row.wrongful
        if wrongful > limits[row.scenario]:
            missed.append(f"{label}: {wrongful:.2%} wrongful refusals")
        if row.refused_within_floor:
            missed.append(
                f"{label}: {row.refused_within_floor} refused within the zone's floor"
            )
    return missed


def costs_per_thousand_accounts() -> dict[str, float]:
    """Return the costs of one instance for every 1,000 active accounts.

    The processor share is measured in processor time, and includes the model.
    """
    limits = {f"a{index}": Limit(100, 1000) for index in range(SLOPE_ACCOUNTS)}
    workload = Workload("slopes", HALVORSEN.instances_by_zone, limits, 100)
    scenario = Scenario("even", 0.0, seconds=SLOPE_SECONDS)
    started = time.process_time()
    row = Run(workload, "lending", scenario).run()
    processor_seconds = time.process_time() - started
    per_thousand = 1000 / SLOPE_ACCOUNTS
    instance_seconds = (SLOPE_SECONDS + WARM_UP_SECONDS) * 6
    return {
        "messages/s": row.messages_per_second * per_thousand,
        "bytes/s": row.bytes_per_second * per_thousand,
        "requests/s, fleet": row.requests / SLOPE_SECONDS * per_thousand,
        "processor share, model included": processor_seconds
        / instance_seconds
        * per_thousand,
    }


def main() -> int:
    """Print the table and the missed bounds, and return how many."""
    rows = run()
    print(
        f"{'user':10} {'scenario':16} {'way':8} {'requests':>8} {'refused':>8} "
        f"{'wrongful':>9} {'others':>8} {'worst':>7} {'over':>6} {'in floor':>8} "
        f"{'msg/s':>7} {'B/s':>7} {'writes/s':>8}"
    )
    for row in rows:
        print(
            f"{row.workload:10} {row.scenario:16} {row.strategy:8} {row.requests:8} "
            f"{row.refused:8} {row.wrongful:9.3%} {row.others_wrongful:8.3%} "
            f"{row.lowest_granted_ratio:7.3f} {row.tokens_over_limit:6.0f} "
            f"{row.refused_within_floor:8} "
            f"{row.messages_per_second:7.1f} {row.bytes_per_second:7.0f} "
            f"{row.platform_writes_per_second:8.1f}"
        )
    for name, value in costs_per_thousand_accounts().items():
        print(f"slope per 1,000 active accounts and daemon: {name} {value:.3f}")
    missed = violations(rows)
    for line in missed:
        print("missed:", line)
    return len(missed)


if __name__ == "__main__":
    raise SystemExit(main())
