"""Starts a small fleet of real processes on loopback, for the demo and the tests."""

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
EVENT_SECONDS = 60.0
"""Bound on the wait for an event of a process, after which it counts as hung."""


class ProcessEndedError(Exception):
    """A process ended, or hung, before the event that was waited for."""


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP answer."""

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
    timeout: float = EVENT_SECONDS,
) -> Response:
    """Make one HTTP call to a process of the fleet."""
    sent = dict(headers or {})
    if key:
        sent["Authorization"] = f"Bearer {key}"
    verb = method or ("GET" if body is None else "POST")
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}", data=body, headers=sent, method=verb
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return Response(answer.status, dict(answer.headers), answer.read())
    except urllib.error.HTTPError as error:
        return Response(error.code, dict(error.headers), error.read())


@dataclass(slots=True)
class Process:
    """One started process and the log lines that it has written."""

    name: str
    popen: subprocess.Popen
    lines: "queue.Queue[dict | None]" = field(default_factory=queue.Queue)

    def wait_for(self, message_type: str, **fields: object) -> dict:
        """Return the next log line of this type with these fields."""
        while True:
            try:
                line = self.lines.get(timeout=EVENT_SECONDS)
            except queue.Empty:
                line = None
            if line is None:
                raise ProcessEndedError(f"{self.name} ended before {message_type!r}")
            if line.get("message_type") == message_type and all(
                line.get(name) == value for name, value in fields.items()
            ):
                return line

    def read(self) -> None:
        """Collect log lines until the process closes its output."""
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
        """Kill the process if it runs and return its exit code."""
        if self.popen.poll() is None:
            self.popen.kill()
        return self.popen.wait()


@dataclass(slots=True)
class Instance:
    """A running entry instance."""

    process: Process
    port: int
    peer_port: int
    availability_zone: str


class Fleet:
    """Starts processes and stops them all at the end.

    Use it as a context manager.
    """

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
        """Start ``python -m`` with these arguments."""
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
            text=True,
        )
        process = Process(name, popen)
        self.processes.append(process)
        threading.Thread(target=process.read, daemon=True).start()
        return process

    def start_stand_in(self, name: str, *arguments: str) -> tuple[Process, int]:
        """Start a stand-in and return it with its port."""
        process = self.start(name, "pomeloglade_standins", *arguments)
        return process, process.wait_for("stand-in:listening")["port"]

    def start_platform(self) -> Process:
        """Start the key-value service."""
        process, self.platform_port = self.start_stand_in("platform", "platform")
        return process

    @property
    def platform_url(self) -> str:
        """Address of the key-value service."""
        return f"http://{HOST}:{self.platform_port}"

    def launch_instance(self, name: str, zone: str, *arguments: str) -> Process:
        """Start an entry instance without waiting for it."""
        return self.start(
            name,
            "pomeloglade.daemon",
            f"--instance={name}",
            f"--availability-zone={zone}",
            f"--platform-url={self.platform_url}",
            f"--peer-secret={PEER_SECRET}",
            "--listen-port=0",
            "--peer-port=0",
            *arguments,
        )

    def start_instance(self, name: str, zone: str, *arguments: str) -> Instance:
        """Start an entry instance and put it on the platform's list."""
        process = self.launch_instance(name, zone, *arguments)
        return self.adopt_instance(name, zone, process)

    def adopt_instance(self, name: str, zone: str, process: Process) -> Instance:
        """Wait until a launched instance listens and list it."""
        line = process.wait_for("pomeloglade:listening")
        found = Instance(process, line["port"], line["peer_port"], zone)
        self.instances_by_name[name] = found
        self.list_instance(name, "live")
        return found

    def list_instance(self, name: str, state: str) -> None:
        """Put an instance on the platform's list, as the platform would."""
        found = self.instances_by_name[name]
        value = {
            "instance": name,
            "availability_zone": found.availability_zone,
            "address": f"{HOST}:{found.port}",
            "peer_address": f"{HOST}:{found.peer_port}",
            "state": state,
        }
        self.put(f"instances/{name}", json.dumps(value).encode())

    def put(self, key: str, value: bytes) -> None:
        """Write a value as the platform itself."""
        body = {"value": base64.b64encode(value).decode()}
        answer = call(
            self.platform_port,
            f"/v1/keys/{key}",
            body=json.dumps(body).encode(),
            method="PUT",
        )
        if answer.status != 200:
            raise RuntimeError(f"put of {key!r} answered {answer.status}")

    def operate(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command line."""
        return subprocess.run(
            [sys.executable, "-m", "pomeloglade.cli", *arguments],
            env={**os.environ, "POMELOGLADE_PLATFORM_URL": self.platform_url},
            capture_output=True,
            text=True,
            timeout=EVENT_SECONDS,
        )


def backend_override(addresses_by_name: dict[str, str], path: Path) -> None:
    """Write a TOML file that sets the addresses of backend servers."""
    parts = [
        f'[backend_servers.{name}]\naddress = "{address}"\n'
        for name, address in addresses_by_name.items()
    ]
    path.write_text("\n".join(parts))
