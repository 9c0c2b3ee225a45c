"""The processes under test and the stand-ins around them."""

import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import ProcessProtocol
from twisted.web.server import Site

from pomeloglade_coordination.key_value import StoreCopy
from pomeloglade_platform import configuration as wire_configuration
from pomeloglade_platform import servers
from pomeloglade_platform_standin.backend import BackendStandIn, Evacuation, Ledger
from pomeloglade_platform_standin.deployment import configuration, settings_text
from pomeloglade_platform_standin.store import StoreStandIn

from .proxy import Address, LinkMode, Proxy
from .sockets import has_socket, inode_of

HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b")
KEYS_BY_ACCOUNT = {"club": "club-key", "league": "league-key", "hot": "hot-key"}
DOWNTIME_SECONDS = 2.0
"""How long a crashed backend server is down; a draining one serves twice as long."""

STALE_REGISTRATION_SECONDS = 3.0
"""How long the registration of a crashed backend server stays in the store."""


MAX_MEMORY_MB = 128
"""Memory of the platform's smallest machines."""


FIRST_LIBRARY = "_zope_interface_coptimizations"
"""What a process has in its memory from an early import on."""


class InstanceProcess(ProcessProtocol):
    """One instance as a real process.

    ``stopping`` is set once the process was told to end. ``disturbed_at`` has the times
    of its signals and exits, and of the faults of the link to its callers. ``on_start``
    is called once, after the next start.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.name = f"entry-{number}"
        # The metrics port is fixed, so concurrent runs need different addresses.
        self.host = f"127.{1 + os.getpid() % 250}.{fleet.subnet}.{10 + number}"
        self.zone = ZONES[number % len(ZONES)]
        self._fleet = fleet
        self.store_proxy = Proxy(fleet.reactor, HOST, (HOST, fleet.store_port))
        self.front_proxy = Proxy(fleet.reactor, HOST, (self.host, fleet.base_port))
        self.settings = fleet.folder / f"{self.name}.toml"
        self.settings.write_text(
            settings_text(
                name=self.name,
                host=self.host,
                zone=self.zone,
                base_port=fleet.base_port,
                store=self.store_proxy.address,
            )
        )
        self.log = fleet.folder / f"{self.name}.log"
        self.log.unlink(missing_ok=True)
        self.stopping = False
        self.running = False
        self.paused = False
        self.disturbed_at: list[float] = []
        self.on_start: Callable[[], None] = lambda: None
        self._process: Any = None
        self._log_file: Any = None

    def start(self) -> None:
        """Start the process; its output goes to ``log``."""
        self._log_file = self.log.open("ab")
        self.stopping = False
        self.running = True
        environment = {**os.environ, "POMELOGLADE_BOOT": str(self.settings)}
        self._process = self._fleet.reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, "-m", "pomeloglade_platform"],
            env=environment,
            childFDs={0: "w", 1: self._log_file.fileno(), 2: self._log_file.fileno()},
        )
        on_start, self.on_start = self.on_start, lambda: None
        on_start()

    def imports_begun(self) -> bool:
        """Return whether the process has imported a first library."""
        maps = Path(f"/proc/{self._process.pid}/maps").read_text()
        return FIRST_LIBRARY in maps

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        self.disturbed_at.append(self._fleet.reactor.seconds())
        if not self.running:
            return
        self.stopping |= number in (signal.SIGKILL, signal.SIGTERM)
        self.paused = number is signal.SIGSTOP
        self._process.signalProcess(number.value)

    def has_socket(self, inode: int) -> bool:
        """Return whether the process has a socket open."""
        return self.running and has_socket(self._process.pid, inode)

    def peak_memory_mb(self) -> float:
        """Return the largest memory that the process has had since its start."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        (peak,) = (each for each in status.splitlines() if each.startswith("VmHWM"))
        return int(peak.split()[1]) / 1024

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Restart the process after a requested exit; any other is a violation."""
        self.running = self.paused = False
        self.disturbed_at.append(self._fleet.reactor.seconds())
        self._log_file.close()
        if not self.stopping:
            self._fleet.violations.append(
                f"{self.name} ended by itself: {reason.value}"
            )
        elif not self._fleet.closing:
            self._fleet.reactor.callLater(0.5, self.start)


@dataclass(slots=True)
class ServerCut:
    """A time in which some instances had no way to any server."""

    instances: tuple[InstanceProcess, ...]
    mode: LinkMode
    begin: float
    end: float = float("inf")


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A SIGTERM to an instance while no other fault is active, and its time."""

    instance: InstanceProcess
    at: float


