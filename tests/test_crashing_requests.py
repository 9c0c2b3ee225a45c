"""Requests under which backend servers end, and sound ones beside them."""

import pytest
from tests.forwarding_fakes import Harness, server

CRASHES = 3
"""Servers that end under a request before it is refused."""


@pytest.fixture
def harness():
    """Return a harness whose first two services have more servers than may end."""
    plain = [server("p" * number) for number in range(1, 8)]
    engines = [server("d" * number, "llm", "decode") for number in range(1, 8)]
    return Harness(*plain, *engines)


def crash(harness, request):
    """End the server that a request was sent to; it comes back as another run."""
    ended = request.header("X-Pomeloglade-Expect-Instance").decode()
    request.reset()
    harness.backends.remove(ended, lenient=False)


def send(harness, target):
    """Send a request and crash every server that it is sent to."""
    start = harness.model_call if target.startswith("/digests") else harness.call
    sent = len(harness.network.requests)
    responder, _ = start(target)
    while len(harness.network.requests) > sent:
        sent = len(harness.network.requests)
        crash(harness, harness.network.requests[-1])
    harness.advance(0.5)
    return responder


TARGETS = ("/lookups/1", "/bookings/1", "/digests/1")


# Guards against repeats of a request under which servers end: BUDGET (inc1, issue 25).
@pytest.mark.parametrize("target", TARGETS)
def test_request_under_which_three_servers_ended_is_sent_to_no_more(harness, target):
    for _ in range(CRASHES):
        send(harness, target)
    assert len(harness.network.requests) == CRASHES
    refused = send(harness, target)
    assert refused.status == 503
    assert float(refused.headers[b"retry-after"]) > 60.0
    assert len(harness.network.requests) == CRASHES


# Guards against repeats of a request under which servers end: BUDGET (inc1, issue 25).
def test_call_is_not_sent_again_once_three_servers_have_ended_under_its_request(
    harness,
):
    for _ in range(2):
        assert send(harness, "/lookups/1").status == 502
    assert len(harness.network.requests) == CRASHES


@pytest.mark.parametrize("target", TARGETS)
def test_other_requests_beside_one_that_crashes_servers_are_sent(harness, target):
    for _ in range(CRASHES):
        send(harness, target)
    sent = len(harness.network.requests)
    send(harness, target + "0")
    assert len(harness.network.requests) > sent
