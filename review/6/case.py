"""The operator removes the last tenant, and its client goes on with the old key."""

import asyncio
import itertools
import time

from fleet import HOST_NAME, KEY, STABLE_SECONDS, Fleet, Record, caller_headers, main
from replica import Replica
from web import call

ENTRIES = 3
CALLS_PER_SECOND = 10
"""With each key, at each process."""

REVOKE_SECONDS = 5.0
REST_SECONDS = 12.0
NEVER_HELD = "key-that-no-config-held"
SERVICES = [{"name": "app", "maxConns": 100, "healthPath": "/health"}]
ROUTES = [
    {
        "name": "orders",
        "host": HOST_NAME,
        "prefix": "/orders/",
        "kind": "unsafe",
        "service": "app",
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "maxAttempts": 1,
        "public": False,
    }
]


async def case(fleet: Fleet, record: Record, trouble: bool) -> bool:
    await fleet.start_store()
    runs = []
    for number in range(2):
        replica = Replica(
            fleet.store,
            runs,
            name=f"i-app-{number}",
            service="app",
            zone=f"zone-{'ab'[number]}",
            host=fleet.host,
            slots=16,
        )
        await replica.start()
    fleet.publish(ROUTES, SERVICES)
    await fleet.start_entries(ENTRIES)
    numbers = itertools.count(1)
    sent = {}

    async def one_call(entry, key):
        attempt = f"{entry.name}-{next(numbers)}"
        sent[attempt] = (time.monotonic(), entry.name, key)
        headers = {**caller_headers(attempt, 4000), "Authorization": f"Bearer {key}"}
        target = f"/orders/{attempt}"
        answer = await call(entry.front, "POST", target, headers, b"one", seconds=4.0)
        record.line("answered", attempt, "none" if answer is None else answer.status)

    async def clients(entry, key):
        while True:
            fleet.run(one_call(entry, key))
            await asyncio.sleep(1 / CALLS_PER_SECOND)

    for entry, key in itertools.product(fleet.entries, (KEY, NEVER_HELD)):
        fleet.run(clients(entry, key))
    await asyncio.sleep(STABLE_SECONDS + 2)
    removed_at = None
    if trouble:
        removed_at = fleet.publish(ROUTES, SERVICES, tenants=[])
        record.line(f"=== version {fleet.version} confirmed: it has no tenant any more")
    await asyncio.sleep(REST_SECONDS)
    return judge(record, runs, sent, removed_at)


def judge(record, runs, sent, removed_at) -> bool:
    """Return whether CONFIG or ROUTE was broken, by what clients sent and replicas ran."""
    revoked = never_held = 0
    for run in runs:
        at, entry, key = sent[run.attempt]
        record.line("sent", run.attempt, "with", key, "to", entry, at=at)
        record.line("run", run.attempt, "by", run.replica, at=run.at)
        never_held += key == NEVER_HELD
        if key == KEY and removed_at is not None:
            revoked += at > removed_at + REVOKE_SECONDS
    record.line(
        f"result: {revoked} requests ran whose key was taken away over"
        f" {REVOKE_SECONDS:g} s before, {never_held} whose key no config held"
    )
    return revoked > 0 or never_held > 0


if __name__ == "__main__":
    main(case, ".")
