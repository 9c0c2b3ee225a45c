"""What backend servers say about themselves in answers: leaving, and pauses."""

import pytest
from tests.forwarding_fakes import Harness, server

from pomeloglade.forwarding.instance_reports import Report, decode, encode

PAUSE_SECONDS = 2.0


@pytest.fixture
def plain_servers():
    return server("a"), server("bb")


@pytest.fixture
def harness(plain_servers):
    return Harness(*plain_servers)


@pytest.fixture
def engines():
    return (
        server("pre", "llm", "prefill"),
        server("dec-a", "llm", "decode"),
        server("dec-bb", "llm", "decode"),
    )


@pytest.fixture
def model_harness(engines):
    return Harness(*engines)


def ask_for_a_pause(request, seconds=PAUSE_SECONDS):
    request.reject(503, retry_after=b"%g" % seconds)


def requests_to(harness, target):
    return len(harness.network.requests_to(target.address))


@pytest.mark.parametrize("status", [200, 500, 503])
def test_server_that_says_that_it_leaves_gets_no_more_calls(
    harness, plain_servers, status
):
    responder, _ = harness.call("/lookups/1")
    request = harness.network.requests[0]
    leaving = next(s for s in plain_servers if s.address == request.address)
    if status == 503:
        request.reject(server_leaving=b"1")
    else:
        request.answer(status, b"whole", server_leaving=b"1")
    if status != 200:
        harness.network.requests[1].answer(200, b"whole")
    assert (responder.status, responder.body) == (200, b"whole")
    for _ in range(6):
        harness.call("/bookings/1")
        harness.network.requests[-1].answer()
    assert requests_to(harness, leaving) == 1
    # The store still has the entry from before; another run of the server is welcome.
    harness.backends.put(leaving)
    assert leaving not in harness.backends.serving("api")
    restarted = server(leaving.id, started_ms=7)
    harness.backends.put(restarted)
    assert restarted in harness.backends.serving("api")


def test_call_that_was_placed_at_a_leaving_server_is_placed_again(
    harness, plain_servers
):
    harness.network.slow = dict.fromkeys(s.address for s in plain_servers)
    harness.call("/bookings/1")
    (address,) = (a for a, waiting in harness.network.slow.items() if waiting)
    leaving = next(s for s in plain_servers if s.address == address)
    other = next(s for s in plain_servers if s.address != address)
    harness.backends.mark_leaving(leaving.id, leaving.started_ms)
    del harness.network.slow[other.address]
    harness.network.connect(address)
    assert [each.address for each in harness.network.requests] == [other.address]


def test_stream_of_a_leaving_engine_goes_on(model_harness):
    responder, _ = model_harness.model_call()
    model_harness.network.requests[0].answer_prefill()
    run = model_harness.network.requests[1]
    run.begin_answer(server_leaving=b"1")
    run.event(1)
    run.end()
    assert responder.body == b"id: 1\ndata: x\n\n"
    for _ in range(2):
        model_harness.model_call()
        model_harness.network.requests[-1].answer_prefill()
    assert requests_to(model_harness, run) == 1


def test_prefill_of_a_leaving_engine_is_used_and_the_next_goes_elsewhere(
    model_harness, engines
):
    model_harness.model_call()
    request = model_harness.network.requests[0]
    request.answer_prefill("h1", server_leaving=b"1")
    run = model_harness.network.requests[1]
    assert run.header("X-Pomeloglade-Kv-Source").endswith(b"/h1")
    model_harness.model_call()
    assert requests_to(model_harness, engines[0]) == 1


def test_peers_are_told_which_runs_leave(harness, plain_servers):
    harness.backends.mark_leaving("a", 0)
    report = Report("entry-1", 1, 1, leaving=harness.backends.leaving())
    assert decode(encode(report)).leaving == [("a", 0)]


