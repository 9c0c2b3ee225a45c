"""Zones out of use: no request reaches their servers, and others serve the calls."""

import pytest
from tests.forwarding_fakes import Harness, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import MAX_COPY_AGE_SECONDS
from pomeloglade.forwarding.zone_evacuations import (
    RETURN_COST,
    RETURN_SECONDS,
    ZoneEvacuations,
)
from pomeloglade_coordination.key_value import Entry


@pytest.fixture
def plain_servers():
    return [
        server("near", slots=6),
        server("far-one", slots=6, zone="zone-b"),
        server("far-other", slots=6, zone="zone-b"),
    ]


@pytest.fixture
def engines():
    return [
        server("pre-far", "llm", "prefill", zone="zone-b"),
        server("dec", "llm", "decode"),
        server("dec-other", "llm", "decode"),
        server("dec-far", "llm", "decode", zone="zone-b"),
    ]


@pytest.fixture
def harness(plain_servers):
    return Harness(*plain_servers)


@pytest.fixture
def model_harness(engines):
    harness = Harness(*engines)
    harness.store_view.on_change = harness.queue.place_waiting
    return harness


def evacuate(harness, zone="zone-b", value=b"{}"):
    entry = Entry(f"op/evacuate/{zone}", value, 5)
    assert harness.store_view.urgent(entry)
    harness.store_view.apply_change(entry, lenient=False)


def end_evacuation(harness, zone="zone-b"):
    evacuate(harness, zone, b"")


def counts_by_address(harness, calls, target="/bookings/1"):
    before = len(harness.network.requests)
    for _ in range(calls):
        harness.call(target)
    counts = {}
    for request in harness.network.requests[before:]:
        counts[request.address] = counts.get(request.address, 0) + 1
    return counts


# Guards against requests to a zone that the operator has emptied.
def test_servers_of_a_zone_out_of_use_get_no_calls(harness, plain_servers):
    assert len(counts_by_address(harness, 9)) == 3
    evacuate(harness)
    # Urgent also if it is known: a member that started later may not know it.
    evacuate(harness)
    assert set(counts_by_address(harness, 9)) == {plain_servers[0].address}
    assert ("zone_taken_out", {"zone": "zone-b", "revision": 5, "age": 0.0}) in (
        harness.log.events
    )
    end_evacuation(harness)
    assert harness.log.events[-1][0] == "zone_returned"


# Guards against sending on a connection that was opened before the zone was emptied.
def test_call_that_connects_to_such_a_server_goes_elsewhere(harness, plain_servers):
    near, *far = plain_servers
    for each in far:
        harness.network.slow[each.address] = None
    for _ in range(3):
        harness.loads.begin(near.id, 0)
    responder, _ = harness.call("/bookings/1")
    evacuate(harness)
    connecting = next(e for e in far if harness.network.slow[e.address] is not None)
    harness.network.connect(connecting.address)
    (request,) = harness.network.requests
    assert request.address == near.address
    request.answer()
    assert responder.status == 200


# Guards against holding calls until their time limit when nothing may serve them.
def test_service_without_a_zone_in_use_refuses_at_once(harness):
    evacuate(harness)
    evacuate(harness, "zone-a")
    for target in ("/bookings/1", "/lookups/1"):
        responder, _ = harness.call(target)
        assert (responder.status, responder.reason) == (503, "zone_out_of_use")
        assert float(responder.headers[b"retry-after"]) > 0
    assert not harness.network.requests


def test_waiting_model_calls_are_refused_once_no_zone_is_in_use(model_harness):
    evacuate(model_harness)
    for _ in range(50):
        model_harness.queue.record_duration(0.1)
    responders = [model_harness.model_call()[0] for _ in range(6)]
    waiting = len(model_harness.queue)
    assert waiting
    evacuate(model_harness, "zone-a")
    assert not len(model_harness.queue)
    reasons = [each.reason for each in responders if each.done]
    assert reasons == ["zone_out_of_use"] * waiting


# Guards against fetching a KV cache from an engine out of use, which is a request to
# its zone although another engine sends it.
@pytest.mark.parametrize("when", ["prefilling", "prefilled"])
def test_kv_cache_of_an_engine_out_of_use_is_not_fetched(model_harness, engines, when):
    prefill, *decodes, _ = engines
    responder, _ = model_harness.model_call()
    if when == "prefilled":
        model_harness.network.requests[0].answer_prefill()
        rejecting = model_harness.network.requests[1]
        evacuate(model_harness)
        rejecting.reject()
    else:
        evacuate(model_harness)
        model_harness.network.requests[0].answer_prefill()
    sent = model_harness.network.requests[-1]
    assert sent.address in {each.address for each in decodes}
    assert sent.header("X-Pomeloglade-Kv-Source") is None
    assert len(model_harness.network.requests_to(prefill.address)) == 1
    sent.begin_answer()
    sent.event(1)
    sent.end()
    assert responder.status == 200


