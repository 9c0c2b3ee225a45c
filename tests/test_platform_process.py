"""Tests of the platform's program as a process: arguments, start and signals."""

import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import time

import pytest

from pomeloglade_platform.program import METRICS_PORT
from pomeloglade_platform_standin.deployment import settings_text

HOST = f"127.{1 + os.getpid() % 250}.1.1"
"""An address of this test run alone: the metrics port is the same for all instances."""

START_SECONDS = 30


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(
        settings_text(
            name="entry-1", host=HOST, zone="zone-a", base_port=1, store=f"{HOST}:1"
        )
    )
    return path


@pytest.fixture
def free_port():
    with socket.create_server((HOST, 0)) as free:
        return free.getsockname()[1]


@pytest.fixture
def launch(settings, free_port):
    """Starts a process whose output includes a line for each imported module."""
    settings.write_text(
        settings_text(
            name="entry-1",
            host=HOST,
            zone="zone-a",
            base_port=free_port,
            store=f"{HOST}:1",
        )
    )
    processes = []

    def start_process(**options):
        streams = {"stdout": subprocess.PIPE, "stderr": subprocess.STDOUT}
        process = subprocess.Popen(
            [sys.executable, "-X", "importtime", "-m", "pomeloglade_platform"],
            env={**os.environ, "POMELOGLADE_BOOT": str(settings)},
            text=True,
            **{**streams, **options},
        )
        processes.append(process)
        return process

    yield start_process
    for process in processes:
        process.kill()
        process.wait()


def read_until(process, text, stream=None):
    """Return the output up to the first line with ``text``, or to its end."""
    lines = []
    for line in stream or process.stdout:
        lines.append(line)
        if text in line:
            break
    return "".join(lines)


def start(settings, *arguments):
    return subprocess.run(
        [sys.executable, "-m", "pomeloglade_platform", *arguments],
        env={**os.environ, "POMELOGLADE_BOOT": str(settings)},
        capture_output=True,
        text=True,
        timeout=START_SECONDS,
        check=False,
    )


def test_instance_that_cannot_listen_logs_the_reason_and_exits_with_1(settings):
    with socket.create_server((HOST, 0)) as listener:
        port = listener.getsockname()[1]
        settings.write_text(settings.read_text().replace(f"{HOST}:2", f"{HOST}:{port}"))
        completed = start(settings)
    assert completed.returncode == 1
    assert "not_started" in completed.stdout
    assert str(port) in completed.stdout


IMPORTED_MODULES = ("zope.interface", "msgspec", "pomeloglade.forwarding.instance")
"""Modules that are imported one after the other while a process starts."""


# Guards against a settings change that ends a process while it starts: FAULT.
@pytest.mark.parametrize("module", IMPORTED_MODULES)
def test_sighup_during_the_imports_does_not_end_the_process(launch, module):
    process = launch()
    assert module in read_until(process, f" {module}\n")
    process.send_signal(signal.SIGHUP)
    assert '"started"' in read_until(process, '"started"'), process.wait()
    assert '"reloaded"' in read_until(process, '"reloaded"')
    process.send_signal(signal.SIGTERM)
    assert '"stopped"' in process.stdout.read()
    assert process.wait() == 0


# Guards against a stop during the start that looks like a crash: FAULT.
@pytest.mark.parametrize("module", IMPORTED_MODULES)
def test_sigterm_during_the_imports_ends_the_process_with_0_and_a_line(launch, module):
    process = launch()
    assert module in read_until(process, f" {module}\n")
    process.send_signal(signal.SIGTERM)
    output = process.stdout.read()
    assert process.wait() == 0
    assert '"stopped_early"' in output or '"stopped"' in output


PORTS_BY_PURPOSE = {"callers": 0, "readiness": 1, "peers": 2}
"""The ports that calls need, counted from the settings' first one."""


# Guards against a process that ends as its predecessor still holds a port: FAULT.
@pytest.mark.parametrize("purpose", PORTS_BY_PURPOSE)
def test_port_that_is_in_use_for_a_moment_delays_the_start(launch, free_port, purpose):
    with socket.create_server((HOST, free_port + PORTS_BY_PURPOSE[purpose])):
        process = launch()
        assert '"port_in_use"' in read_until(process, '"port_in_use"')
    assert '"started"' in read_until(process, '"started"'), process.wait()


