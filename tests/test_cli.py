"""Tests of the operators' command line, on an in-memory store."""

import json
from pathlib import Path

import pytest
from twisted.internet.defer import Deferred, fail
from typer.main import get_command
from typer.testing import CliRunner

from pomeloglade.cli import build_app
from pomeloglade.porcelain import Operations
from pomeloglade.protocol.quarantine import QuarantineEntry, encode, store_key
from pomeloglade.settings import settings_app
from pomeloglade.state.keys import digest_key
from pomeloglade.transport.status import StatusUnavailableError
from pomeloglade_coordination.errors import KeyValueUnavailableError
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.refusals import Reason

HALVORSEN = str(Path(__file__).parent.parent / "examples" / "halvorsen")


class UnreachableInstances:
    """Status client that reaches no instance."""

    def fetch(self, address):
        """Fail as if the instance were cut off."""
        return fail(StatusUnavailableError("cut off", step="status", peer=address))


@pytest.fixture
def store(clock):
    return MemoryKeyValueStore(clock)


@pytest.fixture
def run(clock, store):
    def run_in_virtual_time(command, url, timeout):
        operations = Operations(store, UnreachableInstances(), clock)
        outcomes = []
        Deferred.fromCoroutine(command(operations)).addBoth(outcomes.append)
        while not outcomes:
            clock.advance(1)
        if hasattr(outcomes[0], "raiseException"):
            outcomes[0].raiseException()
        return outcomes[0]

    app = build_app(run_in_virtual_time)
    environment = {"POMELOGLADE_PLATFORM_URL": "http://127.0.0.1:1"}

    def run(*arguments, **changes):
        return CliRunner().invoke(app, arguments, env=environment | changes)

    return run


def test_a_typical_sequence_of_commands(run, snapshot):
    outputs = [
        run("check", HALVORSEN),
        run("show"),
        run("publish", HALVORSEN),
        run("publish", HALVORSEN),
        run("keys", "create", "county-league", "office"),
        run("drain", "roster-api-1"),
        run("diff", HALVORSEN),
        run("keys", "withdraw", "county-league", "office"),
        run("join", "roster-api-1"),
        run("show"),
    ]
    assert [output.exit_code for output in outputs] == [0] * len(outputs)
    assert "+ accounts.county-league.rate = 40000" in outputs[2].output
    text = "\n".join(output.output for output in outputs if output != outputs[2])
    text = text.replace(outputs[4].output.splitlines()[0], "pg_KEY")
    assert _without_publish_ids(text) == snapshot


def test_json_has_one_value_per_line_and_shows_the_key_once(run):
    run("publish", HALVORSEN)
    created = json.loads(run("keys", "create", "county-league", "x", "--json").output)
    shown = run("show", "--json").output
    assert created["key"] not in shown
    assert digest_key(created["key"]) in shown
    assert json.loads(shown)["revision"] == created["receipt"]["revision"]


def test_a_bad_folder_exits_with_2_and_is_not_published(run, tmp_path):
    (tmp_path / "a.toml").write_text('colour = "red"')
    for command in ("check", "diff", "publish"):
        result = run(command, str(tmp_path))
        assert result.exit_code == 2
        assert "a.toml:1: colour: unknown" in result.output
        assert "nothing was published" in result.output
    assert run("show").output == "nothing is published\n"
    [problem, _] = json.loads(run("check", str(tmp_path), "--json").output)["problems"]
    assert problem["key"] == "availability_zones"


def test_a_conflict_exits_with_1_and_names_step_and_peer(run):
    run("publish", HALVORSEN)
    result = run("publish", HALVORSEN, "--expected-revision", "7")
    assert result.exit_code == 1
    assert "nothing was published" in result.stderr
    assert "(step publish, peer key-value service)" in result.stderr


def test_an_outage_exits_with_1(run, store):
    error = KeyValueUnavailableError("no answer", step="get", peer="platform")
    store.get = lambda key: fail(error)
    result = run("publish", HALVORSEN, "--json")
    assert result.exit_code == 1
    assert json.loads(result.output)["error"] == "KeyValueUnavailableError"


def test_wait_exits_with_1_and_names_the_unreached_zones(run, store):
    record = b'{"instance":"i1","availability_zone":"nordvik-a","address":"i1:80"}'
    store.put("instances/i1", record)
    result = run("publish", HALVORSEN, "--wait", "--wait-timeout", "2s")
    assert result.exit_code == 1
    assert "published revision 2" in result.output
    assert "i1: unreached, cut off" in result.output
    for zone in ("nordvik-a", "nordvik-b", "nordvik-c"):
        assert f"availability zone {zone} has it in force" in result.output


def test_quarantined_keys_are_listed_and_lifted(run, store):
    assert run("quarantine", "list").output == "nothing is quarantined\n"
    entry = QuarantineEntry("llm", (("i-1", 1), ("i-2", 1)), ("v1",), 1.8e9)
    store.put(store_key(17), encode(entry))
    store.put(store_key(18), b"[")
    assert run("quarantine", "list").output.splitlines() == [
        "0000000000000011 until 2027-01-15T08:00:00+00:00: service llm",
        "  ended servers: i-1, i-2",
        "  no trial by software versions: v1",
        "0000000000000012: entry can't be decoded",
    ]
    listed = json.loads(run("quarantine", "list", "--json").output)
    assert listed["entries_by_key"]["0000000000000011"]["until"] == 1.8e9
    lifted = run("quarantine", "lift", "0000000000000011")
    assert (lifted.exit_code, lifted.output) == (
        0,
        "key 0000000000000011 is lifted\n",
    )
    again = run("quarantine", "lift", "0000000000000011")
    assert again.exit_code == 1
    assert "not quarantined; quarantined: 0000000000000012" in again.stderr
    assert run("quarantine", "lift", "0000000000000012").exit_code == 0
    assert run("quarantine", "list").output == "nothing is quarantined\n"


def test_bad_arguments_exit_with_2(run):
    assert run("show", POMELOGLADE_PLATFORM_URL="ftp://x").exit_code == 2
    assert run("publish").exit_code == 2
    result = run("status", POMELOGLADE_PLATFORM_URL=None)
    assert result.exit_code == 2
    assert "--instance" in result.output


def _without_publish_ids(text):
    words = text.split(" ")
    kept = []
    for position, word in enumerate(words):
        after_publish = position and words[position - 1].endswith("(publish")
        kept.append("ID)" + word.partition(")")[2] if after_publish else word)
    return " ".join(kept)


def test_the_operations_page_names_every_flag_command_and_reason():
    page = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    daemon = get_command(settings_app(lambda settings: None))
    operators = get_command(build_app())
    keys = operators.commands["keys"]
    commands = [*operators.commands.values(), *keys.commands.values()]
    wanted = {*operators.commands, *(f"keys {name}" for name in keys.commands)}
    for command in [daemon, *commands]:
        for option in command.params:
            wanted.update(flag for flag in option.opts if flag.startswith("--"))
            wanted.update([option.envvar] if option.envvar else [])
    wanted.update(f"| `{reason.value}` |" for reason in Reason)
    assert [each for each in sorted(wanted) if each not in page] == []
