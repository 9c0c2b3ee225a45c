"""The experiment tool: plans, mutations, results that outlive an interruption."""

import json
import subprocess
import sys

import pytest
from scripts import experiment
from scripts.experiment import (
    Plan,
    PlanError,
    Play,
    Result,
    TextMutation,
    Variant,
    clone,
    mutate,
    plays_of,
    read_plan,
    read_results,
    result_of,
    write_result,
)
from scripts.experiment_report import compare, frame

PLAN = """
sites = ["one.toml", "two.toml"]
days = ["calm", "burst"]
seeds = [1, 2]
options = ["--no-cpu"]
[[variants]]
name = "as it is"
[[variants]]
name = "without pace"
mutations = [{ path = "program.py", old = "PACE = 1", new = "PACE = 0" }]
"""

BENCH = """
import json, pathlib, sys
verb, *arguments = sys.argv[1:]
if verb == "run":
    site, day = arguments[:2]
    seed, why = arguments[3], arguments[-1]
    pathlib.Path("journal").mkdir(exist_ok=True)
    program = pathlib.Path("program.py").read_text()
    worth = 0.5 + 0.1 * ("PACE = 1" in program) + 0.01 * int(seed)
    entry = {"why": why, "site": pathlib.Path(site).stem, "days": [{
        "G": worth, "served": 0.9, "refused": 0.0, "failed": 0.1,
        "parts": [["worst windows", 0.4, 0.3]], "prices": [["orders", 2, 0.05]],
        "rules": {"ORDER": 1} if day == "burst" else {}}]}
    path = pathlib.Path("journal", f"2{abs(hash((why, site)))}.json")
    path.write_text(json.dumps(entry))
"""


@pytest.fixture
def plan(tmp_path):
    path = tmp_path / "plan.toml"
    path.write_text(PLAN)
    return path


@pytest.fixture
def repository(tmp_path):
    """Return a small repository with one program."""
    folder = tmp_path / "repository"
    folder.mkdir()
    (folder / "program.py").write_text("PACE = 1\n")
    (folder / "deploy").mkdir()
    deploy_file = 'run = "python3 -m pomeloglade_platform"\n'
    (folder / "deploy" / "system.toml").write_text(deploy_file)
    name = ["-c", "user.name=t", "-c", "user.email=t@example.org"]
    for arguments in (["init", "--quiet"], ["add", "."]):
        subprocess.run(["git", *arguments], cwd=folder, check=True)
    subprocess.run(
        ["git", *name, "commit", "--quiet", "-m", "first"], cwd=folder, check=True
    )
    return folder


def test_plan_has_each_day_and_seed_under_each_variant(plan):
    plays = list(plays_of(read_plan(plan)))
    assert len(plays) == len(set(plays)) == 16
    assert [each.variant for each in plays[:2]] == ["as it is", "without pace"]


@pytest.mark.parametrize(
    "text", ["sites = 1", PLAN + '[[variants]]\nname = "as it is"']
)
def test_plan_that_can_not_be_carried_out_is_refused(plan, text):
    plan.write_text(text)
    with pytest.raises(PlanError):
        read_plan(plan)


def test_clone_has_the_variants_mutations_and_arguments(tmp_path, repository):
    mutation = TextMutation("program.py", "PACE = 1", "PACE = 0")
    variant = Variant("no pace", "HEAD", (mutation,), "--prefill-share 0")
    path = clone(variant, tmp_path, repository)
    assert (path / "program.py").read_text() == "PACE = 0\n"
    assert (
        "pomeloglade_platform --prefill-share 0"
        in (path / "deploy" / "system.toml").read_text()
    )
    assert clone(variant, tmp_path, repository) == path
    assert (repository / "program.py").read_text() == "PACE = 1\n"


# Guards against an ablation that has switched nothing off.
def test_mutation_of_a_text_that_is_not_there_once_is_refused(repository):
    for old in ("SPEED", "A"):
        (repository / "program.py").write_text("PACE = A\n")
        with pytest.raises(PlanError):
            mutate(repository, [TextMutation("program.py", old, "")])


# Guards against an ablation that no longer fits the program.
def test_mutations_of_the_ablation_fit_the_sources():
    plan = read_plan(experiment.ROOT / "bench" / "ablation.toml")
    mutations = [each for variant in plan.variants for each in variant.mutations]
    assert len(mutations) == len(plan.variants) - 2
    for each in mutations:
        assert (experiment.ROOT / each.path).read_text().count(each.old) == 1, each


def test_interrupted_run_goes_on_with_the_plays_that_it_lacks(
    tmp_path, plan, repository, monkeypatch
):
    bench = tmp_path / "bench.py"
    bench.write_text(BENCH)
    monkeypatch.setattr(experiment, "ROOT", repository)
    monkeypatch.setattr(experiment.clone, "__defaults__", (repository,))
    folder = tmp_path / "results"
    folder.mkdir()
    known = Play("as it is", "one.toml", "calm", 1)
    write_result(folder, Result(known, 0.25))
    experiment.run(plan, f"{sys.executable} {bench}", folder, 2)
    results = read_results(folder)
    assert len(results) == 16
    assert results[known].worth == 0.25
    assert results[Play("without pace", "two.toml", "burst", 2)].broken == ("ORDER",)
    assert (folder / "comparison.csv").exists()


def test_comparison_is_paired_by_day_and_seed():
    results = [
        Result(Play(variant, "sites/one.toml", "calm", seed), worth)
        for seed, worths in ((1, (0.2, 0.25)), (2, (0.6, 0.66)), (3, (0.4, None)))
        for variant, worth in zip(("base", "changed"), worths, strict=True)
    ]
    row = compare(frame(results), "base").loc[("one", "changed")]
    assert (row.plays, row.missing) == (2, 1)
    assert row.difference == pytest.approx(0.055)
    assert row.low < 0.055 < row.high


def test_play_without_a_result_has_no_worth():
    play = Play("base", "one.toml", "calm", 1)
    assert result_of(play, {"days": []}).worth is None
    assert result_of(play, json.loads('{"days": [{"G": null}]}')).worth is None
    assert Plan((), (), (), ()).options == ()
