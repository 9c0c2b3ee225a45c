"""The registration of an instance stays in the store, whatever writes are done late."""

from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.forwarding_fakes import ListLog
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from pomeloglade.forwarding import registration
from pomeloglade.forwarding.registration import (
    LEASE_SECONDS,
    RENEW_SECONDS,
    RETRY_SECONDS,
    Registration,
    StoredValue,
)
from pomeloglade_coordination.errors import KeyValueOutcomeUnknownError
from pomeloglade_coordination.key_value import MemoryKeyValueStore

KEY = "i/a"
TIMEOUT_SECONDS = 1.0
"""Time after which a call without an answer fails."""

REGISTERED_WITHIN = RENEW_SECONDS + RETRY_SECONDS + 0.5
NEVER = float("inf")


class LateStore:
    """A client of a store that carries out some calls late and does not answer them.

    ``delays`` has one delay a call, in their order; a delay of ``None`` stands for a
    call that is answered at once, and ``NEVER`` for one that is lost before the store.
    """

    def __init__(self, clock, shared, delays=()):
        self._clock = clock
        self._shared = shared
        self.era = shared.era
        self.delays = list(delays)

    def grant_lease(self, time_to_live):
        return self._call(self._shared.grant_lease, time_to_live)

    def renew_lease(self, lease):
        return self._call(self._shared.renew_lease, lease)

    def put(self, key, value, **options):
        return self._call(self._shared.put, key, value, **options)

    def _call(self, method, *args, **options):
        delay = self.delays.pop(0) if self.delays else None
        if delay is None:
            return method(*args, **options)
        if delay < NEVER:
            self._clock.callLater(delay, self._carry_out, method, args, options)
        answer = Deferred()
        lost = KeyValueOutcomeUnknownError("no answer")
        self._clock.callLater(TIMEOUT_SECONDS, answer.errback, lost)
        return answer

    def _carry_out(self, method, args, options):
        method(*args, **options).addErrback(lambda _: None)


@pytest.fixture
def shared(clock):
    clock.advance(100.0)
    return MemoryKeyValueStore(clock)


def register(clock, shared, delays=(), value=b"here"):
    """Start a registration whose copy of the store is current."""
    store = LateStore(clock, shared, delays)
    log = ListLog()

    def stored():
        snapshot = shared.snapshot(KEY).result
        values = [each.value for each in snapshot.entries if each.key == KEY]
        return StoredValue(values[0] if values else None, snapshot.revision)

    task = Registration(clock, store, KEY, lambda: value, log, stored).start()
    task.addErrback(lambda _: None)
    return task, log


def run(clock, seconds):
    for _ in range(round(seconds / 0.1)):
        clock.advance(0.1)


def registered(shared):
    entry = shared.get(KEY).result
    return None if entry is None else entry.value


def test_write_that_is_carried_out_late_does_not_end_the_registration(clock, shared):
    # The late write tied the key to the first lease, which nobody renewed.
    register(clock, shared, delays=[None, 3.0])
    run(clock, 3 * LEASE_SECONDS)
    for _ in range(100):
        run(clock, 0.1)
        assert registered(shared) == b"here"


def test_late_write_of_the_run_before_is_replaced(clock, shared):
    earlier, _ = register(clock, shared, delays=[None, 3.0])
    run(clock, 0.5)
    earlier.cancel()
    run(clock, 1.0)
    register(clock, shared)
    for _ in range(300):
        run(clock, 0.1)
        assert registered(shared) == b"here"


def test_registration_of_the_run_before_is_replaced(clock, shared):
    earlier, _ = register(clock, shared, value=b"at the earlier address")
    run(clock, 1.0)
    earlier.cancel()
    register(clock, shared)
    assert registered(shared) == b"here"
    for _ in range(200):
        run(clock, 0.1)
        assert registered(shared) == b"here"


@pytest.mark.parametrize("change", ["delete", "overwrite"])
def test_key_that_another_process_changed_is_written_again(clock, shared, change):
    """Renewals of the lease go on to succeed, so they don't show the change."""
    _, log = register(clock, shared)
    run(clock, 1.0)
    if change == "delete":
        shared.delete(KEY)
    else:
        shared.put(KEY, b"[")
    run(clock, REGISTERED_WITHIN)
    assert registered(shared) == b"here"
    assert log.names().count("instance_unregistered") == 1
    run(clock, 3 * LEASE_SECONDS)
    assert registered(shared) == b"here"


