"""Refusals that a faulty server writes once more on a kept connection.

Guards against a promise not to have run that was made to another request: its caller
would be told to try again, or it would run at a second server, though it has run.
"""

import pytest
from tests.forwarding_fakes import Harness, server

NO_ID = {"x_pomeloglade_attempt_id": None}
EARLIER_ID = {"x_pomeloglade_attempt_id": b"earlier"}


@pytest.fixture
def servers():
    return server("a"), server("bb"), server("ccc")


@pytest.fixture
def harness(servers):
    return Harness(*servers)


def request_of(harness, *, kept):
    request = harness.network.requests[-1]
    request.connection.reused = kept
    return request


@pytest.mark.parametrize("headers", [NO_ID, EARLIER_ID], ids=["no id", "earlier id"])
@pytest.mark.parametrize("status", [503, 421, 429])
def test_copy_of_a_refusal_on_a_kept_connection_promises_nothing(
    servers, status, headers
):
    # Without budget for a retry, the caller would be told that the lookup has not run.
    harness = Harness(*servers, slack=0.0)
    responder, _ = harness.call("/lookups/1")
    request_of(harness, kept=True).reject(status, **headers)
    assert responder.status == 502
    assert harness.network.requests[0].aborted


def test_lookup_that_may_have_run_counts_as_a_run(harness):
    responder, _ = harness.call("/lookups/1")
    request_of(harness, kept=True).reject(**NO_ID)
    request_of(harness, kept=True).reject(**NO_ID)
    assert len(harness.network.requests) == 2
    assert responder.status == 502


def test_answer_that_follows_the_copy_reaches_no_other_call(harness):
    responder, _ = harness.call("/lookups/1")
    request_of(harness, kept=True).reject(**NO_ID)
    assert harness.network.requests[0].aborted
    request_of(harness, kept=False).answer(200, b"whole")
    assert (responder.status, responder.body) == (200, b"whole")


def test_refusal_with_the_calls_id_is_a_promise_on_any_connection(harness):
    responder, _ = harness.call("/lookups/1")
    for _ in range(3):
        request_of(harness, kept=True).reject()
    assert (responder.status, responder.reason) == (503, "servers_full")


@pytest.mark.parametrize("target", ["/lookups/1", "/bookings/1"])
def test_refusal_without_an_id_is_a_promise_on_a_new_connection(harness, target):
    responder, _ = harness.call(target)
    for _ in range(3):
        request_of(harness, kept=False).reject(**NO_ID)
    assert (responder.status, responder.reason) == (503, "servers_full")


def test_booking_is_not_sent_again_after_the_copy_of_a_refusal(harness):
    # Bookings have connections of their own; this one is as if it had not.
    responder, _ = harness.call("/bookings/1")
    request_of(harness, kept=True).reject(**NO_ID)
    assert responder.status == 502
    assert len(harness.network.requests) == 1


def test_stream_is_not_sent_again_after_the_copy_of_a_refusal():
    harness = Harness(server("d", "llm", "decode"), server("dd", "llm", "decode"))
    responder, _ = harness.model_call("/digests/1")
    request_of(harness, kept=True).reject(**NO_ID)
    assert responder.status == 502
    assert len(harness.network.requests) == 1


def test_handle_in_a_prefills_answer_without_an_id_is_not_fetched():
    # A copy of an earlier prefill's answer names the KV cache of another prompt.
    harness = Harness(
        server("p", "llm", "prefill"),
        server("d", "llm", "decode"),
        server("dd", "llm", "decode"),
    )
    harness.model_call("/reports/1")
    request_of(harness, kept=True).answer_prefill("other", **NO_ID)
    assert harness.network.requests[0].aborted
    assert not any(
        each.header("X-Pomeloglade-Kv-Source") for each in harness.network.requests
    )
