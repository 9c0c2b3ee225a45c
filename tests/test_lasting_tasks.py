"""Tests of tasks that go on after an error that nobody foresaw."""

from random import Random

import pytest
from tests.forwarding_fakes import Harness, ListLog, server
from twisted.internet.defer import CancelledError, Deferred, fail
from twisted.internet.task import LoopingCall
from twisted.logger import LogPublisher

from pomeloglade import unforeseen_errors
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.lasting_tasks import (
    RESTART_SECONDS,
    guarded,
    keep_running,
    report_failure,
)
from pomeloglade_coordination.lease import LeaseHolder


@pytest.fixture
def log(monkeypatch):
    """Collects the lines of log about errors that nobody foresaw."""
    log = ListLog()
    observers = []

    class Beginner:
        def beginLoggingTo(self, added, **options):  # noqa: N802
            observers.extend(added)

    publisher = LogPublisher(lambda event: [observe(event) for observe in observers])
    monkeypatch.setattr(unforeseen_errors, "globalLogBeginner", Beginner())
    monkeypatch.setattr(report_failure.__globals__["_logger"], "observer", publisher)
    unforeseen_errors.log_unforeseen_errors(log.event)
    return log


# Guards against a periodic task that its first error ends for good: FAULT.
def test_periodic_task_goes_on_after_an_error_and_logs_it(clock, log):
    calls = []

    def step():
        calls.append(clock.seconds())
        raise RuntimeError("no such thing")

    loop = LoopingCall(guarded("versions", step))
    loop.clock = clock
    loop.start(1.0)
    clock.pump([1.0] * 3)
    assert len(calls) == 4
    name, fields = log.events[0]
    assert name == "unforeseen_error"
    assert fields["during"] == "versions failed"
    assert fields["reason"] == "RuntimeError('no such thing')"
    assert fields["place"].startswith("test_lasting_tasks.py:")


# Guards against a process that ends with 0 as one of its tasks has failed: FAULT.
@pytest.mark.parametrize("error", [RuntimeError("odd"), CancelledError()])
def test_task_that_fails_is_started_again_after_a_pause(clock, log, error):
    runs = []

    def start():
        runs.append(clock.seconds())
        return fail(error) if len(runs) < 3 else Deferred()

    keep_running(clock, "registration", start)
    assert len(runs) == 1
    clock.pump([RESTART_SECONDS] * 10)
    assert len(runs) == 3
    assert log.names() == ["unforeseen_error"] * 2


# Guards against checks that stop without a line of log until the process ends: FAULT.
@pytest.mark.parametrize("part", ["quarantine_store", "versions"])
def test_check_of_the_stored_records_goes_on_after_an_error(log, monkeypatch, part):
    harness = Harness(server("d1", "llm", "decode"))
    checks = []

    def broken():
        checks.append(harness.clock.seconds())
        raise RuntimeError("no such thing")

    monkeypatch.setattr(harness.quarantine, "quarantined", broken)
    monkeypatch.setattr(harness.versions, "_services", broken)
    harness.versions.replace_all([])
    getattr(harness, part).start()
    for _ in range(50):
        harness.clock.advance(0.1)
    assert len(checks) > 2
    assert log.names() == ["unforeseen_error"] * len(checks)


# Guards against a lease that is never renewed again after an error: FAULT.
def test_lease_is_acquired_after_an_error_that_nobody_foresaw(log, clock):
    store = MemoryKeyValueStore(clock)
    changes = []

    def on_change():
        changes.append(holder.valid())
        if len(changes) == 2:
            raise RuntimeError("no such thing")

    holder = LeaseHolder(
        clock=clock,
        store=store,
        key="orders",
        holder="entry-1",
        random=Random(1),
        on_change=on_change,
    )
    holder.start()
    # The clock jumps past the lease, whose loss is what the listener fails at.
    clock.advance(60.0)
    for _ in range(100):
        clock.advance(0.1)
    assert changes[:2] == [True, False]
    assert holder.valid()
    assert "unforeseen_error" in log.names()
