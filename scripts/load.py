"""Load tests of real instances on loopback, bounded in time and calls."""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer
from hdrh.histogram import HdrHistogram

from scripts.fleet import call
from scripts.load_callers import ClosedLoop, OpenLoop, histogram, record
from scripts.load_fleet import LoadFleet
from scripts.load_processes import (
    MachineTime,
    machine_load,
    machine_time,
    processor_seconds,
    resident_kilobytes,
)

EXPECTED_ADDED_MS_BY_PERCENTILE = {50: 3.0, 99: 10.0}
EXPECTED_STREAMS_PER_SECOND = 500
PERCENTILES = (50, 95, 99)
ACCOUNT_STEPS = (1_000, 5_000, 25_000)
SETTLE_SECONDS = 3.0
IDLE_BASELINE_SECONDS = 5.0
WARM_UP_CALLS = 50
MAX_SECONDS = 60
MAX_CALLS = 30_000
MAX_CALLS_PER_SECOND = 1_000
MAX_INSTANCES = 6
MAX_CONNECTIONS = 192

app = typer.Typer(add_completion=False, rich_markup_mode=None)
Seconds = Annotated[
    int, typer.Option(min=1, max=MAX_SECONDS, help="Duration in seconds.")
]
Calls = Annotated[
    int, typer.Option(min=1, max=MAX_CALLS, help="Maximum number of calls.")
]
Instances = Annotated[int, typer.Option(min=1, max=MAX_INSTANCES)]
Connections = Annotated[int, typer.Option(min=1, max=MAX_CONNECTIONS)]
Profile = Annotated[
    Path | None,
    typer.Option(help="Folder for profiles; profiling adds processor time."),
]


@app.command()
def latency(
    rate: Annotated[
        int, typer.Option(min=1, max=MAX_CALLS_PER_SECOND, help="Calls per second.")
    ] = 200,
    seconds: Seconds = 20,
    threads: Connections = 32,
) -> None:
    """Measure the latency that one instance adds to a plain call, open loop."""
    with LoadFleet(1).start_all() as fleet:
        ports = (fleet.instance_ports()[0], fleet.ports["s1"])
        OpenLoop(*ports, rate, WARM_UP_CALLS).run(threads)
        machine_time_before = show_machine_before()
        times = OpenLoop(*ports, rate, rate * seconds).run(threads)
        show_machine_after(machine_time_before)
    show("outcomes", dict(times.outcomes))
    for name in ("through", "direct", "added", "lateness"):
        show(f"{name} ms", percentiles(getattr(times, name)))
    added = percentiles(times.added)
    for percentile, expected in EXPECTED_ADDED_MS_BY_PERCENTILE.items():
        measured = added[f"p{percentile}"]
        judge(f"added p{percentile} <= {expected} ms", measured <= expected)


@app.command()
def streams(
    seconds: Seconds = 20,
    calls: Calls = 20_000,
    connections: Connections = 48,
    instances: Instances = 6,
    engines: Annotated[
        int, typer.Option(min=1, max=4, help="Engines of each role.")
    ] = 4,
    profile: Profile = None,
) -> None:
    """Measure the fleet's streamed model requests per second, closed loop."""
    if profile is not None:
        profile.mkdir(parents=True, exist_ok=True)
    with LoadFleet(instances, engines, engines, profile).start_all() as fleet:
        ports = tuple(fleet.instance_ports())
        ClosedLoop(ports, instances, 5, WARM_UP_CALLS, streamed=True).run()
        machine_time_before = show_machine_before()
        pids_by_process = {
            process.name: process.popen.pid for process in fleet.processes
        }
        before = {name: processor_seconds(pid) for name, pid in pids_by_process.items()}
        loop = ClosedLoop(ports, connections, seconds, calls, streamed=True)
        result = loop.run(processes=2)
        used = {
            name: round((processor_seconds(pid) - before[name]) / result.elapsed, 2)
            for name, pid in pids_by_process.items()
        }
        show_machine_after(machine_time_before)
        if profile is not None:
            fleet.stop_gracefully()
    show("outcomes", dict(result.outcomes))
    show("cores used by the callers", round(result.caller_cores, 2))
    show("cores used by process", used)
    show("times ms", percentiles(histogram_of(result.times)))
    streams_per_second = result.completed_per_second
    show("complete streams per second", round(streams_per_second, 1))
    expected = EXPECTED_STREAMS_PER_SECOND
    judge(f"streams >= {expected} per second", streams_per_second >= expected)


@app.command()
def memory(instances: Instances = 2) -> None:
    """Measure resident memory after start and as client accounts are added."""
    with LoadFleet(instances).start_all() as fleet:
        time.sleep(SETTLE_SECONDS)
        machine_time_before = show_machine_before()
        start = resident(fleet)
        show("after start MB", start)
        for accounts in ACCOUNT_STEPS:
            began = time.monotonic()
            size = fleet.publish(accounts)
            elapsed = round(time.monotonic() - began, 2)
            time.sleep(SETTLE_SECONDS)
            now = resident(fleet)
            show(f"{accounts} accounts MB", now)
            show("  published bytes, seconds until in force", (size, elapsed))
            slope = {n: (now[n] - start[n]) * 1000 / accounts for n in now}
            show("  MB per 1,000", {n: round(v, 2) for n, v in slope.items()})
        show_machine_after(machine_time_before)


