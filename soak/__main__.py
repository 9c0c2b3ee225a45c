"""Command line of the soak test: one run per seed."""

import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Annotated

import typer

from pomeloglade.transport import steady_reactor

if __name__ == "__main__":
    steady_reactor.install()

from twisted.internet.defer import Deferred, ensureDeferred  # noqa: E402
from twisted.internet.task import deferLater, react  # noqa: E402

from .callers import Callers  # noqa: E402
from .faults import FaultInjector  # noqa: E402
from .fleet import Fleet  # noqa: E402
from .guarantees import find_violations  # noqa: E402

STARTUP_SECONDS = 2.5
FAULT_INTERVAL_SECONDS = (0.2, 1.6)
"""Range of the pause between the starts of two faults; faults may overlap."""

RECOVERY_SECONDS = 9.0
"""Time after the last fault for leases to expire, avoided servers to be retried and
interrupted restarts to finish."""

FAULT_FREE_SECONDS = 3.0
"""Time with requests but without faults, for the check of the recovery."""


@dataclass(frozen=True, slots=True)
class FailedSeed:
    """A seed that failed in a run of unmodified programs, with the cause."""

    seed: int
    seconds: float
    instances: int
    cause: str


FAILED_SEEDS = (
    FailedSeed(
        20,
        20.0,
        4,
        "a second SIGTERM while draining made the reactor raise ReactorNotRunning",
    ),
    FailedSeed(
        509,
        10.0,
        6,
        "connections lost by a cut of all instances counted as ends of servers",
    ),
)

app = typer.Typer(add_completion=False, rich_markup_mode=None)


async def run_seed(
    reactor: object,
    seed: int,
    seconds: float,
    instances: int,
    folder: Path,
    fault: str | None = None,
) -> list[str]:
    """Run one seed and return a line for each violated guarantee.

    With ``fault``, this one is injected once, and no other. The injected faults are
    written to ``faults.txt`` next to the processes' logs.
    """
    random = Random(seed)
    fleet = Fleet(reactor, folder, random, instances=instances)
    callers = Callers(fleet, Random(seed + 1), per_second=40.0)
    injector = FaultInjector(fleet, callers, random)
    try:
        await fleet.start()
        await deferLater(reactor, STARTUP_SECONDS)
        callers.start()
        end = reactor.seconds() + seconds
        if fault is not None:
            await deferLater(reactor, FAULT_FREE_SECONDS)
            injector.inject(fault)
            await deferLater(reactor, seconds)
        else:
            # A generator of its own leaves the other faults of the seed as they are.
            begin = Random(seed + 2).uniform(0.0, seconds)
            reactor.callLater(begin, injector.evacuate_beside_others)
        while fault is None and reactor.seconds() < end:
            await deferLater(reactor, random.uniform(*FAULT_INTERVAL_SECONDS))
            injector.inject()
        injector.heal()
        await deferLater(reactor, RECOVERY_SECONDS)
        injector.heal()
        healed_at = reactor.seconds()
        await deferLater(reactor, FAULT_FREE_SECONDS)
        await callers.stop()
        await deferLater(reactor, max(each.timeout for each in callers.sent))
        peak = fleet.check_memory()
        violations = find_violations(fleet, callers.sent, healed_at)
    finally:
        await fleet.stop()
        await deferLater(reactor, 0.2)
    (folder / "faults.txt").write_text("\n".join(injector.injected) + "\n")
    outcomes = Counter((each.route, each.status) for each in callers.sent)
    sys.stdout.write(f"seed {seed}: {len(callers.sent)} requests, ")
    sys.stdout.write(
        f"{len(injector.injected)} faults, {len(violations)} broken promises\n"
    )
    (folder / "outcomes.txt").write_text(
        f"{sorted(outcomes.items(), key=str)}\nat most {peak:.0f} MB an instance\n"
    )
    return violations


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults.")] = 20.0,
    instances: Annotated[int, typer.Option(help="Processes under test.")] = 4,
    fault: Annotated[str | None, typer.Option(help="Inject only this, once.")] = None,
    folder: Annotated[Path | None, typer.Option(help="Folder for the logs.")] = None,
    again: Annotated[bool, typer.Option(help="Only seeds that once failed.")] = False,
) -> None:
    """Run seeds one after another; exit with 1 if a guarantee was violated."""
    runs = [(number, seconds, instances) for number in range(seed, seed + seeds)]
    if again:
        runs = [(each.seed, each.seconds, each.instances) for each in FAILED_SEEDS]
    log_folder = folder or Path(tempfile.mkdtemp(prefix="pomeloglade-soak-"))

    async def run(reactor: object) -> None:
        failed = 0
        for number, seconds, instances in runs:
            seed_folder = log_folder / str(number)
            seed_folder.mkdir(parents=True, exist_ok=True)
            violations = await run_seed(
                reactor, number, seconds, instances, seed_folder, fault
            )
            failed += bool(violations)
            for line in violations[:20]:
                sys.stdout.write(f"  {line}\n")
        passed = len(runs) - failed
        sys.stdout.write(
            f"{passed} of {len(runs)} seeds kept all; logs in {log_folder}\n"
        )
        if failed:
            raise SystemExit(1)

    def start(reactor: object) -> "Deferred[None]":
        return ensureDeferred(run(reactor))

    react(start)


if __name__ == "__main__":
    app()
