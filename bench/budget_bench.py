"""Benchmark of the budget decision in virtual time."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from bench.budget_model import Event, Fleet, Parts, run_until, tokens_over
from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.refusals import Refusal
from pomeloglade_coordination.share_baselines import CentralShares, StaticShares
from pomeloglade_coordination.share_owners import FixedOwners
from pomeloglade_coordination.shares import Shares

WARM_SECONDS = 60.0
RUN_SECONDS = 120.0
OVERLOAD_SECONDS = 40.0
SLOPE_SECONDS = 10.0
SLOPE_ACCOUNTS = 100
FAULT_SECONDS = 40.0
TIMEOUT = timedelta(seconds=0.5)
STREAM_SECONDS = 5.0
LOAD = 0.9
SEED = 20

MAX_WRONGFUL_SKEW = 0.001
MAX_WRONGFUL_FAULT = 0.01


@dataclass(frozen=True, slots=True)
class User:
    """A deployment: its limits, and the mean size of its requests in tokens."""

    name: str
    instances_by_zone: dict[str, tuple[str, ...]]
    limits: dict[str, Limit]
    mean_tokens: int


HALVORSEN = User(
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
KOWHAI = User(
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
    """What one way did in one scenario."""

    user: str
    scenario: str
    way: str
    requests: int
    refused: int
    wrongful: float
    worst_account: float
    others_wrongful: float
    over: float
    above_floor: int
    messages_per_second: float
    bytes_per_second: float
    platform_writes_per_second: float


@dataclass(slots=True)
class Ideal:
    """A central bucket that every request reaches at once."""

    limit: Limit
    level: float
    at: float = 0.0

    def acquire(self, tokens: int, now: float) -> bool:
        """Take the tokens if they are there."""
        self.refund(0, now)
        if self.level < tokens:
            return False
        self.level -= tokens
        return True

    def refund(self, tokens: int, now: float) -> None:
        """Put tokens back, within the burst."""
        earned = self.limit.rate * (now - self.at)
        self.level = min(self.limit.burst, self.level + earned + tokens)
        self.at = now


@dataclass(slots=True)
class Account:
    """What one account asked for and got."""

    events: list[Event] = field(default_factory=list)
    requests: int = 0
    refused: int = 0
    wrongful: int = 0
    asked_tokens: int = 0
    ideal_tokens: int = 0
    granted_tokens: int = 0


class Run:
    """One way in one scenario; ``fault`` acts on the fleet while it runs."""

    def __init__(self, user: User, way: str, scenario: "Scenario") -> None:
        self.user = user
        self.way = way
        self.scenario = scenario
        self.fleet = Fleet(WAYS[way], user.instances_by_zone, user.limits, SEED)
        self.random = random.Random(SEED)
        self.accounts = {name: Account() for name in user.limits}
        self.ideals = {
            name: Ideal(limit, limit.burst, WARM_SECONDS)
            for name, limit in user.limits.items()
        }
        self.floors: dict[tuple[str, str], Ideal] = {}
        self.above_floor = 0

    def run(self) -> Row:
        """Run to the end and return the figures."""
        clock = self.fleet.clock
        run_until(clock, WARM_SECONDS)
        self.fleet.sent_messages.clear()
        self.fleet.sent_bytes.clear()
        self.fleet.store_calls.clear()
        if self.scenario.fault is not None:
            clock.callLater(FAULT_SECONDS, self.scenario.fault, self.fleet)
        if self.scenario.one_large:
            for name in self.user.limits:
                self._send(name, self.user.limits[name].burst * 9 // 10)
        else:
            for name in self.user.limits:
                self._next(name)
        run_until(clock, WARM_SECONDS + self.scenario.seconds)
        return self._row()

    def _next(self, account: str) -> None:
        """Plan the next request of an account, as a Poisson process."""
        load = LOAD
        if account == next(iter(self.user.limits)) and self.scenario.overload:
            load *= self.scenario.overload
        tokens = self._tokens(account)
        mean = tokens * 0.75 / (self.user.limits[account].rate * load)
        wait = self.random.expovariate(1.0 / mean)
        self.fleet.clock.callLater(wait, self._arrive, account, tokens)

    def _tokens(self, account: str) -> int:
        most = self.user.limits[account].burst // 5
        tokens = int(self.random.expovariate(1.0 / self.user.mean_tokens))
        return max(50, min(most, tokens))

    def _arrive(self, account: str, tokens: int) -> None:
        self._send(account, tokens)
        self._next(account)

    def _instance(self) -> str:
        names = [n for n in self.fleet.instances_by_name if self.fleet.running(n)]
        if self.random.random() < self.scenario.skew:
            return names[0]
        return self.random.choice(names)

    def _send(self, account: str, tokens: int) -> None:
        name = self._instance()
        instance = self.fleet.instances_by_name[name]
        now = self.fleet.clock.seconds()
        record = self.accounts[account]
        record.requests += 1
        record.asked_tokens += tokens
        ideal = self.ideals[account]
        unused = tokens // 2 if self.random.random() < 0.5 else 0
        in_rate = ideal.acquire(tokens, now)
        if in_rate:
            record.ideal_tokens += tokens
            self._later(lambda: ideal.refund(unused, self.fleet.clock.seconds()))
        in_floor = self._in_floor(account, instance.zone, tokens, unused)
        done = instance.shares.acquire(account, tokens, TIMEOUT)
        done.addCallback(
            self._answered, instance, record, tokens, unused, in_rate, in_floor
        )

    def _in_floor(self, account: str, zone: str, tokens: int, unused: int) -> bool:
        """Return whether a cut zone's floor alone would admit the request."""
        if zone not in self.fleet.cut_from_platform:
            return False
        now = self.fleet.clock.seconds()
        key = (zone, account)
        if key not in self.floors:
            part = self.user.limits[account].part(0, len(self.user.instances_by_zone))
            self.floors[key] = Ideal(part, 0, now)
        floor = self.floors[key]
        admitted = floor.acquire(tokens, now)
        if admitted:
            self._later(lambda: floor.refund(unused, self.fleet.clock.seconds()))
        return admitted

    def _later(self, call: Callable[[], None]) -> None:
        self.fleet.clock.callLater(STREAM_SECONDS, call)

    def _answered(
        self,
        result: object,
        instance: object,
        record: Account,
        tokens: int,
        unused: int,
        in_rate: bool,
        in_floor: bool,
    ) -> None:
        shares = instance.shares
        if isinstance(result, Refusal) or not shares.confirm(result):
            record.refused += 1
            record.wrongful += in_rate
            self.above_floor += in_rate and in_floor
            return
        record.granted_tokens += tokens
        record.events.append(Event(self.fleet.clock.seconds(), tokens))
        process = instance.process

        def finish() -> None:
            if not process.alive:
                return
            shares.refund(result, unused)
            record.events.append(Event(self.fleet.clock.seconds(), -unused))

        self._later(lambda: process.run(finish))

    def _row(self) -> Row:
        records = list(self.accounts.values())
        others = records[1:]
        count = len(self.fleet.instances_by_name)
        writes = self.fleet.store_calls["put"]
        return Row(
            self.user.name,
            self.scenario.name,
            self.way,
            sum(r.requests for r in records),
            sum(r.refused for r in records),
            _share(records),
            min(r.granted_tokens / max(1, r.ideal_tokens) for r in records),
            _share(others),
            max(
                tokens_over(self.accounts[name].events, limit)
                for name, limit in self.user.limits.items()
            ),
            self.above_floor,
            sum(self.fleet.sent_messages.values()) / self.scenario.seconds / count,
            sum(self.fleet.sent_bytes.values()) / self.scenario.seconds / count,
            writes / self.scenario.seconds,
        )


