"""A request that ends its servers is tried again at each new software version."""

import asyncio
import itertools
import time
from pathlib import Path

from harness.clients import ask
from harness.fleet import (
    HOST_OF_STANDINS,
    PLAIN_SERVICE,
    Fleet,
    Instance,
    Record,
    config,
    main,
    route,
)
from harness.replicas import Replica
from harness.store import Store

MACHINES = 6
SETTLE_SECONDS = 4.0
DEADLY = "/book/deadly"
DEADLY_INTERVAL_SECONDS = 0.5
"""The same request comes again, at one machine after the other."""

SOUND_INTERVAL_SECONDS = 0.05
WATCHED_SECONDS = 32.0
BACK_SECONDS = 3.0
ENTRY_SECONDS = 3.6
"""A crashed replica's entry stays for three heartbeats."""

RELEASES = (8.0, 12.0, 16.0, 20.0, 24.0)
"""When one of the three replicas is replaced by one of a new version."""

DRAIN_SECONDS = 3.0
STABLE_WINDOW_SECONDS = 3.0
ALLOWED = 3


class Desk:
    """The replicas of the service, with their crashes and releases."""

    def __init__(self, store: Store, record: Record, deadly: bool) -> None:
        self._store = store
        self._record = record
        self._deadly = deadly
        self.replicas: list[Replica] = []
        self.all: list[Replica] = []
        self.crashes: list[float] = []
        self._tasks: set[asyncio.Task] = set()

    async def add(self, zone: str, version: str) -> None:
        replica = Replica(
            self._store,
            self._record,
            service="desk",
            zone=zone,
            slots=6,
            work_seconds=0.05,
            version=version,
        )
        replica.deadly = DEADLY if self._deadly else ""
        replica.on_crash = self._crashed
        await replica.start(HOST_OF_STANDINS)
        self.replicas.append(replica)
        self.all.append(replica)
        self._record(f"replica {replica.id}: starts, version {version}")

    async def release(self, version: str) -> None:
        """Replace the oldest replica; the new one starts first."""
        old = self.replicas[0]
        self._record(f"release: {version} in place of {old.id} {old.version}")
        await self.add(old.zone, version)
        if old in self.replicas:
            self.replicas.remove(old)
            self._start(old.drain(DRAIN_SECONDS))

    def _crashed(self, replica: Replica) -> None:
        self.crashes.append(time.monotonic())
        self._record(f"replica {replica.id}: crashes, crash {len(self.crashes)}")
        if replica in self.replicas:
            self.replicas.remove(replica)
            self._start(self._bring_back(replica))
        self._start(self._forget(replica))

    async def _bring_back(self, replica: Replica) -> None:
        await asyncio.sleep(BACK_SECONDS)
        await self.add(replica.zone, replica.version)

    async def _forget(self, replica: Replica) -> None:
        await asyncio.sleep(ENTRY_SECONDS)
        await self._store.delete(f"servers/{replica.id}")

    def _start(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def run(record: Record, folder: Path, trouble: bool) -> str:
    store = Store(record)
    address = await store.start(HOST_OF_STANDINS)
    routes = [route("book", "unsafe", "desk", public=True, timeoutMs=2_000)]
    await store.put("op/config", config(routes, [PLAIN_SERVICE], []))
    desk = Desk(store, record, trouble)
    for zone in ("zone-a", "zone-b", "zone-c"):
        await desk.add(zone, "v1")
    fleet = Fleet(record, folder, address, machines=MACHINES)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        requests = [
            press(fleet, record, "deadly", DEADLY, DEADLY_INTERVAL_SECONDS),
            press(fleet, record, "sound", "/book/sound", SOUND_INTERVAL_SECONDS),
        ]
        _, sound, _ = await asyncio.gather(*requests, release_all(desk))
    finally:
        fleet.stop()
    runs = sorted(
        run.at
        for replica in desk.all
        for run in replica.runs
        if run.attempt.startswith("deadly")
    )
    lost = sum(status not in (200, 503) for status in sound)
    record(f"crashes: {len(desk.crashes)}; sound bookings: {len(sound)}, {lost} lost")
    if len(desk.crashes) < 3:
        return ""
    late = [at for at in runs if at > desk.crashes[2] + STABLE_WINDOW_SECONDS]
    record(f"runs later than {STABLE_WINDOW_SECONDS:g} s after the third: {len(late)}")
    if len(late) > ALLOWED:
        return (
            f"BUDGET: {len(late)} retries reached replicas, {ALLOWED} allowed;"
            f" {len(desk.crashes)} crashes, {lost} sound bookings lost"
        )
    return ""


async def release_all(desk: Desk) -> None:
    started = asyncio.get_running_loop().time()
    for number, at in enumerate(RELEASES, start=2):
        await asyncio.sleep(started + at - asyncio.get_running_loop().time())
        await desk.release(f"v{number}")


async def press(
    fleet: Fleet, record: Record, name: str, path: str, interval: float
) -> list[int]:
    """Send the same request to one machine after the other, and return the statuses."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + WATCHED_SECONDS
    tasks = []
    for number in itertools.count():
        if loop.time() >= ends_at:
            break
        instance = fleet.instances[number % MACHINES]
        attempt = f"{name}-{number:04d}"
        tasks.append(asyncio.ensure_future(one(instance, record, attempt, path)))
        await asyncio.sleep(interval)
    return list(await asyncio.gather(*tasks))


async def one(instance: Instance, record: Record, attempt: str, path: str) -> int:
    outcome = await ask(
        instance.front, method="POST", path=path, attempt=attempt, time_limit=2.0
    )
    record(f"client: {attempt} at {instance.name}: {outcome}")
    return outcome.status


main(run, Path(__file__).parent)
