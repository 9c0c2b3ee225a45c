"""A registration that the store carries out late leaves an instance unregistered.

The instances then share an account's usage cap no more, and give out too much of it.
"""

import asyncio
import itertools
from pathlib import Path

from harness.clients import ask
from harness.fleet import (
    HOST_OF_STANDINS,
    Fleet,
    Instance,
    Record,
    config,
    main,
    route,
)
from harness.replicas import Replica, Run
from harness.store import Store

MACHINES = 6
LOST = 3
"""Writes that are not answered: one each of half of the machines. Each machine makes
two as it starts, a lease and its registration, so these are under a quarter of all."""

LATE_SECONDS = 3.0
"""The pages: a call without an answer may be carried out seconds later."""

SETTLE_SECONDS = 14.0
"""Until all leases of unanswered writes have ended, and a whole window has passed."""

KEY = "k-hot"
RATE, BURST, WINDOW_SECONDS, OVERRUN, SLACK = 44_186, 44_186, 8.0, 0.1, 120_000
TOKENS = (5_000, 100)
REQUESTS_A_SECOND = 7
"""At each machine; all together send five times the rate of the account."""

PRESS_SECONDS = 16.0
SERVICE = {
    "name": "models",
    "healthPath": "/health",
    "maxConns": 146,
    "engine": {
        "slots": 12,
        "kvCapacityTokens": 100_292,
        "tokenKvBytes": 35_136,
        "linkMbps": 8_800_000.0,
        "handleTtlS": 0.5,
        "models": [{"name": "m"}],
    },
}


async def run(record: Record, folder: Path, trouble: bool) -> str:
    store = Store(record)
    address = await store.start(HOST_OF_STANDINS)
    tenant = {
        "name": "hot",
        "apiKeys": [KEY],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": RATE,
        "burst": BURST,
    }
    routes = [route("digest", "streaming", "models", maxAttempts=1)]
    await store.put("op/config", config(routes, [SERVICE], [tenant]))
    engines = [
        Replica(
            store,
            record,
            service="models",
            zone=zone,
            slots=12,
            work_seconds=0.1,
            stage="decode",
        )
        for zone in ("zone-a", "zone-b")
    ]
    for each in engines:
        await each.start(HOST_OF_STANDINS)
    if trouble:
        store.delay_of = lose_first_registrations(record)
    fleet = Fleet(record, folder, address, machines=MACHINES)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        record(f"writes: {store.writes}, not answered: {store.unanswered}")
        record(f"registered: {store.keys('pomeloglade/instances/')}")
        await press(fleet, record)
        record(f"registered: {store.keys('pomeloglade/instances/')}")
    finally:
        fleet.stop()
    most = most_in_window([each for engine in engines for each in engine.runs])
    limit = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERRUN) + SLACK
    record(f"most tokens run in {WINDOW_SECONDS:g} s: {most}; allowed: {limit:.0f}")
    if most > limit:
        return f"QUOTA: {most} tokens ran in {WINDOW_SECONDS:g} s, allowed {limit:.0f}"
    return ""


def lose_first_registrations(record: Record) -> object:
    """Return a hook that does not answer the first registration of some machines."""
    lost: set[str] = set()
    chosen = {f"pomeloglade/instances/front-{n}" for n in range(1, LOST + 1)}

    def delay_of(body: dict) -> float | None:
        for each in body["writes"]:
            if each["key"] in chosen - lost:
                lost.add(each["key"])
                record(f"store: does not answer the write of {each['key']}")
                return LATE_SECONDS
        return None

    return delay_of


async def press(fleet: Fleet, record: Record) -> None:
    """Send the account's requests to all machines alike."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PRESS_SECONDS
    tasks = []
    for number in itertools.count():
        if loop.time() >= ends_at:
            break
        instance = fleet.instances[number % MACHINES]
        tasks.append(asyncio.ensure_future(one(instance, record, number)))
        await asyncio.sleep(1 / (REQUESTS_A_SECOND * MACHINES))
    await asyncio.gather(*tasks)


async def one(instance: Instance, record: Record, number: int) -> None:
    attempt = f"{number:08x}"
    outcome = await ask(
        instance.front,
        method="POST",
        path="/digest/1",
        attempt=attempt,
        key=KEY,
        tokens=TOKENS,
        time_limit=14.0,
    )
    record(f"client: {attempt} at {instance.name}: {outcome}")


def most_in_window(runs: list[Run]) -> int:
    """Return the most tokens that ran in any window of the quota."""
    runs = sorted(runs, key=lambda each: each.at)
    return max(
        (
            sum(r.tokens for r in runs if first.at <= r.at <= first.at + WINDOW_SECONDS)
            for first in runs
        ),
        default=0,
    )


main(run, Path(__file__).parent)
