"""Tests of reading a folder of TOML files."""

from datetime import timedelta
from pathlib import Path

import pytest

from pomeloglade.state.folder import BadFolderError, read_folder

EXAMPLES = Path(__file__).parent.parent / "examples"

VALID = """
availability_zones = ["a", "b"]
instances.i1.availability_zone = "a"
instances.i2.availability_zone = "b"
[accounts.league]
rate = 100
burst = 1000
key_digests.office = "{office}"
[routes.roster]
prefix = "/roster"
kind = "plain"
pool = "api"
first_token = "250ms"
timeout = "PT5S"
[backend_servers.api-1]
availability_zone = "a"
address = "10.0.0.1:80"
pool = "api"
role = "plain"
""".format(office="0" * 64)

INVALID_VALUES = """
availability_zones = ["a", "a"]
colour = "red"
[accounts.league]
rate = "fast"
tempo = 3
[accounts.empty]
[routes.roster]
prefix = "roster"
kind = "plian"
pool = "api"
first_token = 3
timeout = "soon"
[backend_servers]
api-1 = 7
"""

INVALID_COMBINATIONS = """
[accounts.league]
rate = 20_000_000
burst = 0
key_digests.home = "{office}"
key_digests.away = "xyz"
[routes.summaries]
prefix = "/roster"
kind = "model"
pool = "api"
timeout = "1s"
between_tokens = "0s"
[routes.admin]
prefix = "/admin/x"
kind = "plain"
pool = "apy"
[backend_servers.API-2]
availability_zone = "c"
address = "10.0.0.1:80"
pool = "api"
role = "plain"
[backend_servers.api-3]
availability_zone = "a"
address = "localhost:80"
pool = "api"
role = "plain"
slots = 0
[models.m]
pool = "none"
""".format(office="0" * 64)


@pytest.fixture
def write(tmp_path):
    def write(**texts_by_stem):
        for stem, text in texts_by_stem.items():
            (tmp_path / f"{stem}.toml").write_text(text)
        return tmp_path

    return write


def problems(folder):
    with pytest.raises(BadFolderError) as caught:
        read_folder(folder)
    return "\n".join(str(problem) for problem in caught.value.problems)


def test_later_file_overrides_single_fields(write):
    later = '[accounts.league]\nrate = 7\nkey_digests.home = "{}"'.format("1" * 64)
    folder = read_folder(write(a=VALID, b=later))
    league = folder.deployment.accounts_by_name["league"]
    assert (league.rate, league.burst) == (7, 1000)
    assert league.key_digests == {"office": "0" * 64, "home": "1" * 64}
    assert folder.deployment.routes_by_name["roster"].timeout == timedelta(seconds=5)
    assert folder.stated_states == frozenset()
    stated = write(c='[backend_servers.api-1]\nstate = "leaving"')
    assert read_folder(stated).stated_states == {"api-1"}


def test_all_invalid_values_are_reported(write, snapshot):
    assert problems(write(a=VALID, b=INVALID_VALUES)) == snapshot


def test_all_invalid_combinations_of_values_are_reported(write, snapshot):
    assert problems(write(a=VALID, b=INVALID_COMBINATIONS)) == snapshot


def test_a_field_set_twice_in_one_file_is_an_error_with_its_line(write):
    text = problems(write(a=VALID, b="[accounts.league]\nrate = 1\nrate = 2"))
    assert text.startswith("b.toml:3: accounts.league.rate: ")


def test_errors_of_all_files_are_reported_together(write):
    folder = write(a=VALID, b='[accounts.league]\nrate = "fast"', c="[accounts.x")
    (folder / "d.toml").write_text("[backend_servers.api-1]\nslots = 0")
    text = problems(folder)
    for place in ("b.toml:2: accounts.league.rate", "c.toml:1: ", "d.toml:2: "):
        assert place in text
    assert len(text.splitlines()) == 3


def test_only_complete_path_segments_are_reserved(write):
    later = '[routes.roster]\nprefix = "{}"'
    for prefix in ("/admin", "/metrics/x"):
        assert "is reserved" in problems(write(a=VALID, b=later.format(prefix)))
    read_folder(write(a=VALID, b=later.format("/administrators")))


def test_withdrawn_digests_can_not_be_set_in_a_folder(write):
    later = "[accounts.league]\nwithdrawn_digests = []"
    assert "withdrawn_digests: unknown field" in problems(write(a=VALID, b=later))


def test_unexpected_files_are_errors_and_readme_files_are_not(write):
    folder = write(a=VALID)
    (folder / "README.md").write_text("notes")
    read_folder(folder)
    (folder / "b.tml").write_text("")
    (folder / "c.toml").write_bytes(b"\xff")
    text = problems(folder)
    assert "b.tml: not a .toml file" in text
    assert "c.toml: " in text
    assert "not a folder" in problems(folder / "a.toml")


@pytest.mark.parametrize("name", ["halvorsen", "kowhai"])
def test_example_folders_are_valid(name):
    deployment = read_folder(EXAMPLES / name).deployment
    assert len(deployment.accounts_by_name) == 5
    assert any(route.open for route in deployment.routes_by_name.values())
    assert not all(route.idempotent for route in deployment.routes_by_name.values())
    for server in deployment.backend_servers_by_name.values():
        assert server.availability_zone in deployment.availability_zones


def test_zone_without_an_instance_is_an_error(write):
    without = VALID.replace('instances.i2.availability_zone = "b"\n', "")
    assert (
        "instances: zone 'b' has no instances, so no account could spend"
        in problems(write(a=without))
    )
