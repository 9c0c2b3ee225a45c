"""An entry from another writer in ``servers/`` ends all instances, again and again."""

import asyncio
from pathlib import Path

from harness.fleet import (
    HOST_OF_STANDINS,
    PLAIN_SERVICE,
    Fleet,
    Record,
    config,
    main,
    route,
)
from harness.clients import ask
from harness.replicas import Replica
from harness.store import Store

MACHINES = 3
REQUESTS_A_SECOND = 10
WATCHED_SECONDS = 30.0
DEPTH = 2_000
"""Levels of nested lists; the whole entry has 2 KB."""

ENDS = 3
MIN_MACHINES = 2
"""The fault of the rules: so many machines end by themselves so often in a day."""


async def run(record: Record, folder: Path, trouble: bool) -> str:
    store = Store(record)
    address = await store.start(HOST_OF_STANDINS)
    await store.put(
        "op/config", config([route("read", "safe", "desk", public=True)], [PLAIN_SERVICE], [])
    )
    for zone in ("zone-a", "zone-b", "zone-c"):
        replica = Replica(
            store, record, service="desk", zone=zone, slots=6, work_seconds=0.02
        )
        await replica.start(HOST_OF_STANDINS)
    fleet = Fleet(record, folder, address, machines=MACHINES)
    try:
        await fleet.start()
        before = await ask_all(fleet, record, "before", 3.0)
        if trouble:
            entry = b'{"service": "desk", "notes": ' + b"[" * DEPTH
            record(f"another writer: servers/i-from-elsewhere, {len(entry)} bytes")
            await store.put("servers/i-from-elsewhere", entry)
        after = await ask_all(fleet, record, "after", WATCHED_SECONDS)
    finally:
        fleet.stop()
    ends = [each.ends for each in fleet.instances]
    record(f"served before: {before}, after: {after}; own ends by machine: {ends}")
    if sum(each >= ENDS for each in ends) >= MIN_MACHINES:
        return f"Fault: processes ended by themselves {ends} times; served {after}"
    return ""


async def ask_all(fleet: Fleet, record: Record, name: str, seconds: float) -> str:
    """Send requests to all machines in turn, and return how many were served."""
    tasks = []
    count = round(seconds * REQUESTS_A_SECOND)
    for number in range(count):
        instance = fleet.instances[number % MACHINES]
        attempt = f"{name}-{number:04d}"
        tasks.append(asyncio.ensure_future(one(instance, record, attempt)))
        await asyncio.sleep(1 / REQUESTS_A_SECOND)
    served = sum(await asyncio.gather(*tasks))
    return f"{served} of {count}"


async def one(instance: object, record: Record, attempt: str) -> bool:
    outcome = await ask(
        instance.front, method="GET", path="/read/1", attempt=attempt, time_limit=2.0
    )
    record(f"client: {attempt} at {instance.name}: {outcome}")
    return outcome.status == 200 and outcome.whole


main(run, Path(__file__).parent)
