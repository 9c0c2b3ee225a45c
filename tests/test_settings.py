"""Tests of the daemon's settings."""

from datetime import timedelta

import pytest
from typer.testing import CliRunner

from pomeloglade.settings import settings_app

REQUIRED = {
    "POMELOGLADE_INSTANCE": "i1",
    "POMELOGLADE_AVAILABILITY_ZONE": "nordvik-a",
    "POMELOGLADE_PLATFORM_URL": "http://127.0.0.1:9000/",
    "POMELOGLADE_PEER_SECRET": "0123456789abcdef",
}


@pytest.fixture
def run():
    def run(*arguments, **environment):
        started = []
        app = settings_app(started.append)
        result = CliRunner().invoke(app, arguments, env=REQUIRED | environment)
        return result, started

    return run


def test_flags_take_precedence_over_variables_and_defaults_are_parsed(run):
    result, [settings] = run(
        "--listen-port=0",
        POMELOGLADE_LISTEN_PORT="81",
        POMELOGLADE_PEER_ADDRESS="10.0.0.1:7000 [::1]:7001",
    )
    assert result.exit_code == 0
    assert settings.listen_port == 0
    assert settings.peer_addresses == ("10.0.0.1:7000", "[::1]:7001")
    assert settings.platform_url == "http://127.0.0.1:9000"
    assert settings.drain_timeout == timedelta(seconds=120)
    assert settings.peer_secret not in repr(settings)


@pytest.mark.parametrize(
    ("flag", "value", "allowed"),
    [
        ("--listen-port", "65536", "from 0 to 65535"),
        ("--listen-port", "-1", "from 0 to 65535"),
        ("--peer-host", "localhost", "IPv4 or IPv6"),
        ("--peer-address", "10.0.0.1", "HOST:PORT"),
        ("--platform-url", "ftp://x", "http:// or https://"),
        ("--platform-url", "http://[", "http:// or https://"),
        ("--instance", "I 1", "lower-case"),
        ("--drain-timeout", "soon", "ms, s, m or h"),
        ("--drain-timeout", "2h", "0s to 3600s"),
        ("--max-body-bytes", "0", "from 1 to"),
    ],
)
def test_error_names_flag_value_and_what_is_allowed(run, flag, value, allowed):
    variable = "POMELOGLADE_" + flag.strip("-").replace("-", "_").upper()
    for result, started in (run(f"{flag}={value}"), run(**{variable: value})):
        assert result.exit_code == 2
        assert not started
        assert flag in result.output
        assert repr(value) in result.output
        assert allowed in " ".join(result.output.split())


def test_a_short_secret_is_refused_without_showing_it(run):
    result, _ = run("--peer-secret", "hunter2")
    assert result.exit_code == 2
    assert "hunter2" not in result.output
    assert "16 characters" in result.output


def test_a_missing_setting_names_flag_and_variable(run):
    result, _ = run(POMELOGLADE_INSTANCE=None)
    assert result.exit_code == 2
    assert "--instance" in result.output
    assert "POMELOGLADE_INSTANCE" in result.output