class Fleet:
    """Instances, the platform's store and backend servers, connected by proxies.

    ``revoked`` has the account, the time and the old key of each revocation.

    Parameters
    ----------
    folder : Path
        Where the settings and logs of the processes are written.
    """

    def __init__(
        self, reactor: Any, folder: Path, random: Random, *, instances: int
    ) -> None:
        self.reactor = reactor
        self.folder = folder
        self.violations: list[str] = []
        self.ledger = Ledger()
        self.store = StoreStandIn(reactor)
        self.base_port = random.randrange(20_000, 30_000, 3)
        self.subnet = random.randrange(1, 250)
        self.version = 0
        self.keys_by_account = dict(KEYS_BY_ACCOUNT)
        self.revoked: list[tuple[str, float, str]] = []
        self.backends: list[BackendStandIn] = []
        self.backend_proxies: dict[BackendStandIn, Proxy] = {}
        self.instances: list[InstanceProcess] = []
        self.cuts: list[ServerCut] = []
        self.planned_stops: list[PlannedStop] = []
        self._open_cuts: list[ServerCut] = []
        self.closing = False
        self._written: dict[str, bytes] = {}
        self._instance_count = instances
        self._listeners: list[Any] = []

    async def start(self) -> None:
        """Listen, publish the configuration and start the processes."""
        self.store_port = await self._listen(self.store)
        peers: dict[str, BackendStandIn] = {}
        stages = ("prefill", "decode", "decode", "decode", "", "", "")
        for stage in stages:
            service = "llm" if stage else "api"
            backend = BackendStandIn(
                self.reactor, self.ledger, peers, service=service, stage=stage
            )
            port = await self._listen(backend)
            proxy = Proxy(self.reactor, HOST, (HOST, port))
            proxy.mode_of_client = self._cut_mode
            backend.address = proxy.address
            peers[proxy.address] = backend
            backend.on_stage_change = lambda backend=backend: self.register(backend)
            backend.on_crash = lambda backend=backend: self.take_down(backend)
            self.backends.append(backend)
            self.backend_proxies[backend] = proxy
            self.register(backend)
        self.publish()
        for number in range(self._instance_count):
            instance = InstanceProcess(self, number)
            instance.start()
            self.instances.append(instance)

    def cut_from_servers(
        self, instances: list[InstanceProcess], mode: LinkMode
    ) -> "ServerCut":
        """Cut instances from all servers until ``end_cut``."""
        cut = ServerCut(tuple(instances), mode, self.reactor.seconds())
        self.cuts.append(cut)
        self._open_cuts.append(cut)
        self._update_clients()
        return cut

    def end_cut(self, cut: "ServerCut") -> None:
        """Let the cut instances reach the servers again."""
        if cut in self._open_cuts:
            self._open_cuts.remove(cut)
            cut.end = self.reactor.seconds()
            self._update_clients()

    def _update_clients(self) -> None:
        for proxy in self.backend_proxies.values():
            proxy.update_clients()

    def _cut_mode(self, client: Address, server: Address) -> LinkMode | None:
        """Return what a cut does to a connection of an instance to a server."""
        inode = inode_of(client, server) if self._open_cuts else None
        for cut in self._open_cuts if inode else ():
            if any(each.has_socket(inode) for each in cut.instances):
                return cut.mode
        return None

    async def stop(self) -> None:
        """Kill the processes started here and stop listening."""
        self.closing = True
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
            instance.front_proxy.stop()
            instance.store_proxy.stop()
        for proxy in self.backend_proxies.values():
            proxy.stop()
        for listener in self._listeners:
            await listener.stopListening()

    def check_memory(self) -> float:
        """Return the largest peak memory of the running processes, in MB.

        Each that had too much is a violation.
        """
        peaks = {
            each.name: each.peak_memory_mb() for each in self.instances if each.running
        }
        self.violations += [
            f"{name} had {peak:.0f} MB"
            for name, peak in peaks.items()
            if peak > MAX_MEMORY_MB
        ]
        return max(peaks.values(), default=0.0)

    def register(self, backend: BackendStandIn, *, draining: bool = False) -> None:
        """Write a backend server's registration."""
        zone = ZONES[self.backends.index(backend) % len(ZONES)]
        self.ledger.zone_by_server[backend.id] = zone
        registration = backend.registration(zone, draining=draining)
        self._write(servers.PREFIX + backend.id, registration)

    def unregister(self, server: str) -> None:
        """Remove a registration."""
        key = servers.PREFIX + server
        self._written.pop(key, None)
        self.store.key_values.delete(key)

    def restore_store(self, copy: StoreCopy) -> None:
        """Return the store from a copy; operator and servers write theirs again.

        Registrations of servers that have left since lapse a short time later. Zones
        that have returned to use since are removed again.
        """
        self.store.key_values.restore(copy)
        for key, value in self._written.items():
            self.store.key_values.put(key, value)
        for entry in copy.entries:
            if entry.key.startswith(servers.EVACUATIONS_PREFIX) and (
                entry.key not in self._written
            ):
                self.store.key_values.delete(entry.key)
            if entry.key.startswith(servers.PREFIX) and entry.key not in self._written:
                server = entry.key.removeprefix(servers.PREFIX)
                self.reactor.callLater(
                    STALE_REGISTRATION_SECONDS, self.unregister, server
                )

    def _write(self, key: str, value: bytes) -> None:
        self._written[key] = value
        self.store.key_values.put(key, value)

    def evacuate(self, zone: str) -> Evacuation:
        """Take the servers of a zone out of use until ``end_evacuation``."""
        self._write(servers.EVACUATIONS_PREFIX + zone, b"{}")
        evacuation = Evacuation(zone, self.reactor.seconds())
        self.ledger.evacuations.append(evacuation)
        return evacuation

    def end_evacuation(self, evacuation: Evacuation) -> None:
        """Return the servers of a zone to use."""
        evacuation.end = self.reactor.seconds()
        key = servers.EVACUATIONS_PREFIX + evacuation.zone
        self._written.pop(key, None)
        self.store.key_values.delete(key)

    def crash(self, backend: BackendStandIn) -> None:
        """Restart a backend server; its old registration is removed only later."""
        old = backend.id
        backend.restart()
        self.reactor.callLater(STALE_REGISTRATION_SECONDS, self.unregister, old)
        self.reactor.callLater(DOWNTIME_SECONDS, self.register, backend)

    def take_down(self, backend: BackendStandIn) -> None:
        """Restart a backend server whose port refuses connections meanwhile.

        Several requests may crash it at the same time.
        """
        proxy = self.backend_proxies[backend]
        if not proxy.listening:
            return
        proxy.stop()
        self.crash(backend)
        self.reactor.callLater(DOWNTIME_SECONDS, proxy.resume)

    def cool_down(self, backend: BackendStandIn, seconds: float) -> None:
        """Let a registered backend server become cold, or warm after 0 seconds."""
        if not seconds and not backend.cold_seconds():
            return
        backend.become_cold(seconds)
        key = servers.PREFIX + backend.id
        registration = json.loads(self._written.get(key, b"{}"))
        if registration.get("state") == "ready":
            self.register(backend)

    def replace(self, backend: BackendStandIn) -> None:
        """Drain a backend server, then replace it under a new id."""

        def finish() -> None:
            self.unregister(backend.id)
            backend.restart()
            self.register(backend)

        self.register(backend, draining=True)
        self.reactor.callLater(2 * DOWNTIME_SECONDS, finish)

    def release(self, version: str) -> None:
        """Replace all engines by those of a software version, at the same time."""
        for backend in self.backends:
            if backend.stage:
                self.unregister(backend.id)
                backend.restart(version)
                self.register(backend)

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        value = configuration(self.version, self.keys_by_account)
        self._write(wire_configuration.KEY, value)

    def revoke(self, account: str) -> None:
        """Replace an account's key by a new one."""
        old = self.keys_by_account[account]
        self.keys_by_account[account] = f"{account}-key-{self.version + 1}"
        self.publish()
        self.revoked.append((account, self.reactor.seconds(), old))

    async def _listen(self, stand_in: Any) -> int:
        endpoint = TCP4ServerEndpoint(self.reactor, 0, interface=HOST)
        listener = await endpoint.listen(Site(stand_in.app.resource()))
        self._listeners.append(listener)
        return listener.getHost().port
