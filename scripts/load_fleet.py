"""A fleet of real processes for load tests, with a large budget and fast engines."""

import json
import random
import signal
import threading
import time
from dataclasses import replace
from datetime import timedelta
from functools import cached_property
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.threads import blockingCallFromThread

from pomeloglade.protocol.deployment import PublishedDeployment
from pomeloglade.state.deployment import (
    BackendServer,
    ClientAccount,
    Deployment,
    FleetInstance,
    Model,
    Route,
)
from pomeloglade.state.keys import digest_key
from pomeloglade.transport.key_value import open_key_value_store
from pomeloglade_coordination.configuration_shards import ShardedConfiguration
from scripts.fleet import HOST, Fleet, Process, call

DAEMON_MODULE = "pomeloglade.pomelogladed"
KEY = "load-key"
ACCOUNT = "load"
ZONES = ("zone-a", "zone-b", "zone-c")
ENGINE_SLOTS = 400
MEMORY_PIECES = 1_000_000
RATE_TOKENS_PER_SECOND = 5_000_000
BURST_TOKENS = 10_000_000
OTHER_RATE_TOKENS_PER_SECOND = 100
OTHER_BURST_TOKENS = 1_000
FIRST_TOKEN_TARGET = timedelta(seconds=5)
ENGINE_SPEED = ("--decode-us=200", "--prefill-us=1")
PUBLISH_TIMEOUT = timedelta(seconds=10)
MAX_READY_POLLS = 300
READY_POLL_SECONDS = 0.1


class NotReadyError(Exception):
    """An instance did not answer with 200 within ``MAX_READY_POLLS`` polls."""


