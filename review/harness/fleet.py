"""Starts the deploy file's command as separate processes, as the platform does."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 15.0
RESTART_SECONDS = 0.5
GRACE_SECONDS = 8.0
HOST_OF_STANDINS = "127.0.0.1"

SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "north"
internalPorts = [{peer}, {last}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200

[zones]
zone-a = "north"
zone-b = "north"
zone-c = "north"

[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"

[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory}
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

ZONES = ("zone-a", "zone-b", "zone-c")


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def __call__(self, line: str) -> None:
        at = time.monotonic() - self._started
        self._file.write(f"{at:9.3f} {line}\n")
        self._file.flush()


@dataclass
class Instance:
    """One machine and the process on it; ``ends`` are those it made by itself."""

    name: str
    ip: str
    settings: Path
    log: Path
    front_port: int
    ready_port: int
    process: subprocess.Popen | None = None
    ends: int = 0
    peak_mb: float = 0.0
    stopping: bool = False
    ready: bool = False
    restarts: bool = True
    started_at: float = field(default=0.0)

    @property
    def front(self) -> tuple[str, int]:
        return self.ip, self.front_port


class Fleet:
    """The machines of a small deployment.

    The platform restarts a process that ends. One over ``memory_mb`` is killed, which
    counts as an end of its own.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        store: str,
        *,
        machines: int,
        memory_mb: int = 150,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split()
        self._record = record
        self._memory_mb = memory_mb
        self._tasks: list[asyncio.Task] = []
        subnet = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        base = random.randrange(20_000, 28_000, 20)
        self.instances = []
        for number in range(machines):
            name, ip = f"front-{number + 1}", f"{subnet}.{10 + number}"
            settings = folder / f"{name}.toml"
            settings.write_text(
                SETTINGS.format(
                    name=name,
                    ip=ip,
                    zone=ZONES[number % len(ZONES)],
                    front=base,
                    ready=base + 1,
                    peer=base + 2,
                    last=base + 15,
                    store=store,
                    memory=memory_mb,
                )
            )
            log = folder / f"{name}.log"
            self.instances.append(
                Instance(name, ip, settings, log, base, base + 1)
            )

    async def start(self) -> None:
        """Start all processes and wait until they are ready."""
        for each in self.instances:
            self._start(each)
            self._tasks.append(asyncio.ensure_future(self._tend(each)))
            self._tasks.append(asyncio.ensure_future(self._probe(each)))
        await self.wait(lambda: all(each.ready for each in self.instances))

    async def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; ``CannotRunError`` if it never does."""
        until = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError("the instances did not become ready")
            await asyncio.sleep(0.1)

    def terminate(self, instance: Instance) -> None:
        """Send SIGTERM to a process, and SIGKILL after the grace time."""
        instance.stopping = True
        process = instance.process
        self._record(f"platform: SIGTERM to {instance.name}")
        process.send_signal(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        loop.call_later(GRACE_SECONDS, self._kill, process)

    def stop(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for each in self.instances:
            if each.process is not None:
                self._kill(each.process)
                each.process.wait()

    def _kill(self, process: subprocess.Popen) -> None:
        if process.poll() is None:
            process.kill()

    def _start(self, instance: Instance) -> None:
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        variables["POMELOGLADE_BOOT"] = str(instance.settings)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with instance.log.open("ab") as log:
            instance.process = subprocess.Popen(
                self._command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        instance.stopping = False
        instance.started_at = time.monotonic()
        self._record(f"platform: starts {instance.name}, process {instance.process.pid}")

    async def _tend(self, instance: Instance) -> None:
        """Restart a process that ended, and kill one that has too much memory."""
        while True:
            await asyncio.sleep(0.02)
            process = instance.process
            memory = _memory_mb(process.pid)
            instance.peak_mb = max(instance.peak_mb, memory)
            too_large = memory > self._memory_mb
            if too_large:
                self._record(f"platform: {instance.name} has {memory:.0f} MB: SIGKILL")
                process.kill()
                process.wait()
            if process.poll() is None:
                continue
            if too_large or not instance.stopping:
                instance.ends += 1
                self._record(
                    f"platform: {instance.name} has ended by itself"
                    f" ({process.returncode}), end {instance.ends}"
                )
            instance.ready = False
            if not instance.restarts:
                return
            await asyncio.sleep(RESTART_SECONDS)
            self._start(instance)

    async def _probe(self, instance: Instance) -> None:
        while True:
            ready = await self._is_ready(instance)
            if ready != instance.ready:
                self._record(f"platform: {instance.name} ready: {ready}")
            instance.ready = ready
            if instance.ready:
                memory = _memory_mb(instance.process.pid)
                self._record(f"platform: {instance.name} has {memory:.0f} MB")
            await asyncio.sleep(1.0 if ready else 0.2)

    async def _is_ready(self, instance: Instance) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    instance.ip, instance.ready_port
                )
                try:
                    writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False


class CannotRunError(Exception):
    """The case could not be run."""


def _memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    sizes = [each for each in lines if each.startswith("VmRSS")]
    return int(sizes[0].split()[1]) / 1024 if sizes else 0.0


def route(name: str, kind: str, service: str, **options: object) -> dict:
    """Return a route of the operator's config under the prefix of its name."""
    return {
        "name": name,
        "host": "api.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 14_000,
        "targetLatencyMs": 900,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "gapAimMs": 300,
        **options,
    }


def config(routes: list[dict], services: list[dict], tenants: list[dict]) -> bytes:
    """Return the value of ``op/config``."""
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    }
    whole = {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }
    return json.dumps(whole).encode()


PLAIN_SERVICE = {"name": "desk", "healthPath": "/health", "maxConns": 96}


def main(case: Callable[[Record, Path, bool], object], folder: Path) -> None:
    """Run a case with or without its trouble, and exit as the issue asks.

    The case returns what broke the rule, or an empty text.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"trouble: {trouble}")
    # Ends the event loop's tasks, which stop all processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(case(record, Path(temporary), trouble))
        except (CannotRunError, OSError) as error:
            record(f"could not run: {error!r}")
            sys.exit(2)
    record(f"result: {broken or 'the rule held'}")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
