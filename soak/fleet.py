"""The processes under test and the stand-ins around them."""

import json
import os
import signal
import sys
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import ProcessProtocol
from twisted.web.server import Site

from pomeloglade_platform_standin.backend import BackendStandIn, Ledger
from pomeloglade_platform_standin.store import StoreStandIn

from .proxy import Proxy

HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b")
REVOKE_SECONDS = 5.0
GRACE_SECONDS = 4.0
USAGE_WINDOW_SECONDS = 8.0
USAGE_SLACK = 15_000
BUDGET_RATIO, BUDGET_WINDOW_SECONDS, BUDGET_SLACK = 0.2, 10.0, 60
KEYS_BY_ACCOUNT = {"club": "club-key", "league": "league-key", "hot": "hot-key"}
HOT_RATE, HOT_BURST = 6_000.0, 6_000.0
"""Tokens; the account hot asks for some four times as much."""

LEAVE_SECONDS = 2.0
"""How long a crashed backend server is away, and half of a draining one's service."""

LISTING_LAG_SECONDS = 3.0
"""How long a crashed backend server's registration outlives it."""

SETTINGS = """\
nodeName = "{name}"
ip = "{host}"
zone = "{zone}"
internalPorts = [{peer}, {peer}]
listen = {{ front = "{host}:{front}", ready = "{host}:{ready}" }}
platform = {{ address = "{store}" }}

[bounds]
drainMs = 2000
graceS = {grace}
configApplyMs = 2000
revokeMs = {revoke}
strictRevoke = true
retryBudgetRatio = {ratio}
budgetWindowS = {window}
budgetSlack = {slack}
quotaWindowS = {usage_window}
quotaSlack = {usage_slack}
transitMs = 100
leaseMs = 1000
"""


def settings_text(
    *, name: str, host: str, zone: str, base_port: int, store: str
) -> str:
    """Return an instance's settings file; it uses three ports from ``base_port`` on."""
    return SETTINGS.format(
        name=name,
        host=host,
        zone=zone,
        front=base_port,
        ready=base_port + 1,
        peer=base_port + 2,
        store=store,
        grace=GRACE_SECONDS,
        revoke=int(REVOKE_SECONDS * 1000),
        ratio=BUDGET_RATIO,
        window=int(BUDGET_WINDOW_SECONDS),
        slack=BUDGET_SLACK,
        usage_window=int(USAGE_WINDOW_SECONDS),
        usage_slack=USAGE_SLACK,
    )


def configuration(version: int, keys_by_account: dict[str, str]) -> bytes:
    """Return the operator's configuration with these keys in force."""
    routes = [
        ("lookups", "/lookups/", "safe", "api", {"maxAttempts": 2}),
        ("bookings", "/bookings/", "unsafe", "api", {"maxAttempts": 2}),
        ("digests", "/digests/", "streaming", "llm", {}),
        (
            "reports",
            "/reports/",
            "streaming",
            "llm",
            {"maxAttempts": 2, "resumable": True},
        ),
    ]
    limits = {"hot": {"ratePerS": HOT_RATE, "burst": HOT_BURST}}
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": "api.example",
                    "prefix": prefix,
                    "kind": kind,
                    "service": service,
                    "timeoutMs": 4000,
                    "targetLatencyMs": 600,
                    "gapAimMs": 300,
                    **options,
                }
                for name, prefix, kind, service, options in routes
            ],
            "services": [
                {"name": "api", "maxConns": 100},
                {
                    "name": "llm",
                    "maxConns": 100,
                    "engine": {
                        "slots": 8,
                        "kvCapacityTokens": 100_000,
                        "handleTtlS": 0.5,
                    },
                },
            ],
            "tenants": [
                {
                    "name": account,
                    "apiKeys": [key] if key else [],
                    "unit": "tokens",
                    "plainTokens": 200,
                    **limits.get(account, {}),
                }
                for account, key in keys_by_account.items()
            ],
        }
    ).encode()