# Guards against cutting streams off: running calls are left to complete.
def test_running_stream_goes_on_in_a_zone_out_of_use(model_harness):
    responder, _ = model_harness.model_call()
    model_harness.network.requests[0].answer_prefill()
    run = model_harness.network.requests[1]
    run.begin_answer()
    run.event(1)
    evacuate(model_harness)
    evacuate(model_harness, "zone-a")
    run.event(2)
    run.end()
    assert responder.done
    assert not responder.was_aborted


# Guards against requests of an instance itself: probes, also ones that connect.
def test_servers_out_of_use_are_not_probed(harness, plain_servers):
    _, far, _ = plain_servers
    harness.network.slow[far.address] = None
    harness.probes.probe(far)
    evacuate(harness)
    harness.network.connect(far.address)
    harness.probes.probe(far)
    assert not harness.network.requests


def share_of_the_zone(harness, servers, seconds):
    """Return the zone's share of 200 calls a second, answered after 60 ms each."""
    before = len(harness.network.requests)
    for _ in range(round(seconds / 0.005)):
        harness.call("/bookings/1")
        request = harness.network.requests[-1]
        harness.clock.callLater(0.06, request.answer)
        harness.clock.advance(0.005)
    sent = harness.network.requests[before:]
    zone = {each.address for each in servers if each.availability_zone == "zone-b"}
    return sum(each.address in zone for each in sent) / len(sent)


# Guards against a burst that meets the empty servers of a zone that has returned.
def test_share_of_a_returning_zone_rises_gradually(harness, plain_servers):
    usual = share_of_the_zone(harness, plain_servers, 0.5)
    evacuate(harness)
    assert share_of_the_zone(harness, plain_servers, 0.5) == 0
    end_evacuation(harness)
    assert harness.backends.return_cost(plain_servers[1]) == RETURN_COST
    shares = [
        share_of_the_zone(harness, plain_servers, RETURN_SECONDS / 4) for _ in range(5)
    ]
    # At first the other server still has the calls of all three.
    assert 0 < max(shares[:2]) < 0.75 * usual
    assert shares[1:] == sorted(shares[1:])
    assert shares[-1] == pytest.approx(usual, abs=0.05)
    assert harness.backends.return_cost(plain_servers[1]) == 1.0


# Guards against calls that wait for engines during an evacuation going to one engine
# that has just returned, and against prefills doing so.
def test_returning_engines_are_chosen_after_equally_busy_ones(model_harness, engines):
    prefill, _, _, returning = engines
    model_harness.backends.put(server("pre-near", "llm", "prefill", zone="zone-a"))
    evacuate(model_harness)
    model_harness.model_call(prompt=3000)
    end_evacuation(model_harness)
    model_harness.model_call(prompt=3000)
    assert not model_harness.network.requests_to(prefill.address)
    model_harness.model_call(prompt=3000)
    assert not model_harness.loads.total(returning.id).calls


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def evacuations(clock):
    evacuations = ZoneEvacuations(clock, kept_seconds=MAX_COPY_AGE_SECONDS)
    evacuations.put("zone-b", 7)
    return evacuations


# Guards against using a zone again because a restored copy lacks the operator's key.
def test_zone_stays_out_of_use_if_a_restored_store_lacks_it(clock, evacuations):
    evacuations.replace_all({}, restored=True)
    evacuations.replace_all({}, restored=False)
    clock.advance(MAX_COPY_AGE_SECONDS - 0.1)
    assert evacuations.out_of_use("zone-b")
    clock.advance(0.2)
    assert not evacuations.out_of_use("zone-b")


def test_key_written_again_after_a_restoration_holds_until_it_is_removed(
    clock, evacuations
):
    evacuations.replace_all({}, restored=True)
    evacuations.put("zone-b", 3)
    clock.advance(2 * MAX_COPY_AGE_SECONDS)
    assert evacuations.out_of_use("zone-b")
    evacuations.remove("zone-b", 4)
    assert not evacuations.out_of_use("zone-b")


def test_zone_missing_in_a_later_read_of_the_same_store_has_returned(evacuations):
    evacuations.replace_all({"zone-c": 9}, restored=False)
    assert not evacuations.out_of_use("zone-b")
    assert evacuations.out_of_use("zone-c")
