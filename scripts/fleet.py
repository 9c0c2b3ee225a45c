"""Starts a fleet of real processes on loopback for the demo, tests and load runs."""

import base64
import json
import os
import queue
import signal
import subprocess
import sys
import threading
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

HOST = "127.0.0.1"
PEER_SECRET = "a-secret-of-the-loopback-fleet"
EVENT_TIMEOUT_SECONDS = 60.0
"""Time without a log line or response after which a process counts as hung."""


class ProcessEndedError(Exception):
    """A process ended or hung before it logged an expected event."""


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        """The body as JSON."""
        return json.loads(self.body)


def call(
    port: int,
    path: str,
    *,
    key: str = "",
    body: bytes | None = None,
    method: str = "",
    headers: dict[str, str] | None = None,
    timeout: float = EVENT_TIMEOUT_SECONDS,
) -> Response:
    """Send one HTTP request to a process of the fleet."""
    request_headers = dict(headers or {})
    if key:
        request_headers["Authorization"] = f"Bearer {key}"
    verb = method or ("GET" if body is None else "POST")
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}", data=body, headers=request_headers, method=verb
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Response(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Response(error.code, dict(error.headers), error.read())


@dataclass(slots=True)
class Process:
    """A child process and the log lines that it has written."""

    name: str
    popen: subprocess.Popen
    lines: "queue.Queue[dict | None]" = field(default_factory=queue.Queue)

    def wait_for(self, message_type: str, **fields: object) -> dict:
        """Return the next log line of this type with these fields; skip others."""
        while True:
            try:
                line = self.lines.get(timeout=EVENT_TIMEOUT_SECONDS)
            except queue.Empty:
                line = None
            if line is None:
                raise ProcessEndedError(
                    f"{self.name} ended or hung before {message_type!r}"
                )
            if line.get("message_type") == message_type and all(
                line.get(name) == value for name, value in fields.items()
            ):
                return line

    def collect_lines(self) -> None:
        """Queue the process's JSON log lines until it closes its output."""
        for text in self.popen.stdout:
            try:
                self.lines.put(json.loads(text))
            except json.JSONDecodeError:
                continue
        self.lines.put(None)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Kill the process if it is still running and return its exit code."""
        if self.popen.poll() is None:
            self.popen.kill()
        return self.popen.wait()


@dataclass(slots=True)
class Instance:
    """A running instance and its ports."""

    process: Process
    port: int
    peer_port: int
    availability_zone: str


class Fleet:
    """Starts processes and, as a context manager, stops them all on exit."""

    def __init__(self) -> None:
        self.processes: list[Process] = []
        self.instances_by_name: dict[str, Instance] = {}
        self.platform_port = 0

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exception: object) -> None:
        for process in self.processes:
            process.stop()

    def start(self, name: str, *arguments: str) -> Process:
        """Start ``python -m`` with these arguments and collect its log lines."""
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
            text=True,
        )
        process = Process(name, popen)
        self.processes.append(process)
        threading.Thread(target=process.collect_lines, daemon=True).start()
        return process

    def start_stand_in(self, name: str, *arguments: str) -> tuple[Process, int]:
        """Start a stand-in and return its process and port."""
        process = self.start(name, "pomeloglade_standins", *arguments)
        return process, process.wait_for("stand-in:listening")["port"]

    def start_platform(self) -> Process:
        """Start the key-value service."""
        process, self.platform_port = self.start_stand_in("platform", "platform")
        return process

    @property
    def platform_url(self) -> str:
        """URL of the key-value service."""
        return f"http://{HOST}:{self.platform_port}"

    def launch_instance(self, name: str, zone: str, *arguments: str) -> Process:
        """Start an instance without waiting until it listens."""
        return self.start(
            name,
            "pomeloglade.pomelogladed",
            f"--instance={name}",
            f"--availability-zone={zone}",
            f"--platform-url={self.platform_url}",
            f"--peer-secret={PEER_SECRET}",
            "--listen-port=0",
            "--peer-port=0",
            *arguments,
        )

    def start_instance(self, name: str, zone: str, *arguments: str) -> Instance:
        """Start an instance, wait until it listens, and register it."""
        process = self.launch_instance(name, zone, *arguments)
        return self.wait_and_register(name, zone, process)

    def wait_and_register(self, name: str, zone: str, process: Process) -> Instance:
        """Wait until a launched instance listens, then register it."""
        line = process.wait_for("pomeloglade:listening")
        instance = Instance(process, line["port"], line["peer_port"], zone)
        self.instances_by_name[name] = instance
        self.register_instance(name, "live")
        return instance

    def register_instance(self, name: str, state: str) -> None:
        """Write an instance's entry to the instance list, as the platform does."""
        instance = self.instances_by_name[name]
        value = {
            "instance": name,
            "availability_zone": instance.availability_zone,
            "address": f"{HOST}:{instance.port}",
            "peer_address": f"{HOST}:{instance.peer_port}",
            "state": state,
        }
        self.put(f"instances/{name}", json.dumps(value).encode())

    def put(self, key: str, value: bytes) -> None:
        """Write a value to the key-value service on behalf of the platform."""
        body = {"value": base64.b64encode(value).decode()}
        response = call(
            self.platform_port,
            f"/v1/keys/{key}",
            body=json.dumps(body).encode(),
            method="PUT",
        )
        if response.status != 200:
            raise RuntimeError(
                f"PUT of key {key!r} failed with status {response.status}"
            )

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command-line tool."""
        return subprocess.run(
            [sys.executable, "-m", "pomeloglade.cli", *arguments],
            env={**os.environ, "POMELOGLADE_PLATFORM_URL": self.platform_url},
            capture_output=True,
            text=True,
            timeout=EVENT_TIMEOUT_SECONDS,
        )


def write_backend_override(addresses_by_name: dict[str, str], path: Path) -> None:
    """Write a TOML file that sets the addresses of backend servers."""
    tables = [
        f'[backend_servers.{name}]\naddress = "{address}"\n'
        for name, address in addresses_by_name.items()
    ]
    path.write_text("\n".join(tables))