def test_copy_older_than_the_write_does_not_cause_another(clock, shared):
    log = ListLog()
    stored = StoredValue(None, 0)
    Registration(clock, shared, KEY, lambda: b"here", log, lambda: stored).start()
    run(clock, 4 * LEASE_SECONDS)
    assert log.names() == ["instance_registered"]


def test_conflicts_without_end_are_retried_after_a_pause(clock, shared):
    calls = []
    put = shared.put

    def contended(key, value, **options):
        calls.append(clock.seconds())
        put(key, b"other")
        return put(key, value, **options)

    shared.put = contended
    register(clock, shared)
    run(clock, 10.0)
    assert len(calls) <= 3 * (10.0 / RETRY_SECONDS + 1)
    shared.put = put
    run(clock, REGISTERED_WITHIN)
    assert registered(shared) == b"here"


delays = st.one_of(
    st.none(), st.sampled_from([0.0, 0.5, 2.0, 3.5, 6.0, NEVER]), st.floats(0.0, 6.0)
)


@given(st.lists(st.lists(delays, max_size=8), min_size=1, max_size=3), st.integers())
def test_registration_stays_after_any_late_writes_of_several_runs(runs, seed):
    clock = Clock()
    clock.advance(100.0)
    shared = MemoryKeyValueStore(clock)
    random = Random(seed)
    task = None
    for each in runs:
        if task is not None:
            task.cancel()
        task, _ = register(clock, shared, each)
        run(clock, random.uniform(0.1, 8.0))
    # All late calls have been carried out, and one renewal has followed.
    run(clock, 8 * (TIMEOUT_SECONDS + RENEW_SECONDS) + 6.0)
    for _ in range(200):
        run(clock, 0.1)
        assert registered(shared) == b"here"


def test_lease_of_a_lost_grant_ends_by_itself(clock, shared):
    register(clock, shared, delays=[0.0])
    run(clock, 2 * LEASE_SECONDS)
    assert registered(shared) == b"here"
    assert shared.grant_lease(timedelta(seconds=1)).result.endswith("-3")


def test_registration_is_kept_while_renewals_are_lost(clock, shared):
    _, log = register(clock, shared, delays=[None, None, NEVER, NEVER])
    run(clock, 2 * LEASE_SECONDS)
    assert registered(shared) == b"here"
    assert "instance_lapsed" not in log.names()


def test_store_that_refuses_is_asked_again(clock, shared):
    grant = shared.grant_lease
    shared.grant_lease = lambda _: fail(KeyValueOutcomeUnknownError("down"))
    register(clock, shared)
    run(clock, 2.0)
    shared.grant_lease = grant
    run(clock, REGISTERED_WITHIN)
    assert registered(shared) == b"here"


@pytest.fixture
def reported(monkeypatch):
    """Errors that were reported as unforeseen, with the tasks that met them."""
    errors = []
    monkeypatch.setattr(
        registration,
        "report_failure",
        lambda failure, task: errors.append((failure.value, task)),
    )
    return errors


# Guards against an error that ends the registration, and the process with it: FAULT.
@pytest.mark.parametrize("call", ["grant_lease", "renew_lease", "put"])
def test_unforeseen_error_of_the_store_does_not_end_the_registration(
    clock, shared, monkeypatch, reported, call
):
    broken = RuntimeError("an answer that nobody foresaw")
    with monkeypatch.context() as patch:
        patch.setattr(LateStore, call, lambda *_, **options: fail(broken))
        task, _ = register(clock, shared)
        run(clock, RENEW_SECONDS + RETRY_SECONDS)
        assert not task.called
        assert (broken, "registration") in reported
    run(clock, REGISTERED_WITHIN)
    assert registered(shared) == b"here"
    run(clock, 2 * LEASE_SECONDS)
    assert registered(shared) == b"here"


def test_registration_that_is_started_again_ties_the_key_to_its_new_lease(
    clock, shared
):
    task = Registration(clock, shared, KEY, lambda: b"here", ListLog())
    first = task.start()
    first.addErrback(lambda _: None)
    run(clock, 1.0)
    first.cancel()
    task.start()
    for _ in range(300):
        run(clock, 0.1)
        assert registered(shared) == b"here"
