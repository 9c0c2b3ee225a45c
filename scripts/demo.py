"""Demo on stand-ins: streams a summary, makes a lookup and books an appointment."""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from scripts.fleet import HOST, Fleet, Process, Response, call, write_backend_override

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = ROOT / "examples" / "halvorsen"
REPORT = ROOT / "examples" / "match-report.txt"
ACCOUNT = "assessors-panel"
ENGINES = {
    "assessor-llm-prefill-1": "nordvik-a",
    "assessor-llm-prefill-2": "nordvik-b",
    "assessor-llm-decode-1": "nordvik-a",
    "assessor-llm-decode-2": "nordvik-b",
    "assessor-llm-decode-3": "nordvik-c",
    "assessor-llm-decode-4": "nordvik-a",
}
SERVICES = ("roster-api-1", "roster-api-2", "roster-api-3")
INSTANCES = {
    f"entry-{zone}-{number}": zone
    for zone in ("nordvik-a", "nordvik-b", "nordvik-c")
    for number in (1, 2)
}
MAX_ATTEMPTS = 20
"""Attempts of a refused call; after a start the shares of all accounts are empty."""


def start_fleet(fleet: Fleet, folder: Path) -> None:
    """Start stand-ins and instances, and publish the example configuration."""
    fleet.start_platform()
    addresses = start_backend_servers(fleet)
    copy_example(folder, addresses)
    launched = {
        name: fleet.launch_instance(name, zone) for name, zone in INSTANCES.items()
    }
    for name, process in launched.items():
        fleet.wait_and_register(name, INSTANCES[name], process)
    run_cli(fleet, "publish", str(folder))


def start_backend_servers(fleet: Fleet) -> dict[str, str]:
    """Start all engines and plain services; return their addresses by name."""
    launched = {
        name: fleet.start(name, "pomeloglade_standins", "engine") for name in ENGINES
    }
    for name in SERVICES:
        launched[name] = fleet.start(
            name, "pomeloglade_standins", "plain", f"--name={name}"
        )
    return {name: address_of(process) for name, process in launched.items()}


def address_of(process: Process) -> str:
    """Wait until a stand-in listens and return its address."""
    return f"{HOST}:{process.wait_for('stand-in:listening')['port']}"


def copy_example(folder: Path, addresses: dict[str, str]) -> None:
    """Copy the example configuration and add a file with the stand-ins' addresses."""
    for source in sorted(EXAMPLE.glob("*.toml")):
        (folder / source.name).write_text(source.read_text())
    write_backend_override(addresses, folder / "90-stand-ins.toml")


def run_cli(fleet: Fleet, *arguments: str) -> str:
    """Print and run a command of the operators' tool; return its output."""
    show(f"$ pomeloglade {' '.join(arguments)}")
    completed = fleet.run_cli(*arguments)
    if completed.returncode != 0:
        raise SystemExit(f"{arguments} failed: {completed.stdout}{completed.stderr}")
    return completed.stdout


def show(text: str) -> None:
    """Print one line of the demo."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def call_with_retries(port: int, path: str, **options: Any) -> Response:
    """Make a call; retry it, up to a limit, while the response has ``Retry-After``."""
    for _ in range(MAX_ATTEMPTS):
        answer = call(port, path, **options)
        wait = answer.headers.get("Retry-After")
        if wait is None:
            return answer
        show(f"{path}: {answer.json['error']['reason']}, again in {wait} s")
        time.sleep(float(wait))
    return answer


def summarise(port: int, key: str) -> None:
    """Stream the summary of a long match report."""
    body = {
        "model": "assessor-llm",
        "prompt": REPORT.read_text(),
        "max_tokens": 400,
        "stream": True,
    }
    answer = call_with_retries(
        port, "/v1/completions", key=key, body=json.dumps(body).encode()
    )
    events = [line[6:] for line in answer.body.decode().splitlines() if line]
    if answer.status != 200 or events[-1] != "[DONE]":
        raise SystemExit(f"summary: {answer.status} {answer.body!r}")
    chunks = [json.loads(event)["choices"][0]["text"] for event in events[:-1]]
    show(f"summary in {len(chunks)} events: {''.join(chunks)[:200]}…")


def look_up(port: int, key: str) -> None:
    """Make a lookup in the roster."""
    answer = call_with_retries(port, "/roster/grounds/eastfield?round=12", key=key)
    if answer.status != 200:
        raise SystemExit(f"lookup: {answer.status} {answer.body!r}")
    show(f"lookup: {answer.body.decode()}")


def book_once_through_all(ports: list[int], key: str) -> None:
    """Send one booking through every instance; it must run only once."""
    headers = {"Idempotency-Key": "round-12-eastfield-referee"}
    body = b'{"official": "A. Lindqvist", "ground": "eastfield"}'
    for port in ports:
        answer = call_with_retries(
            port, "/bookings/appointments", key=key, body=body, headers=headers
        )
        if answer.status != 201 or answer.json["runs"] != 1:
            raise SystemExit(f"booking: {answer.status} {answer.body!r}")
        replayed = answer.headers.get("Idempotent-Replayed", "false")
        show(f"booking: {answer.body.decode()} replayed={replayed}")


def main() -> None:
    """Run the demo and stop everything that it started."""
    with Fleet() as fleet, tempfile.TemporaryDirectory() as folder:
        start_fleet(fleet, Path(folder))
        key = run_cli(fleet, "keys", "create", ACCOUNT, "demo").splitlines()[0]
        instances = list(fleet.instances_by_name.values())
        for instance in instances:
            instance.process.wait_for("pomeloglade:in_force")
        wait_for_key(fleet)
        ports = [instance.port for instance in instances]
        summarise(ports[0], key)
        look_up(ports[1], key)
        book_once_through_all(ports, key)


def wait_for_key(fleet: Fleet) -> None:
    """Wait until every instance applied the revision with the new API key."""
    for instance in fleet.instances_by_name.values():
        instance.process.wait_for("pomeloglade:in_force")


if __name__ == "__main__":
    main()
