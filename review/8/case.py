"""A model replica crashes; its streams go on at replicas with more tokens in an event."""

import asyncio
import itertools
import random
import time

from engine import Engine
from fleet import HOST_NAME, Fleet, Record, main
from stream_client import TIME_LIMIT_MS, StreamClient

ENTRIES = 3
CLIENTS = 24
PROMPT_TOKENS, TOTAL_TOKENS = 500, 60
WARM_UP_SECONDS = 8.0
LAPSE_SECONDS = 3.6
"""Three intervals of the heartbeats."""

REST_SECONDS = 20.0
OBJECTIVE_SECONDS, GAP_SECONDS = 0.9, 0.3
PATIENCE_SECONDS = max(2.0, 4 * OBJECTIVE_SECONDS, 8 * GAP_SECONDS)
"""Gap after which clients abandon a stream."""

RETRIES = 3
MAX_CUT = 3
ENGINES = (("prefill", 1), ("decode", 1), ("decode", 2), ("decode", 2))
"""Stage, and tokens in an event. The second one crashes."""

SERVICES = [
    {
        "name": "llm",
        "maxConns": 150,
        "healthPath": "/health",
        "engine": {"slots": 12, "kvCapacityTokens": 100_000, "handleTtlS": 0.5},
    }
]
ROUTES = [
    {
        "name": "reports",
        "host": HOST_NAME,
        "prefix": "/reports/",
        "kind": "streaming",
        "service": "llm",
        "timeoutMs": TIME_LIMIT_MS,
        "targetLatencyMs": OBJECTIVE_SECONDS * 1000,
        "gapAimMs": GAP_SECONDS * 1000,
        "maxAttempts": 2,
        "resumable": True,
        "sticky": True,
    }
]
WHOLE = [f"t{number}" for number in range(1, TOTAL_TOKENS + 1)]


async def case(fleet: Fleet, record: Record, trouble: bool) -> bool:
    await fleet.start_store()
    runs = []
    engines = []
    for number, (stage, tokens) in enumerate(ENGINES):
        engine = Engine(
            fleet.store,
            runs,
            name=f"i-llm-{number}",
            service="llm",
            stage=stage,
            zone=f"zone-{'abca'[number]}",
            host=fleet.host,
            tokens_per_event=tokens,
            total_tokens=TOTAL_TOKENS,
        )
        await engine.start()
        engines.append(engine)
    fleet.publish(ROUTES, SERVICES)
    await fleet.start_entries(ENTRIES)
    numbers = itertools.count(1)
    attempts = []

    def new_client(entry):
        tokens = (PROMPT_TOKENS, TOTAL_TOKENS)
        return StreamClient(entry, tokens=tokens, patience=PATIENCE_SECONDS)

    async def send(client, body, after=0):
        attempt = await client.attempt(
            f"a{next(numbers)}", body, after, target="/reports/digest"
        )
        attempts.append(attempt)
        return attempt

    async def requests(client):
        """Send requests one after the other on a kept channel."""
        while True:
            body = b"report %d" % next(numbers)
            began = time.monotonic()
            attempt = await send(client, body)
            words = attempt.words
            if attempt.status != 200 or attempt.end == "complete":
                await asyncio.sleep(0.05)
                continue
            first = attempt
            for _ in range(RETRIES):
                # A retry is made on a new channel, within the time limit.
                left = TIME_LIMIT_MS / 1000 - (time.monotonic() - began)
                if attempt.end == "complete" or attempt.retry_after > left / 3:
                    break
                await asyncio.sleep(attempt.retry_after)
                again = new_client(random.choice(fleet.entries))
                attempt = await send(again, body, attempt.last_id)
                again.close()
                words += attempt.words
            whole = "whole" if words == WHOLE else f"not whole, {len(words)} tokens"
            record.line(
                "=== stream of", first.id, "broke off after event", first.last_id,
                "and is", whole, "after its client has resumed it: last attempt",
                attempt.id, attempt.status, attempt.end,
            )

    for number in range(CLIENTS):
        fleet.run(requests(new_client(fleet.entries[number % ENTRIES])))
        await asyncio.sleep(0.07)
    await asyncio.sleep(WARM_UP_SECONDS)
    if trouble:
        record.line("=== replica", engines[1].id, "crashes")
        engines[1].crash()
        await asyncio.sleep(LAPSE_SECONDS)
        engines[1].unregister()
    await asyncio.sleep(REST_SECONDS)
    for each in fleet.entries:
        for line in each.log_text().splitlines():
            if " wrong " in line:
                record.line("log", line)
    return judge(record, runs, attempts)


def judge(record, runs, attempts) -> bool:
    """Return whether LOST was broken, by what clients received and replicas ran."""
    runs_by_attempt = {}
    for run in runs:
        runs_by_attempt.setdefault(run.attempt, []).append(run)
        record.line(
            "run", run.attempt, "by", run.replica, "after", run.after, "up to", run.last,
            run.ended, at=run.at,
        )
    cut = 0
    for each in sorted(attempts, key=lambda attempt: attempt.sent):
        channel = "on a kept channel" if each.kept else "on a new channel"
        record.line("sent", each.id, "to", each.entry.name, channel, at=each.sent)
        record.line(
            "answered", each.id, each.status, "last event", each.last_id, each.end,
            at=each.ended,
        )
        # A sound replica ran it, and the machine ended its answer.
        closed = any(
            run.ended == "closed by the router"
            for run in runs_by_attempt.get(each.id, ())
        )
        cut += each.kept and each.end.startswith("cut") and closed
    record.line(f"result: {cut} kept channels closed without a whole answer")
    return cut > MAX_CUT


if __name__ == "__main__":
    main(case, ".")