class LoadFleet(Fleet):
    """Instances over three zones with engines and one plain service.

    With a ``profile`` folder every instance runs under cProfile and leaves
    ``NAME.prof`` there once it is shut down by ``stop_gracefully``.
    """

    def __init__(
        self,
        instances: int,
        prefill_engines: int = 0,
        decode_engines: int = 0,
        profile: Path | None = None,
    ) -> None:
        super().__init__()
        self.zone_by_instance = {
            f"i{number}": ZONES[number % len(ZONES)] for number in range(instances)
        }
        self.role_by_engine = {
            **{f"p{number}": "prefill" for number in range(prefill_engines)},
            **{f"d{number}": "decode" for number in range(decode_engines)},
        }
        self.profile = profile
        self._random = random.Random(1)
        self._publish_count = 0
        self._revision = 0

    def start(self, name: str, *arguments: str) -> Process:
        """Start ``python -m``; run an instance under cProfile if ``profile`` is set."""
        if self.profile is not None and arguments[0] == DAEMON_MODULE:
            output = str(self.profile / f"{name}.prof")
            arguments = ("cProfile", "-o", output, "-m", *arguments)
        return super().start(name, *arguments)

    def start_all(self) -> "LoadFleet":
        """Start all processes and wait until every instance answers a call."""
        self.start_platform()
        launched = {
            name: self.start(
                name,
                "pomeloglade_standins",
                "engine",
                f"--slots={ENGINE_SLOTS}",
                f"--pieces={MEMORY_PIECES}",
                *ENGINE_SPEED,
            )
            for name in self.role_by_engine
        }
        launched["s1"] = self.start("s1", "pomeloglade_standins", "plain")
        instances = {
            name: self.launch_instance(name, zone)
            for name, zone in self.zone_by_instance.items()
        }
        self.ports = {
            name: process.wait_for("stand-in:listening")["port"]
            for name, process in launched.items()
        }
        for name, process in instances.items():
            self.wait_and_register(name, self.zone_by_instance[name], process)
        self.publish(0)
        for name in instances:
            self._wait_until_ready(name)
        return self

    def publish(self, other_accounts: int) -> int:
        """Put a configuration in force everywhere; return its size in bytes.

        It holds the account of the load's callers and ``other_accounts`` others.
        """
        self._publish_count += 1
        deployment = self._deployment(other_accounts)
        published = PublishedDeployment(f"load-{self._publish_count}", deployment)
        value = msgspec.json.encode(published, order="deterministic")
        self._revision = blockingCallFromThread(
            self._reactor, self._publish_sharded, value
        )
        for instance in self.instances_by_name.values():
            instance.process.wait_for("pomeloglade:in_force", revision=self._revision)
        return len(value)

    def pids(self) -> dict[str, int]:
        """Return the process id of each instance."""
        return {
            name: instance.process.popen.pid
            for name, instance in self.instances_by_name.items()
        }

    def instance_ports(self) -> list[int]:
        """Return the ports for callers, in the order of the instances' names."""
        return [each.port for _, each in sorted(self.instances_by_name.items())]

    def platform_calls(self) -> dict[str, int]:
        """Return the number of calls of each operation of the platform."""
        return call(self.platform_port, "/counters").json["calls_by_operation"]

    def stop_gracefully(self) -> None:
        """Shut all instances down gracefully, so that profiles are written."""
        for name, instance in self.instances_by_name.items():
            instance.process.signal(signal.SIGTERM)
            self.register_instance(name, "leaving")
        for instance in self.instances_by_name.values():
            instance.process.wait_for("pomeloglade:stopped")
            instance.process.popen.wait()

    @cached_property
    def _reactor(self) -> Any:
        thread = threading.Thread(
            target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
        )
        thread.start()
        return reactor

    @inlineCallbacks
    def _publish_sharded(self, value: bytes) -> Any:
        store = open_key_value_store(
            reactor, self.platform_url, timeout=PUBLISH_TIMEOUT, name="load"
        )
        configuration = ShardedConfiguration(store, self._random)
        revision = yield configuration.publish(value, self._revision)
        return revision

    def _wait_until_ready(self, name: str) -> None:
        port = self.instances_by_name[name].port
        for _ in range(MAX_READY_POLLS):
            if call(port, "/roster/x", key=KEY).status == 200:
                return
            time.sleep(READY_POLL_SECONDS)
        raise NotReadyError(
            f"instance {name} never answered 200 in {MAX_READY_POLLS} polls"
        )

    def _deployment(self, other_accounts: int) -> Deployment:
        servers = [
            self._server(name, "llm", role)
            for name, role in self.role_by_engine.items()
        ]
        servers.append(self._server("s1", "api", "plain"))
        routes = [
            Route("models", "/v1", "model", "llm", patient=True),
            Route("lookups", "/roster", "plain", "api"),
        ]
        routes = [replace(route, first_token=FIRST_TOKEN_TARGET) for route in routes]
        return Deployment(
            availability_zones=ZONES,
            instances_by_name={
                name: FleetInstance(name, zone)
                for name, zone in self.zone_by_instance.items()
            },
            accounts_by_name=_accounts(other_accounts),
            routes_by_name={route.name: route for route in routes},
            backend_servers_by_name={server.name: server for server in servers},
            models_by_name={"m": Model("m", "llm")},
        )

    def _server(self, name: str, pool: str, role: Any) -> BackendServer:
        address = f"{HOST}:{self.ports[name]}"
        return BackendServer(name, ZONES[0], address, pool, role, slots=ENGINE_SLOTS)


def _accounts(others: int) -> dict[str, ClientAccount]:
    accounts = {
        ACCOUNT: ClientAccount(
            ACCOUNT,
            RATE_TOKENS_PER_SECOND,
            BURST_TOKENS,
            key_digests={"main": digest_key(KEY)},
        )
    }
    for number in range(others):
        name = f"account-{number:05d}"
        accounts[name] = ClientAccount(
            name,
            OTHER_RATE_TOKENS_PER_SECOND,
            OTHER_BURST_TOKENS,
            key_digests={"main": digest_key(name)},
        )
    return accounts


def stream_body(name: str) -> bytes:
    """Return the body of a streamed model call of eight tokens; ``name`` is in it."""
    words = "two three four five six seven eight. The rest is left out."
    prompt = f"Report-{name} {words}"
    body = {"model": "m", "prompt": prompt, "max_tokens": 8, "stream": True}
    return json.dumps(body).encode()