class InstanceProcess(ProcessProtocol):
    """One instance as a real process.

    ``stopping`` tells whether its end is due, and ``disturbed_at`` has the instants of
    signals, ends and changes of its callers' link.
    """

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.name = f"entry-{number}"
        # The metrics port is fixed, so that runs beside this one need other hosts.
        self.host = f"127.{1 + os.getpid() % 250}.{fleet.subnet}.{10 + number}"
        self.zone = ZONES[number % len(ZONES)]
        self._fleet = fleet
        self.to_store = Proxy(fleet.reactor, HOST, (HOST, fleet.store_port))
        self.to_front = Proxy(fleet.reactor, HOST, (self.host, fleet.base_port))
        self._settings = fleet.folder / f"{self.name}.toml"
        self._settings.write_text(
            settings_text(
                name=self.name,
                host=self.host,
                zone=self.zone,
                base_port=fleet.base_port,
                store=self.to_store.address,
            )
        )
        self.log = fleet.folder / f"{self.name}.log"
        self.log.unlink(missing_ok=True)
        self.stopping = False
        self.running = False
        self.frozen = False
        self.disturbed_at: list[float] = []
        self._process: Any = None
        self._log_file: Any = None

    def start(self) -> None:
        """Start the process; its output goes to ``log``."""
        self._log_file = self.log.open("ab")
        self.stopping = False
        self.running = True
        environment = {**os.environ, "POMELOGLADE_BOOT": str(self._settings)}
        self._process = self._fleet.reactor.spawnProcess(
            self,
            sys.executable,
            [sys.executable, "-m", "pomeloglade_platform"],
            env=environment,
            childFDs={0: "w", 1: self._log_file.fileno(), 2: self._log_file.fileno()},
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        self.disturbed_at.append(self._fleet.reactor.seconds())
        if not self.running:
            return
        self.stopping |= number in (signal.SIGKILL, signal.SIGTERM)
        self.frozen = number is signal.SIGSTOP
        self._process.signalProcess(number.value)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Note the end; one that nobody asked for breaks a promise."""
        self.running = self.frozen = False
        self.disturbed_at.append(self._fleet.reactor.seconds())
        self._log_file.close()
        if not self.stopping:
            self._fleet.broken.append(f"{self.name} ended by itself: {reason.value}")
        elif not self._fleet.closing:
            self._fleet.reactor.callLater(0.5, self.start)


class Fleet:
    """Instances, the platform's store and backend servers, joined by proxies.

    Parameters
    ----------
    folder : Path
        Takes settings and logs of the processes.
    """

    def __init__(
        self, reactor: Any, folder: Path, random: Random, *, instances: int
    ) -> None:
        self.reactor = reactor
        self.folder = folder
        self.broken: list[str] = []
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
        self.closing = False
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
            backend.address = proxy.address
            peers[proxy.address] = backend
            backend.on_change = lambda backend=backend: self.register(backend)
            self.backends.append(backend)
            self.backend_proxies[backend] = proxy
            self.register(backend)
        self.publish()
        for number in range(self._instance_count):
            instance = InstanceProcess(self, number)
            instance.start()
            self.instances.append(instance)

    async def stop(self) -> None:
        """End the processes that were started here, and stop listening."""
        self.closing = True
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
            instance.to_front.stop()
            instance.to_store.stop()
        for proxy in self.backend_proxies.values():
            proxy.stop()
        for listener in self._listeners:
            await listener.stopListening()

    def register(self, backend: BackendStandIn, *, draining: bool = False) -> None:
        """Write a backend server's registration."""
        zone = ZONES[self.backends.index(backend) % len(ZONES)]
        entry = backend.entry(zone, draining=draining)
        self.store.items.put(f"servers/{backend.id}", entry)

    def unregister(self, server: str) -> None:
        """Remove a registration."""
        self.store.items.delete(f"servers/{server}")

    def crash(self, backend: BackendStandIn) -> None:
        """Restart a backend server; its old registration stays for a while."""
        old = backend.id
        backend.restart()
        self.reactor.callLater(LISTING_LAG_SECONDS, self.unregister, old)
        self.reactor.callLater(LEAVE_SECONDS, self.register, backend)

    def replace(self, backend: BackendStandIn) -> None:
        """Drain a backend server, then replace it under a new id."""

        def leave() -> None:
            self.unregister(backend.id)
            backend.restart()
            self.register(backend)

        self.register(backend, draining=True)
        self.reactor.callLater(2 * LEAVE_SECONDS, leave)

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        value = configuration(self.version, self.keys_by_account)
        self.store.items.put("op/config", value)

    def revoke(self, account: str) -> None:
        """Take an account's key away and give it a new one."""
        old = self.keys_by_account[account]
        self.keys_by_account[account] = f"{account}-key-{self.version + 1}"
        self.publish()
        self.revoked.append((account, self.reactor.seconds(), old))

    async def _listen(self, served: Any) -> int:
        endpoint = TCP4ServerEndpoint(self.reactor, 0, interface=HOST)
        listener = await endpoint.listen(Site(served.app.resource()))
        self._listeners.append(listener)
        return listener.getHost().port
