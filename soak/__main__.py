"""Command line of the soak: one run a seed, each for some seconds."""

import sys
import tempfile
from collections import Counter
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
from .faults import Faults  # noqa: E402
from .fleet import Fleet  # noqa: E402
from .promises import broken_promises  # noqa: E402

START_SECONDS = 2.5
FAULT_SECONDS = (0.2, 1.6)
"""Pause between the beginnings of two faults; they overlap."""

RECOVERY_SECONDS = 9.0
"""Time for leases, avoided servers and interrupted restarts after the last fault."""

CALM_SECONDS = 3.0

FAILED_SEEDS = {
    20: "a second SIGTERM while draining made the reactor raise ReactorNotRunning",
}
"""Seeds that once failed on unchanged programs, at 20 s, with the cause."""

app = typer.Typer(add_completion=False, rich_markup_mode=None)


async def play(
    reactor: object, seed: int, seconds: float, instances: int, folder: Path
) -> list[str]:
    """Play one seed and return what was broken.

    What happened is written to ``faults.txt`` beside the processes' logs.
    """
    random = Random(seed)
    fleet = Fleet(reactor, folder, random, instances=instances)
    callers = Callers(fleet, Random(seed + 1), per_second=40.0)
    faults = Faults(fleet, random)
    try:
        await fleet.start()
        await deferLater(reactor, START_SECONDS)
        callers.start()
        end = reactor.seconds() + seconds
        while reactor.seconds() < end:
            await deferLater(reactor, random.uniform(*FAULT_SECONDS))
            faults.draw()
        faults.heal()
        await deferLater(reactor, RECOVERY_SECONDS)
        faults.heal()
        healed_at = reactor.seconds()
        await deferLater(reactor, CALM_SECONDS)
        await callers.stop()
        await deferLater(reactor, max(each.limit for each in callers.sent))
        broken = broken_promises(fleet, callers.sent, healed_at)
    finally:
        await fleet.stop()
        await deferLater(reactor, 0.2)
    (folder / "faults.txt").write_text("\n".join(faults.told) + "\n")
    outcomes = Counter((each.route, each.status) for each in callers.sent)
    sys.stdout.write(f"seed {seed}: {len(callers.sent)} requests, ")
    sys.stdout.write(f"{len(faults.told)} faults, {len(broken)} broken promises\n")
    (folder / "outcomes.txt").write_text(f"{sorted(outcomes.items(), key=str)}\n")
    return broken


@app.command()
def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults.")] = 20.0,
    instances: Annotated[int, typer.Option(help="Processes under test.")] = 4,
    folder: Annotated[Path | None, typer.Option(help="Takes the logs.")] = None,
    again: Annotated[bool, typer.Option(help="Only seeds that once failed.")] = False,
) -> None:
    """Play seeds one after another; exit with 1 if a promise was broken."""
    numbers = list(FAILED_SEEDS) if again else list(range(seed, seed + seeds))
    kept = folder or Path(tempfile.mkdtemp(prefix="pomeloglade-soak-"))

    async def run(reactor: object) -> None:
        failed = 0
        for number in numbers:
            place = kept / str(number)
            place.mkdir(parents=True, exist_ok=True)
            broken = await play(reactor, number, seconds, instances, place)
            failed += bool(broken)
            for line in broken[:20]:
                sys.stdout.write(f"  {line}\n")
        good = len(numbers) - failed
        sys.stdout.write(f"{good} of {len(numbers)} seeds kept all; logs in {kept}\n")
        if failed:
            raise SystemExit(1)

    def begin(reactor: object) -> "Deferred[None]":
        return ensureDeferred(run(reactor))

    react(begin)


if __name__ == "__main__":
    app()