# Guards against a process that ends for want of a port that no request needs: FAULT.
def test_metrics_port_in_use_does_not_delay_the_start(launch):
    with socket.create_server((HOST, METRICS_PORT)):
        process = launch()
        assert '"started"' in read_until(process, '"started"'), process.wait()
    assert '"port_free"' in read_until(process, '"port_free"')


# Guards against a process that ends as its settings are being written: FAULT.
@pytest.mark.parametrize("written", [0, 4, 200])
def test_settings_file_that_is_being_written_delays_the_start(
    launch, settings, written
):
    # The first four bytes end inside a character.
    whole = "# Zü\n".encode() + settings.read_bytes()
    settings.write_bytes(whole[:written])
    process = launch()
    assert "pomeloglade_platform" in read_until(process, " pomeloglade_platform.store")
    time.sleep(0.5)
    settings.write_bytes(whole)
    assert '"started"' in read_until(process, '"started"'), process.wait()


def test_second_sigterm_does_not_interrupt_the_shutdown(launch):
    process = launch()
    lines = []
    for line in process.stdout:
        lines.append(line)
        if '"started"' in line or '"draining"' in line:
            process.send_signal(signal.SIGTERM)
    output = "".join(lines)
    assert process.wait(START_SECONDS) == 0, output
    assert "Traceback" not in output
    assert '"stopped"' in output


def test_error_names_an_unreadable_settings_file(tmp_path):
    completed = start(tmp_path / "missing.toml")
    assert completed.returncode == 1
    assert "missing.toml" in completed.stderr


@pytest.mark.parametrize(
    "arguments",
    [("--prefill-share", "1.5"), ("--prefill-share", "x"), ("--server-choice", "best")],
)
def test_bad_arguments_are_refused(settings, arguments):
    completed = start(settings, *arguments)
    assert completed.returncode == 2
    assert arguments[0] in completed.stderr


# Guards against a process that ends as its output is closed, or writes lines of log
# into a socket that got the output's number: FAULT.
def test_process_without_standard_streams_starts_and_answers(launch, free_port):
    process = launch(preexec_fn=lambda: os.closerange(0, 3))
    address = (HOST, free_port + PORTS_BY_PURPOSE["readiness"])
    for _ in range(10 * START_SECONDS):
        assert process.poll() is None
        try:
            connection = socket.create_connection(address)
            break
        except ConnectionRefusedError:
            time.sleep(0.1)
    with connection:
        connection.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: entry\r\n\r\n")
        assert connection.recv(4096).startswith(b"HTTP/1.1 503 ")
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0


# Guards against a process that waits for a reader of its output: FAULT.
@pytest.mark.parametrize("module", ["msgspec", "pomeloglade_platform.program"])
def test_process_whose_output_nobody_reads_stops(launch, module):
    readable, writable = os.pipe()
    os.set_blocking(writable, False)
    os.write(writable, b" " * 2**20)
    os.set_blocking(writable, True)
    process = launch(stdout=writable, stderr=subprocess.PIPE)
    assert module in read_until(process, f" {module}\n", process.stderr)
    process.send_signal(signal.SIGTERM)
    assert process.wait(START_SECONDS) == 0
    os.close(readable)
    os.close(writable)


MAX_DESCRIPTORS = 300


# Guards against callers whose connections leave none for readiness, store and servers.
def test_callers_do_not_use_up_the_descriptors(launch, free_port):
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    process = launch(
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    )
    assert '"started"' in read_until(process, '"started"')
    with contextlib.ExitStack() as connections:
        for _ in range(MAX_DESCRIPTORS + 50):
            connection = connections.enter_context(socket.socket())
            connection.connect((HOST, free_port))
            with contextlib.suppress(OSError):
                connection.sendall(b"GET /lookups HTTP")
        time.sleep(0.5)
        ready = connections.enter_context(socket.socket())
        ready.settimeout(2.0)
        ready.connect((HOST, free_port + PORTS_BY_PURPOSE["readiness"]))
        ready.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: entry\r\n\r\n")
        assert ready.recv(4096).startswith(b"HTTP/1.1 503 ")