def _share(records: list[Account]) -> float:
    return sum(r.wrongful for r in records) / max(1, sum(r.requests for r in records))


@dataclass(frozen=True, slots=True)
class Scenario:
    """A kind of load and a fault that begins in the middle of the run."""

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


def _kill_for_good(fleet: Fleet) -> None:
    fleet.kill(_first(fleet))


def _freeze(fleet: Fleet) -> None:
    fleet.freeze(_first(fleet))
    fleet.clock.callLater(20.0, fleet.wake, _first(fleet))


def _cut(fleet: Fleet) -> None:
    fleet.cut(next(iter(fleet.instances_by_zone)))
    fleet.clock.callLater(30.0, fleet.heal)


def _platform_out(fleet: Fleet) -> None:
    fleet.platform_up = False


SCENARIOS = (
    Scenario("even", MAX_WRONGFUL_SKEW),
    Scenario("skew", MAX_WRONGFUL_SKEW, skew=0.8),
    Scenario("one at 5x", MAX_WRONGFUL_SKEW, overload=5, seconds=OVERLOAD_SECONDS),
    Scenario("owner killed", MAX_WRONGFUL_FAULT, fault=_kill),
    Scenario("killed for good", MAX_WRONGFUL_FAULT, fault=_kill_for_good),
    Scenario("owner frozen", MAX_WRONGFUL_FAULT, fault=_freeze),
    Scenario("platform out", MAX_WRONGFUL_FAULT, fault=_platform_out),
    Scenario("zone cut", 1.0, fault=_cut),
    Scenario("one large", 0.0, one_large=True),
)


