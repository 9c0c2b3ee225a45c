"""Plays days of a deployment under variants of the program, and compares them.

    python -m scripts.experiment run PLAN --bench COMMAND --folder FOLDER
    python -m scripts.experiment report FOLDER

A plan is a TOML file with sites, days, seeds and variants. A variant is a revision of
this repository, maybe with mutations: texts of its files that are replaced, so that one
mechanism can be switched off. Each variant gets a scratch clone below the folder, and
each play is one run of the bench there. A run that is interrupted goes on where it was.
"""

import shlex
import shutil
import subprocess
import tomllib
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import asdict, dataclass, replace
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.progress import Progress

ROOT = Path(__file__).resolve().parent.parent
RESULTS = "results.jsonl"
DEPLOY_FILE = "deploy/system.toml"
TIMEOUT_SECONDS = 1_800
MAX_PROCESSES = 6

app = typer.Typer(add_completion=False, rich_markup_mode=None)


class PlanError(Exception):
    """A plan can't be carried out."""


@dataclass(frozen=True, slots=True)
class TextMutation:
    """A text of a file, given from the repository's root, and what replaces it."""

    path: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Variant:
    """A revision of the program with mutations, under a name.

    Further ``arguments`` are appended to the program's command line.
    """

    name: str
    revision: str = "HEAD"
    mutations: tuple[TextMutation, ...] = ()
    arguments: str = ""

    def digest(self) -> str:
        """Return a name for the clone, which differs for each content."""
        encoded = msgspec.json.encode(self)
        return blake2b(encoded, digest_size=6).hexdigest()


@dataclass(frozen=True, slots=True)
class Plan:
    """What to play: each day of each site with each seed under each variant.

    The first variant is the one with which the others are compared. ``options`` are
    passed on to each run of the bench.
    """

    sites: tuple[str, ...]
    days: tuple[str, ...]
    seeds: tuple[int, ...]
    variants: tuple[Variant, ...]
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Play:
    """One day of a site with one seed under one variant."""

    variant: str
    site: str
    day: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """What a play gave; ``prices`` is what the worth of its parts was reduced by.

    ``broken`` names the broken rules. A play without a ``worth`` failed.
    """

    play: Play
    worth: float | None
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    windows: float = 0.0
    prices: float = 0.0
    broken: tuple[str, ...] = ()


def read_plan(path: Path) -> Plan:
    """Read a plan, or raise ``PlanError``."""
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from error
    names = [each.name for each in plan.variants]
    if len(set(names)) < len(names):
        raise PlanError(f"{path}: two variants have the same name")
    return plan


def plays_of(plan: Plan) -> Iterator[Play]:
    """Return the plays of a plan; those that are compared follow each other."""
    for site in plan.sites:
        for seed in plan.seeds:
            for day in plan.days:
                for variant in plan.variants:
                    yield Play(variant.name, site, day, seed)


def read_results(folder: Path) -> dict[Play, Result]:
    """Return the results in a folder by play; the last of a play counts."""
    path = folder / RESULTS
    if not path.exists():
        return {}
    lines = path.read_bytes().splitlines()
    results = (msgspec.json.decode(line, type=Result) for line in lines)
    return {each.play: each for each in results}


def write_result(folder: Path, result: Result) -> None:
    """Append a result to those in a folder."""
    with (folder / RESULTS).open("ab") as file:
        file.write(msgspec.json.encode(asdict(result)) + b"\n")


def mutate(folder: Path, mutations: Iterable[TextMutation]) -> None:
    """Apply mutations to a clone; ``PlanError`` unless each text is there once."""
    for mutation in mutations:
        path = folder / mutation.path
        text = path.read_text() if path.exists() else ""
        if text.count(mutation.old) != 1:
            count = text.count(mutation.old)
            raise PlanError(f"{mutation.path}: {mutation.old!r} is there {count} times")
        path.write_text(text.replace(mutation.old, mutation.new))