def test_server_that_asks_for_a_pause_gets_no_call_until_its_end(
    harness, plain_servers
):
    responder, _ = harness.call("/bookings/1")
    first, second = harness.network.requests[0], None
    ask_for_a_pause(first)
    second = harness.network.requests[1]
    assert second.address != first.address
    second.answer(200, b"whole")
    assert responder.body == b"whole"
    for _ in range(9):
        harness.call("/bookings/1")
        harness.advance(PAUSE_SECONDS / 10)
        harness.network.requests[-1].answer()
    assert len(harness.network.requests_to(first.address)) == 1
    assert not harness.health.avoided(plain_servers[0].id)
    harness.advance(PAUSE_SECONDS / 5)
    for _ in range(4):
        harness.call("/bookings/1")
    assert len(harness.network.requests_to(first.address)) > 1


def test_pauses_of_all_servers_refuse_calls_with_the_soonest_end(harness):
    harness.call("/bookings/1")
    ask_for_a_pause(harness.network.requests[0], 2.0)
    ask_for_a_pause(harness.network.requests[1], 0.75)
    sent = len(harness.network.requests)
    responder, _ = harness.call("/bookings/2")
    assert (responder.status, responder.reason) == (503, "servers_paused")
    assert responder.headers[b"retry-after"] == b"0.750"
    assert len(harness.network.requests) == sent


def test_pause_with_an_unreadable_or_endless_time_is_ignored(harness):
    for value in (b"soon", b"-1", b"nan", b"inf"):
        harness.call("/bookings/1")
        harness.network.requests[-1].reject(503, retry_after=value)
        harness.network.requests[-1].answer()
    assert len(harness.backends.serving("api")) == 2


def test_call_waits_for_the_end_of_a_short_pause_of_all_engines(model_harness, engines):
    responder, _ = model_harness.model_call("/reports/1")
    model_harness.network.requests[0].answer_prefill()
    for _ in range(2):
        ask_for_a_pause(model_harness.network.requests[-1], 0.3)
    sent = len(model_harness.network.requests)
    model_harness.advance(0.25)
    assert len(model_harness.network.requests) == sent
    model_harness.advance(0.1)
    assert len(model_harness.network.requests) > sent
    assert not responder.done


def test_long_pause_of_all_engines_refuses_a_call_at_once(model_harness):
    model_harness.model_call("/reports/1")
    model_harness.network.requests[0].answer_prefill()
    for _ in range(2):
        ask_for_a_pause(model_harness.network.requests[-1], 5.0)
    responder, _ = model_harness.model_call("/reports/2")
    assert (responder.status, responder.reason) == (503, "engines_full")
    assert float(responder.headers[b"retry-after"]) >= 5.0


def test_paused_prefill_engine_gets_neither_prompts_nor_frees(model_harness, engines):
    _, task = model_harness.model_call()
    model_harness.network.requests[0].answer_prefill("h1")
    model_harness.backends.pause(engines[0], PAUSE_SECONDS)
    task.cancel()
    model_harness.model_call()
    assert requests_to(model_harness, engines[0]) == 1


def limit_events(harness):
    return [
        (name, fields.get("rate"))
        for name, fields in harness.log.events
        if name.startswith("server_limit")
    ]


@pytest.mark.parametrize("header", ["server_limit", "x_pomeloglade_server_limit"])
def test_limit_that_a_server_names_is_logged_with_its_changes(harness, header):
    harness.backends.remove("bb", lenient=False)
    for value in (b"2.5", b"2.5", b"3", None):
        harness.call("/bookings/1")
        harness.network.requests[-1].answer(**{header: value})
        harness.advance(1.0)
    assert limit_events(harness) == [
        ("server_limit", 2.5),
        ("server_limit", 3.0),
        ("server_limit_ended", None),
    ]


def test_late_answer_without_a_limit_does_not_end_it(harness):
    harness.backends.remove("bb", lenient=False)
    harness.call("/bookings/1")
    harness.advance(0.1)
    harness.call("/bookings/2")
    first, second = harness.network.requests
    second.answer(server_limit=b"2.5")
    first.answer()
    assert limit_events(harness) == [("server_limit", 2.5)]


@pytest.mark.parametrize("value", [b"", b"many", b"-1", b"nan", b"inf"])
def test_unreadable_limit_is_ignored(harness, value):
    harness.call("/bookings/1")
    harness.network.requests[0].answer(server_limit=value)
    assert limit_events(harness) == []
