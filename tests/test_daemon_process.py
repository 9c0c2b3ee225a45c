"""Tests of ``pomelogladed`` as a process: signals and ports at its start."""

import os
import signal
import socket
import subprocess
import sys
import time

import pytest

HOST = "127.0.0.1"


@pytest.fixture
def ports():
    with socket.create_server((HOST, 0)) as first, socket.create_server((HOST, 0)) as b:
        return {
            "callers": first.getsockname()[1],
            "peers": b.getsockname()[1],
        }


@pytest.fixture
def launch(ports):
    """Starts a daemon whose output includes a line for each imported module."""
    processes = []

    def start_process(stdout=subprocess.PIPE, **options):
        process = subprocess.Popen(
            [
                *(sys.executable, "-X", "importtime", "-m", "pomeloglade.pomelogladed"),
                *("--instance", "i1", "--availability-zone", "zone-a"),
                *("--platform-url", f"http://{HOST}:1"),
                *("--listen-port", str(ports["callers"])),
                *("--peer-port", str(ports["peers"])),
            ],
            env={**os.environ, "POMELOGLADE_PEER_SECRET": "a secret of the test fleet"},
            stdout=stdout,
            stderr=subprocess.STDOUT if stdout == subprocess.PIPE else subprocess.PIPE,
            text=True,
            **options,
        )
        processes.append(process)
        return process

    yield start_process
    for process in processes:
        process.kill()
        process.wait()


def read_until(stream, text):
    """Return the output up to the first line with ``text``, or to its end."""
    lines = []
    for line in stream:
        lines.append(line)
        if text in line:
            break
    return "".join(lines)


MODULES = ["pomeloglade.process_signals", "twisted.internet.reactor", "typer.main"]


# Guards against a daemon that a signal at its start ends: FAULT.
@pytest.mark.parametrize("module", MODULES)
def test_sighup_during_the_imports_is_kept(launch, module):
    process = launch()
    # The import of the module that installs the handlers comes just before them.
    seen = read_until(process.stdout, module)
    assert module in seen
    if module == MODULES[0]:
        read_until(process.stdout, " | ")
    process.send_signal(signal.SIGHUP)
    assert "pomeloglade:listening" in read_until(
        process.stdout, "pomeloglade:listening"
    ), process.wait()


# Guards against a daemon that ends with a signal's code and no line of log: FAULT.
@pytest.mark.parametrize("module", MODULES[1:])
def test_sigterm_during_the_imports_ends_the_daemon_with_0_and_a_line(launch, module):
    process = launch()
    assert module in read_until(process.stdout, module)
    process.send_signal(signal.SIGTERM)
    output = process.stdout.read()
    assert process.wait() == 0
    assert "stopped_early" in output or "pomeloglade:stopped" in output


# Guards against a stop that fails because nobody reads the output any more: FAULT.
def test_sigterm_during_the_imports_needs_no_reader_of_the_output(launch):
    readable, writable = os.pipe()
    os.close(readable)
    process = launch(stdout=writable)
    os.close(writable)
    assert MODULES[1] in read_until(process.stderr, MODULES[1])
    process.send_signal(signal.SIGTERM)
    process.stderr.read()
    assert process.wait() == 0


# Guards against a daemon that a signal ends once it listens: FAULT.
def test_sighup_of_a_running_daemon_is_logged(launch):
    process = launch()
    assert "pomeloglade:listening" in read_until(
        process.stdout, "pomeloglade:listening"
    )
    process.send_signal(signal.SIGHUP)
    assert "pomeloglade:reloaded" in read_until(process.stdout, "pomeloglade:reloaded")


# Guards against a daemon that ends as its predecessor still holds a port: FAULT.
@pytest.mark.parametrize("purpose", ["callers", "peers"])
def test_port_that_is_in_use_for_a_moment_delays_the_daemon(launch, ports, purpose):
    with socket.create_server((HOST, ports[purpose])):
        process = launch()
        assert "port_in_use" in read_until(process.stdout, "port_in_use")
    assert "pomeloglade:listening" in read_until(
        process.stdout, "pomeloglade:listening"
    ), process.wait()


# Guards against a daemon that ends as its output is closed: FAULT.
def test_daemon_without_standard_streams_starts(launch, ports):
    process = launch(preexec_fn=lambda: os.closerange(0, 3))
    for _ in range(300):
        assert process.poll() is None
        with socket.socket() as connection:
            if not connection.connect_ex((HOST, ports["callers"])):
                return
        time.sleep(0.1)
    pytest.fail("the daemon never listened")
