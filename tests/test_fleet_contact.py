"""Streams that are taken up at an instance which was out of step with the others.

Guards against joining events of two software versions: the instance was cut off or
stood still while a version joined and began the stream at another instance (ORDER).
"""

from dataclasses import replace

import pytest
from tests.forwarding_fakes import Harness, server
from tests.report_fleet import SETTLED_SECONDS, SIZES, Fleet
from tests.test_stream_versions import engine_of, take_up
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from pomeloglade.forwarding.fleet_contact import CATCH_UP_SECONDS, FleetContact
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.stream_origins import ORIGIN_SECONDS
from pomeloglade.forwarding.version_history import CONFIRM_SECONDS
from pomeloglade.protocol.software_versions import VersionRecord, encode, store_key
from pomeloglade_coordination.errors import KeyValueUnavailableError

ALL, MOST, FEW = (6, 6), (4, 6), (3, 6)


@pytest.fixture
def harness():
    """Return an instance that knows v1 only, with v2 on record in the store."""
    engines = [
        replace(server(name, "llm", "decode"), software_version="v1")
        for name in ("dec-a", "dec-bb")
    ]
    harness = Harness(server("pre", "llm", "prefill"), *engines)
    harness.backends.replace_all(engines, lenient=False)
    # The prefill engine has left, and is no version of the last minute any more.
    harness.advance(ORIGIN_SECONDS + 1.0)
    record(harness, {"v1": None, "v2": None})
    return harness


def record(harness, versions):
    harness.store.put(store_key("llm"), encode(VersionRecord(versions)))


@pytest.mark.parametrize("coverage", [FEW, MOST])
@pytest.mark.parametrize("first_call_id", [None, b"unknown"])
def test_stream_of_a_version_that_joined_meanwhile_is_not_taken_up(
    harness, coverage, first_call_id
):
    harness.coverage = coverage
    refused = take_up(harness, first_call_id)
    assert (refused.status, refused.reason) == (503, "stream_origin_unknown")
    assert refused.headers[b"retry-after"]
    assert harness.network.requests == []


def test_instance_that_has_just_heard_the_others_again_reads_the_store(harness):
    harness.coverage = ALL
    harness.contact.record_return()
    assert take_up(harness, b"unknown").reason == "stream_origin_unknown"


@pytest.mark.parametrize("coverage", [FEW, MOST])
def test_stream_is_taken_up_once_the_store_shows_one_version(harness, coverage):
    record(harness, {"v1": None})
    harness.coverage = coverage
    take_up(harness, b"unknown")
    (request,) = harness.network.requests
    assert request.header("Last-Event-Id") == b"1"


def test_instance_in_step_calls_no_store(harness):
    harness.coverage = ALL
    calls = harness.versions.calls
    take_up(harness, b"unknown")
    assert len(harness.network.requests) == 1
    assert harness.versions.calls == calls


@pytest.mark.parametrize("coverage", [FEW, MOST])
@pytest.mark.parametrize("silent", [True, False])
def test_without_the_store_only_instances_with_most_others_take_up(
    harness, coverage, silent
):
    harness.coverage = coverage
    down = KeyValueUnavailableError("down")
    harness.store.get = lambda key: Deferred() if silent else fail(down)
    responder = take_up(harness, b"unknown")
    if silent:
        assert not responder.done
        harness.advance(CONFIRM_SECONDS + 0.1)
    if coverage == MOST:
        assert len(harness.network.requests) == 1
    else:
        assert responder.reason == "stream_origin_unknown"
        assert harness.network.requests == []


def test_version_that_others_report_is_known_before_the_store_is_read(harness):
    # The instance is in step with the others, but not with the store.
    harness.coverage = ALL
    reported = {"llm": {"v2": ["another stream"]}}
    harness.origins.apply_reported(reported, ReportScope.FLEET)
    assert take_up(harness, None).reason == "stream_origin_unknown"
    harness.advance(ORIGIN_SECONDS + 1.0)
    take_up(harness, None)
    assert engine_of(harness, harness.network.requests[-1]) in ("dec-a", "dec-bb")


def test_origin_that_is_reported_while_the_store_is_read_is_used(harness):
    harness.coverage = FEW
    answer = Deferred()
    harness.store.get = lambda key: answer
    take_up(harness, b"first")
    reported = {"llm": {"v1": ["first"]}}
    harness.origins.apply_reported(reported, ReportScope.FLEET)
    answer.callback(None)
    assert engine_of(harness, harness.network.requests[-1]) in ("dec-a", "dec-bb")


@pytest.mark.parametrize("size", SIZES)
def test_instance_is_in_step_unless_it_stood_still_or_is_cut_off(size):
    fleet = Fleet(size)
    fleet.run(CATCH_UP_SECONDS)
    assert all(each.relay.fleet_contact.with_all() for each in fleet.instances)
    fleet.cut_zone = "zone-a"
    fleet.run(SETTLED_SECONDS)
    cut = [each for each in fleet.instances if each.zone == "zone-a"]
    assert not any(each.relay.fleet_contact.with_most() for each in cut)
    assert not any(each.relay.fleet_contact.with_all() for each in fleet.instances)
    fleet.cut_zone = None
    fleet.run(SETTLED_SECONDS + CATCH_UP_SECONDS)
    assert all(each.relay.fleet_contact.with_all() for each in fleet.instances)


def test_instance_that_stood_still_is_not_in_step_before_or_after_it_hears_others():
    clock = Clock()
    heard_at = [0.0] * 5
    contact = FleetContact(
        clock, lambda: (1 + sum(clock.seconds() - at <= 0.8 for at in heard_at), 6)
    )
    clock.advance(0.5)
    assert contact.with_all()
    # Its timers and sockets did not run meanwhile.
    clock.advance(3.0)
    assert not contact.with_most()
    heard_at[:] = [clock.seconds()] * 5
    contact.record_return()
    assert not contact.with_most()
    clock.advance(CATCH_UP_SECONDS)
    heard_at[:] = [clock.seconds()] * 5
    assert contact.with_all()


def test_instance_alone_is_in_step():
    contact = FleetContact(Clock(), lambda: (1, 1))
    assert contact.with_all()
    assert contact.with_most()
