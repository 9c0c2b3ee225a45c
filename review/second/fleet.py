"""Starts the program of the deploy file as separate processes, with stand-ins."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from store import Store
from web import call

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HOST_NAME = "api.example"
KEY = "club-key"
READY_SECONDS = 40
STABLE_SECONDS = 3.0
APPLY_SECONDS = 2.0
GRACE_SECONDS = 8.0
RESTART_SECONDS = 0.5
MISSES = 2
"""Readiness probes without a 200 after which a process gets no new channels."""

SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "region"
internalPorts = [{peer}, {last}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream",\
"engine","tenants","quota","platform"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
quotaWindowS = 8
quotaOverrun = 0.1
quotaSlack = 120000
recoverS = 12
transitMs = 120
reuseWindowS = 3
fencingRequired = false
leaseMs = 3000
thawMs = 300
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class CannotRunError(Exception):
    """The case can't run here."""


def command() -> list[str]:
    """Return the command of the deploy file's role."""
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    words = deploy["roles"]["entry"]["run"].split()
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


class Record:
    """Writes what was sent, answered and run to a file, with seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def line(self, *words: object, at: float | None = None) -> None:
        """Write a line."""
        seconds = (time.monotonic() if at is None else at) - self._began
        print(f"{seconds:8.3f}", *words, file=self._file, flush=True)
        if words and str(words[0]).startswith(("===", "result")):
            print(f"{seconds:8.3f}", *words, flush=True)


class Entry:
    """One process under test."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.name = f"entry-{number}"
        self.zone = ZONES[number % len(ZONES)]
        # The port of the metrics is fixed, so each process has an address of its own.
        self.host = f"127.{1 + os.getpid() % 250}.{fleet.subnet}.{10 + number}"
        ports = _free_ports(self.host, 4)
        self.front = f"{self.host}:{ports[0]}"
        self.ready = f"{self.host}:{ports[1]}"
        self.settings = fleet.folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                front=ports[0],
                ready=ports[1],
                peer=ports[2],
                last=ports[3],
                store=fleet.store_address,
            )
        )
        self._log = fleet.folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, or start it again."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["POMELOGLADE_BOOT"] = str(self.settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors="replace")


class Fleet:
    """The store and the processes under test.

    ``proxy`` stands between the processes and the store, if there is one.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.subnet = random.randrange(1, 250)
        self.host = f"127.{1 + os.getpid() % 250}.{self.subnet}.1"
        self.store = Store()
        self.store_address = ""
        self.entries: list[Entry] = []
        self.ready_entries: list[Entry] = []
        self.version = 0
        self._tasks: list[asyncio.Task] = []
        if not (ROOT / "target/deps/pomeloglade_platform").is_dir():
            raise CannotRunError("target/deps is not built")

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.server.listen(self.host)
        self.store_address = self.store.server.address
        self.run(self.store.expire_leases())

    def run(self, coroutine) -> asyncio.Task:
        """Run a task until the fleet is closed."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def start_entries(self, count: int) -> None:
        """Start the processes, and wait until all are ready."""
        self.entries = [Entry(self, number) for number in range(count)]
        for each in self.entries:
            each.start()
        until = time.monotonic() + READY_SECONDS
        for each in self.entries:
            while not await is_ready(each):
                if time.monotonic() > until:
                    raise CannotRunError(f"{each.name} is not ready")
                await asyncio.sleep(0.1)

    async def balance(self) -> None:
        """Ask the processes each second whether they are ready, as the ingress does.

        Two misses take a process out of ``ready_entries``, one answer takes it back.
        """
        misses = {each.name: 0 for each in self.entries}
        while True:
            answers = await asyncio.gather(*map(is_ready, self.entries))
            for entry, answered in zip(self.entries, answers, strict=True):
                misses[entry.name] = 0 if answered else misses[entry.name] + 1
            self.ready_entries = [
                each for each in self.entries if misses[each.name] < MISSES
            ] or self.entries
            await asyncio.sleep(1)

    async def restart(self, entry: Entry) -> None:
        """Send SIGTERM, wait for the end, and start the process again."""
        entry.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while entry.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        entry.end()
        await asyncio.sleep(RESTART_SECONDS)
        entry.start()

    def publish(self, routes: list[dict], services: list[dict], **more: object) -> float:
        """Write a configuration, and return the time of its confirmation."""
        self.version += 3
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 10_000,
            "idleTimeoutMs": 60_000,
        }
        tenant = {"name": "club", "apiKeys": [KEY], "unit": "tokens", "plainTokens": 200}
        value = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": [tenant],
            **more,
        }
        self.store.write("op/config", json.dumps(value).encode())
        return time.monotonic()

    async def close(self) -> None:
        """End all processes and tasks."""
        for each in self.entries:
            each.end()
        for each in self._tasks:
            each.cancel()
        with contextlib.suppress(OSError):
            self._folder.cleanup()


async def is_ready(entry: Entry) -> bool:
    """Return whether a process says that it is ready."""
    headers = {"Host": entry.ready}
    answer = await call(entry.ready, "GET", "/v1/readiness", headers, seconds=0.5)
    return answer is not None and answer.status == 200


def caller_headers(attempt: str, milliseconds: int) -> dict[str, str]:
    """Return the headers of a client attempt."""
    return {
        "Host": HOST_NAME,
        "X-Pomeloglade-Attempt-Id": attempt,
        "X-Pomeloglade-Deadline-Ms": str(milliseconds),
        "Authorization": f"Bearer {KEY}",
    }


def _free_ports(host: str, count: int) -> list[int]:
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return sorted(ports)


def main(case, folder: str) -> None:
    """Run a case, and exit with 1 if it returns that the rule was broken, else 0."""
    record = Record(Path(folder).resolve())
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> None:
        # Connections that end with the case are no errors of it.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        fleet = None
        try:
            fleet = Fleet()
            broken = await case(fleet, record, trouble)
            status, result = int(broken), "rule broken" if broken else "rule held"
        except Exception as error:
            status, result = 2, f"could not run: {error!r}"
        finally:
            if fleet is not None:
                await fleet.close()
        record.line("result:", result)
        sys.stdout.flush()
        # Without waiting for the tasks of clients, which may not end when cancelled.
        os._exit(status)

    asyncio.run(run())
