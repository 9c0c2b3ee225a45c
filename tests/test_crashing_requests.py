"""Requests under which backend servers end, and sound ones beside them."""

import pytest
from tests.forwarding_fakes import Harness, server

from pomeloglade.forwarding.calls import ForwardedCall, Prompt
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.request_keys import part_keys, request_key

CRASHES = 3
"""Servers that end under a request before it is refused."""

TARGETS = ("/lookups/1", "/bookings/1", "/digests/1")
PLAIN_TARGETS = ("/lookups", "/bookings")


@pytest.fixture
def harness():
    """Return a harness with more servers of each service than a request may end."""
    plain = [server("p" * number) for number in range(1, 8)]
    engines = [server("d" * number, "llm", "decode") for number in range(1, 8)]
    return Harness(*plain, *engines)


def crash(harness, request):
    """End the server that a request was sent to."""
    ended = request.header("X-Pomeloglade-Expect-Instance").decode()
    request.reset()
    harness.backends.remove(ended, lenient=False)


def send(harness, target, **options):
    """Send a request and crash every server that it is sent to."""
    start = harness.call if target.startswith(PLAIN_TARGETS) else harness.model_call
    sent = len(harness.network.requests)
    responder, _ = start(target, **options)
    while len(harness.network.requests) > sent:
        sent = len(harness.network.requests)
        crash(harness, harness.network.requests[-1])
    harness.advance(0.5)
    return responder


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


def send_with_parts(harness, *parts, target="/digests"):
    """Send a request that no other is like, but for these parts of its prompt."""
    number = len(harness.network.requests)
    listed = ",".join(f"{part}:100" for part in (*parts, f"own{number}"))
    return send(harness, f"{target}/{number}", parts=listed.encode())


# Guards against requests with one part ending engine after engine: BUDGET (second1,
# issue 25).
@pytest.mark.parametrize("target", ["/digests", "/reports"])
def test_part_under_which_three_engines_ended_is_sent_to_no_more(harness, target):
    for number in range(CRASHES):
        send_with_parts(harness, f"first{number}", "c0", target=target)
    assert len(harness.network.requests) == CRASHES
    refused = send_with_parts(harness, "another", "c0", target=target)
    assert (refused.status, refused.reason) == (503, "ends_servers")
    assert float(refused.headers[b"retry-after"]) > 60.0
    assert len(harness.network.requests) == CRASHES


# Guards against requests with one part ending engine after engine: BUDGET (second1,
# issue 25).
def test_part_that_always_came_with_another_is_found_by_one_more_engine(harness):
    for _ in range(CRASHES):
        send_with_parts(harness, "shared", "c0")
    assert send_with_parts(harness, "shared", "c0").status == 503
    assert send_with_parts(harness, "another", "c0").status == 502
    assert send_with_parts(harness, "one-more", "c0").status == 503
    assert len(harness.network.requests) == CRASHES + 1
    sent = len(harness.network.requests)
    send_with_parts(harness, "shared")
    assert len(harness.network.requests) == sent + 1


# Guards against refusing what shares a caller or parts with it: LOST (second1,
# issue 25).
def test_requests_that_share_other_parts_with_a_crashing_one_are_sent(harness):
    for _ in range(CRASHES):
        send_with_parts(harness, "shared", "session", "c0")
    responder, _ = harness.model_call(
        "/digests/sound", parts=b"shared:100,session:100,own:100"
    )
    run = harness.network.requests[-1]
    assert len(harness.network.requests) == CRASHES + 1
    run.begin_answer()
    run.event(1)
    run.end()
    assert responder.body == b"id: 1\ndata: x\n\n"
    assert send_with_parts(harness, "shared", "session", "c0").status == 503


# Guards against requests with one last part ending engine after engine: BUDGET
# (second1, issue 25).
@pytest.mark.parametrize("parts", ["{}:100,c0:100", "c0:100", "aa:100,{}:100,c0:100"])
def test_last_part_under_which_three_engines_ended_is_sent_to_no_more(harness, parts):
    for number in range(CRASHES):
        listed = parts.format(f"first{number}").encode()
        send(harness, f"/digests/{number}", parts=listed)
    assert len(harness.network.requests) == CRASHES
    refused = send(harness, "/digests/9", parts=parts.format("first9").encode())
    assert (refused.status, refused.reason) == (503, "ends_servers")
    assert len(harness.network.requests) == CRASHES
    # Requests with another last part go on to be sent.
    send(harness, "/digests/10", parts=b"first0:100,first1:100,own10:100")
    assert len(harness.network.requests) == CRASHES + 1


# Guards against refusing sound requests whose own last part was lost beside a crashing
# one.
def test_last_part_that_was_lost_with_a_shared_one_is_not_blamed(harness):
    for number in range(CRASHES):
        send(harness, f"/digests/{number}", parts=b"c0:100,own%d:100" % number)
    sent = len(harness.network.requests)
    send(harness, "/digests/0", parts=b"own0:100")
    assert len(harness.network.requests) == sent + 1


def test_prompt_part_is_not_shown_sound_by_an_answer_that_did_not_use_it(harness):
    for number in range(CRASHES):
        send_with_parts(harness, f"first{number}", "c0")
    assert harness.quarantine.seconds_left(part_keys_of("c0")) > 0
    harness.model_call("/digests/x", parts=b"c1:100,own:100")
    harness.network.requests[-1].answer(400, b"bad")
    for number in range(CRASHES):
        send_with_parts(harness, f"first{number}", "c1")
    assert harness.quarantine.seconds_left(part_keys_of("c1")) > 0


def test_prompt_that_ends_prefill_engines_is_sent_to_no_more():
    prefill = [server("e" * number, "llm", "prefill") for number in range(1, 8)]
    harness = Harness(*prefill, server("dec", "llm", "decode"))
    for _ in range(CRASHES + 1):
        responder = send(harness, "/digests/1")
    assert responder.status == 503
    assert len(harness.network.requests) == CRASHES


def test_error_answer_is_passed_on_if_the_retry_is_quarantined(harness):
    """The first server has answered; the same request ended others meanwhile."""
    responder, _ = harness.call("/lookups/1")
    (first,) = harness.network.requests
    for _ in range(9):
        harness.health.record_failure(
            first.header("X-Pomeloglade-Expect-Instance").decode()
        )
    crashes = [(f"other-{n}", 0, [key_of(first)]) for n in range(CRASHES)]
    harness.quarantine.apply_reported(crashes, [], ReportScope.FLEET)
    first.answer(500, b"the server's own")
    assert (responder.status, responder.body) == (500, b"the server's own")
    assert len(harness.network.requests) == 1


def key_of(request):
    """Return the key of a request of the account ``club`` that was sent."""
    head = request.head
    call = ForwardedCall(
        "", head.method, head.target, "api.example", "", (), request.body, 0.0
    )
    return request_key(call, "club")


def part_keys_of(part):
    return part_keys(Prompt("m", 100, 100, parts=((part, 100), ("own", 100))))
