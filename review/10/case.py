"""A request crashes each replica that begins to run it, and comes again and again."""

import asyncio
import itertools
import time

from fleet import HOST_NAME, STABLE_SECONDS, Fleet, Record, caller_headers, main
from replica import Replica
from web import call

ENTRIES = 3
REPLICAS = 2
SLOTS, WORK_SECONDS = 6, 0.09
LOOKUPS_PER_SECOND, ORDERS_PER_SECOND = 15, 4
"""At each process. Together they take 5 of the 12 slots."""

DOWN_SECONDS = 2.5
HEARTBEAT_SECONDS = 1.2
"""A replica writes its entry about that often, for the first time so long after its
start."""

CRASHING = "/lookups/7f3a"
ROUNDS, ROUND_SECONDS = 12, 6.0
CRASHES_TO_STOP = 3
MAX_LATE_RETRIES = 3
SERVICES = [{"name": "app", "maxConns": 100, "healthPath": "/health"}]


def route(name, kind, attempts):
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": "app",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "maxAttempts": attempts,
    }


async def case(fleet: Fleet, record: Record, trouble: bool) -> bool:
    await fleet.start_store()
    runs = []
    replicas = [
        Replica(
            fleet.store,
            runs,
            name=f"i-app-{number}",
            service="app",
            zone=f"zone-{'abc'[number]}",
            host=fleet.host,
            slots=SLOTS,
            work_seconds=WORK_SECONDS,
            crashes_on=lambda request: trouble and request.target == CRASHING,
            down_seconds=DOWN_SECONDS,
            register_seconds=HEARTBEAT_SECONDS,
        )
        for number in range(REPLICAS)
    ]
    await asyncio.gather(*(each.start() for each in replicas))
    fleet.publish([route("lookups", "safe", 2), route("orders", "unsafe", 1)], SERVICES)
    await fleet.start_entries(ENTRIES)
    numbers = itertools.count(1)
    sent, statuses = {}, {}

    async def one_call(entry, method, target):
        attempt = f"{entry.name}-{next(numbers)}"
        sent[attempt] = (time.monotonic(), entry.name, target)
        headers = caller_headers(attempt, 4000)
        answer = await call(entry.front, method, target, headers, b"", seconds=4.0)
        status = statuses[attempt] = "none" if answer is None else answer.status
        record.line("answered", attempt, target, status)
        if target == CRASHING:
            record.line("=== crashing request", attempt, "is answered", status)

    async def clients(entry, method, route_name, per_second):
        while True:
            fleet.run(one_call(entry, method, f"/{route_name}/{next(numbers)}"))
            await asyncio.sleep(1 / per_second)

    for entry in fleet.entries:
        fleet.run(clients(entry, "GET", "lookups", LOOKUPS_PER_SECOND))
        fleet.run(clients(entry, "POST", "orders", ORDERS_PER_SECOND))
    await asyncio.sleep(STABLE_SECONDS + 1)
    for number in range(ROUNDS):
        await one_call(fleet.entries[number % ENTRIES], "GET", CRASHING)
        await asyncio.sleep(ROUND_SECONDS)
    return judge(record, runs, sent, statuses, replicas)


def judge(record, runs, sent, statuses, replicas) -> bool:
    """Return whether BUDGET was broken, by what replicas ran."""
    ran = set()
    for run in runs:
        at, entry, target = sent[run.attempt]
        ran.add(run.attempt)
        record.line("sent", run.attempt, target, "to", entry, at=at)
        record.line("run", run.attempt, target, "by", run.replica, run.born, at=run.at)
    crashes = sorted(at for each in replicas for at in each.crashes)
    for each in replicas:
        for at in each.crashes:
            record.line("=== crash of", each.id, at=at)
        for at in each.starts[1:]:
            record.line("start of", each.id, at=at)
        for at in each.registrations[1:]:
            record.line("registration of", each.id, at=at)
    if len(crashes) < CRASHES_TO_STOP:
        record.line(f"result: {len(crashes)} crashes")
        return False
    stops_at = crashes[CRASHES_TO_STOP - 1] + STABLE_SECONDS
    late = sum(
        sent[each.attempt][2] == CRASHING and each.at > stops_at for each in runs
    )
    lost = sum(
        target != CRASHING
        and attempt in ran
        and at > stops_at
        and statuses.get(attempt) == 502
        for attempt, (at, _, target) in sent.items()
    )
    record.line(
        f"result: {len(crashes)} crashes, {late} of them by retries {STABLE_SECONDS:g} s"
        f" after the third; {lost} other requests that ran were answered 502 then"
    )
    return late > MAX_LATE_RETRIES


if __name__ == "__main__":
    main(case, ".")
