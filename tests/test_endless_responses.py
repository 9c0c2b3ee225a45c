"""Servers in trouble that send a body or an event without end."""

import pytest
from tests.forwarding_fakes import Harness, server

from pomeloglade.forwarding.event_stream import MAX_EVENT_BYTES
from pomeloglade.transport.body_memory import (
    MAX_BODY_BYTES,
    MAX_CONTROL_BODY_BYTES,
    MAX_TOTAL_BYTES,
)

PART = b"x" * 65_536


@pytest.fixture
def harness():
    engines = (
        server("pre", "llm", "prefill"),
        server("dec-a", "llm", "decode", 40),
        server("dec-bb", "llm", "decode", 40),
    )
    return Harness(server("a", slots=40), server("bb", slots=40), *engines)


def flood(request, limit):
    """Send parts of a body until the router resets the connection; return the bytes."""
    sent = 0
    while not request.aborted and sent <= limit:
        request.exchange.receive_body(PART)
        sent += len(PART)
    return sent


@pytest.mark.parametrize("target", ["/lookups/1", "/bookings/1"])
def test_body_without_end_is_cut_off_long_before_the_time_limit(harness, target):
    responder, _ = harness.call(target)
    while not responder.done:
        request = harness.network.requests[-1]
        request.begin_answer()
        assert flood(request, 2 * MAX_BODY_BYTES) <= MAX_BODY_BYTES + len(PART)
    assert responder.status == 502
    # A server that sends too much goes on running; its calls did not end it.
    assert harness.quarantine.count_suspected() == 0


def test_many_bodies_without_end_take_bounded_memory(harness):
    """A sound answer beside them is passed on."""
    calls = [harness.call(f"/bookings/{number}")[0] for number in range(60)]
    requests = list(harness.network.requests)
    sound, *endless = requests
    for each in requests:
        each.begin_answer()
    sound.exchange.receive_body(b"ok")
    held = 0
    for _ in range(2 * MAX_TOTAL_BYTES // (len(endless) * len(PART))):
        for each in endless:
            if not each.aborted:
                each.exchange.receive_body(PART)
        going_on = [each for each in endless if not each.aborted]
        held = max(held, harness.body_memory.total)
    assert held <= MAX_TOTAL_BYTES
    assert len(going_on) < len(endless)
    assert not sound.aborted
    sound.end()
    assert [each.body for each in calls if each.status == 200] == [b"ok"]
    for each in endless:
        flood(each, MAX_TOTAL_BYTES)
    assert harness.body_memory.total == 0
    assert all(each.done for each in calls)


@pytest.mark.parametrize(("target", "sends"), [("/digests/1", 1), ("/reports/1", 2)])
def test_stream_that_never_ends_an_event_is_broken_off(harness, target, sends):
    responder, _ = harness.model_call(target)
    for _ in range(sends):
        harness.network.requests[-1].answer_prefill()
        run_ = harness.network.requests[-1]
        run_.begin_answer()
        run_.exchange.receive_body(b"data: ")
        assert flood(run_, 2 * MAX_EVENT_BYTES) <= MAX_EVENT_BYTES + len(PART)
    assert responder.was_aborted
    assert harness.body_memory.total == 0


def test_whole_events_of_a_long_stream_are_passed_on(harness):
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[-1].answer_prefill()
    run_ = harness.network.requests[-1]
    run_.begin_answer()
    for number in range(40):
        run_.event(number, "x" * 65_536)
    run_.end()
    assert responder.done
    assert not responder.was_aborted
    assert len(responder.body) > 2 * MAX_EVENT_BYTES


def test_prefill_answer_without_end_is_cut_off(harness):
    harness.model_call()
    prefill = harness.network.requests[0]
    prefill.begin_answer()
    assert flood(prefill, MAX_BODY_BYTES) <= MAX_CONTROL_BODY_BYTES + len(PART)


def test_error_of_an_engine_without_end_is_cut_off(harness):
    responder, _ = harness.model_call("/digests/1")
    harness.network.requests[-1].answer_prefill()
    run_ = harness.network.requests[-1]
    run_.begin_answer(500)
    assert flood(run_, 2 * MAX_BODY_BYTES) <= MAX_BODY_BYTES + len(PART)
    assert responder.status == 502


# Sound answers to bookings that arrive together were cut off for their total size.
def test_sound_answers_that_arrive_together_are_passed_on(harness):
    calls = [harness.call(f"/bookings/{number}")[0] for number in range(40)]
    requests = list(harness.network.requests)
    for each in requests:
        each.begin_answer()
    for _ in range(MAX_BODY_BYTES // len(PART) // 8):
        for each in requests:
            if not each.aborted:
                each.exchange.receive_body(PART)
    for each in requests:
        if not each.aborted:
            each.end()
    assert [each.status for each in calls] == [200] * len(requests)