@app.command()
def idle(seconds: Seconds = 20, instances: Instances = 6) -> None:
    """Measure processor time and platform calls of instances without load."""
    with LoadFleet(instances).start_all() as fleet:
        time.sleep(SETTLE_SECONDS)
        machine_time_before = show_machine_before()
        counters = {
            n: read_counters(i.port) for n, i in fleet.instances_by_name.items()
        }
        calls = fleet.platform_calls()
        before = {n: processor_seconds(pid) for n, pid in fleet.pids().items()}
        time.sleep(seconds)
        used = {
            n: round((processor_seconds(pid) - before[n]) / seconds, 4)
            for n, pid in fleet.pids().items()
        }
        calls_after = fleet.platform_calls()
        show_machine_after(machine_time_before)
        show("cores used", used)
        instance_seconds = seconds * instances
        rates = {
            n: round((calls_after[n] - calls[n]) / instance_seconds, 3) for n in calls
        }
        show("platform calls per second and instance", rates)
        for name, instance in fleet.instances_by_name.items():
            now = read_counters(instance.port)
            increases = {n: now[n] - counters[name].get(n, 0) for n in now}
            per_second = {n: round(v / seconds, 2) for n, v in increases.items() if v}
            show(f"counters per second, {name}", per_second)


@app.command()
def requests(
    seconds: Seconds = 10,
    calls: Calls = 5_000,
    connections: Connections = 4,
    profile: Profile = None,
    streamed: Annotated[bool, typer.Option(help="Measure streamed requests.")] = True,
    plain: Annotated[bool, typer.Option(help="Measure plain requests.")] = True,
) -> None:
    """Measure the instance's processor time per plain and per streamed request."""
    if profile is not None:
        profile.mkdir(parents=True, exist_ok=True)
    with LoadFleet(1, 1, 1, profile).start_all() as fleet:
        ports = tuple(fleet.instance_ports())
        pid = fleet.pids()["i0"]
        machine_time_before = show_machine_before()
        time.sleep(SETTLE_SECONDS)
        base = processor_used(pid, lambda: time.sleep(IDLE_BASELINE_SECONDS))
        idle_cores = base / IDLE_BASELINE_SECONDS
        show("cores used without callers", round(idle_cores, 4))
        modes = [mode for mode, asked in ((False, plain), (True, streamed)) if asked]
        for is_streamed in modes:
            ClosedLoop(ports, connections, 5, WARM_UP_CALLS, is_streamed).run()
            loop = ClosedLoop(ports, connections, seconds, calls, is_streamed)
            began = processor_seconds(pid)
            result = loop.run()
            used = processor_seconds(pid) - began - idle_cores * result.elapsed
            name = "streamed" if is_streamed else "plain"
            show(f"{name} outcomes", dict(result.outcomes))
            show(f"{name} times ms", percentiles(histogram_of(result.times)))
            show(f"{name} complete per second", round(result.completed_per_second, 1))
            milliseconds = used * 1000 / sum(result.outcomes.values())
            show(f"{name} processor ms per request", round(milliseconds, 3))
        show_machine_after(machine_time_before)
        if profile is not None:
            fleet.stop_gracefully()


def show_machine_before() -> MachineTime:
    """Print the machine's load before a run; return its processor time so far."""
    show("machine before", str(machine_load()))
    return machine_time()


def show_machine_after(began: MachineTime) -> None:
    """Print the machine's load after a run and its use during the run."""
    show("machine after", str(machine_load()))
    show("cores' time used by all", round(machine_time().busy_since(began), 2))


def processor_used(pid: int, action: Callable[[], None]) -> float:
    """Return the processor seconds that a process uses while ``action`` runs."""
    before = processor_seconds(pid)
    action()
    return processor_seconds(pid) - before


def resident(fleet: LoadFleet) -> dict[str, float]:
    """Return the resident memory of each instance in MB."""
    return {
        name: round(resident_kilobytes(pid) / 1024, 1)
        for name, pid in fleet.pids().items()
    }


def read_counters(port: int) -> dict[str, float]:
    """Return the counters that an instance exports in its metrics."""
    lines = call(port, "/metrics").body.decode().splitlines()
    shown = [line.rpartition(" ") for line in lines if line and line[0] != "#"]
    return {name: float(value) for name, _, value in shown if "_total" in name}


def histogram_of(times: list[float]) -> HdrHistogram:
    """Return a histogram of these times in seconds."""
    filled = histogram()
    for seconds in times:
        record(filled, seconds)
    return filled


def percentiles(times: HdrHistogram) -> dict[str, float]:
    """Return the percentiles of a histogram in milliseconds."""
    return {f"p{p}": times.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


def judge(expectation: str, met: bool) -> None:
    """Print whether a figure is as expected; the exit code does not depend on it."""
    show(expectation, "passed" if met else "failed")


def show(name: str, value: Any) -> None:
    """Print one figure."""
    text = value if isinstance(value, str) else json.dumps(value)
    sys.stdout.write(f"{name}: {text}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    app()