def _lending(parts: Parts) -> Shares:
    return Shares(
        clock=parts.clock,
        members=parts.members,
        sender=parts.sender,
        owners=FixedOwners(parts.fleet.instances_by_zone),
    )


def _static(parts: Parts) -> StaticShares:
    names = list(parts.fleet.instances_by_name)
    index = names.index(parts.members.own.instance)
    return StaticShares(clock=parts.clock, index=index, count=len(names))


def _central(parts: Parts) -> CentralShares:
    return CentralShares(clock=parts.clock, members=parts.members, store=parts.store)


WAYS = {"lending": _lending, "static": _static, "central": _central}


def run() -> list[Row]:
    """Return a row for each user, scenario and way."""
    return [
        Run(user, way, scenario).run()
        for user in (HALVORSEN, KOWHAI)
        for scenario in SCENARIOS
        for way in WAYS
    ]


def violations(rows: list[Row]) -> list[str]:
    """Return each bound that the chosen way misses."""
    limits = {scenario.name: scenario.max_wrongful for scenario in SCENARIOS}
    found = []
    for row in rows:
        if row.way != "lending":
            continue
        label = f"{row.user}, {row.scenario}"
        if row.over > 0:
            found.append(f"{label}: {row.over:.0f} tokens over")
        wrongful = row.others_wrongful if row.scenario == "one at 5x" else row.wrongful
        if wrongful > limits[row.scenario]:
            found.append(f"{label}: {wrongful:.2%} wrongful refusals")
        if row.above_floor:
            found.append(f"{label}: {row.above_floor} refused within the zone's floor")
    return found


def slopes() -> dict[str, float]:
    """Return costs per daemon for each 1,000 active accounts, wall clock."""
    limits = {f"a{index}": Limit(100, 1000) for index in range(SLOPE_ACCOUNTS)}
    user = User("slopes", HALVORSEN.instances_by_zone, limits, 100)
    scenario = Scenario("even", 0.0, seconds=SLOPE_SECONDS)
    started = time.process_time()
    row = Run(user, "lending", scenario).run()
    spent = time.process_time() - started
    per_thousand = 1000 / SLOPE_ACCOUNTS
    daemon_seconds = (SLOPE_SECONDS + WARM_SECONDS) * 6
    return {
        "messages/s": row.messages_per_second * per_thousand,
        "bytes/s": row.bytes_per_second * per_thousand,
        "requests/s, fleet": row.requests / SLOPE_SECONDS * per_thousand,
        "processor share, model included": spent / daemon_seconds * per_thousand,
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
            f"{row.user:10} {row.scenario:16} {row.way:8} {row.requests:8} "
            f"{row.refused:8} {row.wrongful:9.3%} {row.others_wrongful:8.3%} "
            f"{row.worst_account:7.3f} {row.over:6.0f} {row.above_floor:8} "
            f"{row.messages_per_second:7.1f} {row.bytes_per_second:7.0f} "
            f"{row.platform_writes_per_second:8.1f}"
        )
    for name, value in slopes().items():
        print(f"slope per 1,000 active accounts and daemon: {name} {value:.3f}")
    missed = violations(rows)
    for line in missed:
        print("missed:", line)
    return len(missed)


if __name__ == "__main__":
    raise SystemExit(main())
