"""Tests of the key-value client against the stand-in service, without sockets."""

from datetime import timedelta

import pytest
from treq.testing import StubTreq
from twisted.internet.defer import fail
from twisted.internet.error import ConnectionRefusedError

from pomeloglade.transport.key_value import HttpKeyValueStore
from pomeloglade_coordination.errors import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from pomeloglade_coordination.key_value import ABSENT
from pomeloglade_standins.key_value import Faults, KeyValueService

CALL_SECONDS = 2.0


pytestmark = pytest.mark.filterwarnings("ignore:Using readBody with a transport")


class RefusingClient:
    """A client whose connections are refused."""

    def request(self, method, url, **options):
        """Fail with a refused connection."""
        return fail(ConnectionRefusedError())


@pytest.fixture
def service(clock):
    return KeyValueService(clock)


@pytest.fixture
def stub(service):
    return StubTreq(service.app.resource())


@pytest.fixture
def store(clock, stub):
    return HttpKeyValueStore(clock, "http://127.0.0.1:1", stub, name="i1")


@pytest.fixture
def result(stub):
    def result(deferred):
        results = []
        deferred.addBoth(results.append)
        stub.flush()
        return results[0] if results else None

    return result


def test_values_and_unusual_keys_round_trip(store, result):
    for key in ("configuration", "a//b/", "claims/ä %2F?x=1&y#z", "a/../b"):
        value = key.encode() + bytes(range(256))
        revision = result(store.put(key, value, expected=ABSENT))
        entry = result(store.get(key))
        assert (entry.key, entry.value, entry.revision) == (key, value, revision)
    assert [entry.key for entry in result(store.list("a/"))] == ["a/../b", "a//b/"]
    result(store.delete("a//b/", expected=result(store.get("a//b/")).revision))
    assert result(store.get("a//b/")) is None


def test_conflict_has_the_key_and_the_actual_revision(store, result):
    revision = result(store.put("a", b"1"))
    for change in (
        store.put("a", b"2", expected=ABSENT),
        store.delete("a", expected=revision + 7),
    ):
        failure = result(change)
        assert failure.check(RevisionConflictError)
        assert (failure.value.key, failure.value.actual) == ("a", revision)


def test_expired_lease_deletes_its_key_and_completes_the_watch(
    store, result, stub, clock, service
):
    lease = result(store.grant_lease(timedelta(seconds=5)))
    revision = result(store.put("instances/i1", b"x", lease=lease))
    results = []
    store.watch("instances/", revision, timedelta(seconds=60)).addCallback(
        results.extend
    )
    assert service.counters.waiting_watches == 1
    clock.advance(4)
    assert result(store.renew_lease(lease)) is None
    clock.advance(4)
    assert not results
    clock.advance(1)
    stub.flush()
    assert [(entry.key, entry.value) for entry in results] == [("instances/i1", b"")]
    assert result(store.renew_lease(lease)).check(LeaseNotFoundError)
    assert service.counters.calls_by_operation["watch"] == 1


@pytest.mark.parametrize("faults", [Faults(down=True), None])
def test_refused_call_is_not_applied(clock, store, result, service, faults):
    if faults is None:
        store = HttpKeyValueStore(clock, "http://127.0.0.1:1", RefusingClient())
    else:
        service.set_faults(faults)
    for call in (store.put("a", b"1"), store.get("a"), store.renew_lease("x")):
        failure = result(call)
        assert failure.check(KeyValueUnavailableError)
        assert failure.value.peer == "key-value service"
    assert failure.value.step == "renew"
    assert not service.store._entries_by_key


def test_lost_response_leaves_the_outcome_of_a_write_unknown(store, result, service):
    service.set_faults(Faults(lose_answers=1))
    failure = result(store.put("a", b"1"))
    assert failure.check(KeyValueOutcomeUnknownError)
    assert failure.value.step == "put"
    assert result(store.get("a")).value == b"1"


def test_every_call_without_a_response_times_out(store, result, service, clock):
    service.set_faults(Faults(unreachable=True, silent_watches=True))
    calls = {
        "get": store.get("a"),
        "put": store.put("a", b"1"),
        "watch": store.watch("a", 0, timedelta(seconds=10)),
    }
    failures = {}
    for name, call in calls.items():
        call.addErrback(lambda failure, name=name: failures.update({name: failure}))
    clock.advance(CALL_SECONDS)
    assert failures["get"].check(KeyValueUnavailableError)
    assert failures["put"].check(KeyValueOutcomeUnknownError)
    assert "no answer within 2s" in failures["put"].getErrorMessage()
    assert "watch" not in failures
    clock.advance(10)
    assert failures["watch"].check(KeyValueUnavailableError)


def test_fault_for_one_client_does_not_affect_another(
    clock, stub, store, result, service
):
    service.set_faults(Faults(cut_clients=("i1",)))
    other = HttpKeyValueStore(clock, "http://127.0.0.1:1", stub, name="i2")
    assert result(store.get("a")) is None
    assert isinstance(result(other.put("a", b"1")), int)
    assert service.counters.calls_by_operation["get"] == 1


def test_slow_write_is_applied_after_its_timeout(store, result, stub, service, clock):
    service.set_faults(Faults(slow_seconds=5))
    results = []
    store.put("a", b"1").addBoth(results.append)
    clock.advance(CALL_SECONDS)
    assert results[0].check(KeyValueOutcomeUnknownError)
    clock.advance(3)
    service.set_faults(Faults())
    assert result(store.get("a")).value == b"1"


def test_value_over_the_limit_is_refused(store, result):
    failure = result(store.put("a", b"x" * 1_000_001))
    assert failure.check(KeyValueError)
    assert "at most 1000000" in str(failure.value)
    assert isinstance(result(store.put("a", b"x" * 1_000_000)), int)