def clone(variant: Variant, folder: Path, repository: Path = ROOT) -> Path:
    """Make the clone of a variant, unless it is there already."""
    path = folder / f"{variant.name.replace(' ', '-')}-{variant.digest()}"
    if path.exists():
        return path
    making = path.with_suffix(".new")
    shutil.rmtree(making, ignore_errors=True)
    subprocess.run(
        ["git", "clone", "--quiet", "--shared", str(repository), str(making)],
        check=True,
    )
    revision = subprocess.run(
        ["git", "rev-parse", variant.revision],
        cwd=repository,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    subprocess.run(
        ["git", "checkout", "--quiet", "--detach", revision], cwd=making, check=True
    )
    mutate(making, variant.mutations)
    if variant.arguments:
        command = 'run = "python3 -m pomeloglade_platform'
        with_arguments = f"{command} {variant.arguments}"
        mutate(making, [TextMutation(DEPLOY_FILE, command, with_arguments)])
    making.rename(path)
    return path


def build(folder: Path, bench: list[str]) -> None:
    """Build the program of a clone, or raise ``CalledProcessError``."""
    subprocess.run([*bench, "build"], cwd=folder, check=True, capture_output=True)


def run_play(
    play: Play, folder: Path, bench: list[str], options: Iterable[str]
) -> Result:
    """Run the bench for one play in its variant's clone and read its journal."""
    why = f"experiment {play.variant}: {play.day}, seed {play.seed}"
    arguments = ["run", play.site, play.day, "--seed", str(play.seed), *options]
    try:
        subprocess.run(
            [*bench, *arguments, "--why", why],
            cwd=folder,
            timeout=TIMEOUT_SECONDS,
            capture_output=True,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return Result(play, None)
    site = Path(play.site).stem
    for path in sorted((folder / "journal").glob("2*.json"), reverse=True):
        entry = msgspec.json.decode(path.read_bytes())
        if entry.get("why") == why and entry.get("site") == site:
            return result_of(play, entry)
    return Result(play, None)


def result_of(play: Play, entry: dict) -> Result:
    """Return the result of a play from the bench's journal entry."""
    days = entry.get("days") or []
    if not days or days[0].get("G") is None:
        return Result(play, None)
    day = days[0]
    parts = {name: value for name, _, value in day.get("parts", [])}
    return Result(
        play,
        worth=day["G"],
        served=day["served"],
        refused=day["refused"],
        failed=day["failed"],
        windows=parts.get("worst windows", 0.0),
        prices=sum(each[2] for each in day.get("prices", [])),
        broken=tuple(sorted(day.get("rules", {}))),
    )


@app.command()
def run(
    plan_path: Annotated[Path, typer.Argument(metavar="PLAN")],
    bench: Annotated[str, typer.Option(help="The bench's command.")],
    folder: Annotated[Path, typer.Option(help="Folder of clones and results.")],
    processes: Annotated[int, typer.Option(min=1, max=MAX_PROCESSES)] = 3,
    site: Annotated[
        list[str] | None, typer.Option(help="Site file, instead of the plan's.")
    ] = None,
) -> None:
    """Play what a plan lacks, then print its report."""
    try:
        plan = read_plan(plan_path)
        plan = replace(plan, sites=tuple(site or plan.sites))
        folder.mkdir(parents=True, exist_ok=True)
        clone_by_variant = {each.name: clone(each, folder) for each in plan.variants}
    except PlanError as error:
        raise typer.BadParameter(str(error)) from error
    command = shlex.split(bench)
    with ThreadPoolExecutor(processes) as pool:
        # Once before the plays, as those that run side by side would build together.
        builds = [
            pool.submit(build, each, command) for each in clone_by_variant.values()
        ]
        for done in builds:
            done.result()
    known = read_results(folder)
    due = [each for each in plays_of(plan) if each not in known]
    with Progress() as progress, ThreadPoolExecutor(processes) as pool:
        task = progress.add_task("plays", total=len(due))
        running = [
            pool.submit(
                run_play, each, clone_by_variant[each.variant], command, plan.options
            )
            for each in due
        ]
        try:
            for done in as_completed(running):
                write_result(folder, done.result())
                progress.advance(task)
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    report(folder, plan.variants[0].name)


@app.command()
def report(
    folder: Path,
    baseline: Annotated[str | None, typer.Option(help="Compare with this.")] = None,
    plot: Annotated[bool, typer.Option(help="Write a plot, too.")] = False,
) -> None:
    """Print and write the comparison of the variants whose results are in a folder."""
    from scripts import experiment_report

    results = list(read_results(folder).values())
    table = experiment_report.frame(results)
    baseline = baseline or results[0].play.variant
    comparison = experiment_report.compare(table, baseline)
    typer.echo(comparison.to_string(float_format="{:.3f}".format))
    table.to_csv(folder / "plays.csv", index=False)
    comparison.to_csv(folder / "comparison.csv")
    if plot:
        experiment_report.plot(comparison, folder / "comparison.png")


if __name__ == "__main__":
    app()
