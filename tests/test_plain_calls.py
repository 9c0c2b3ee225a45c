"""Plain calls: at-most-once, retry budget, slow and failing servers, stale views."""

import pytest
from tests.forwarding_fakes import KEY, Harness, deployment, route, server

from pomeloglade.forwarding.deployment import CallKind


@pytest.fixture
def servers():
    return server("a"), server("bb"), server("ccc")


@pytest.fixture
def harness(servers):
    return Harness(*servers)


def test_answer_is_forwarded_unchanged_with_its_seal(harness):
    responder, _ = harness.call("/lookups/7?x=1", method=b"GET")
    (request,) = harness.network.requests
    assert request.head.target == b"/lookups/7?x=1"
    assert request.header("X-Pomeloglade-Tenant") == b"club"
    assert request.header("Authorization") is None
    request.answer(200, b"roster", x_own=b"1")
    assert (responder.status, responder.body) == (200, b"roster")
    assert responder.headers[b"x-pomeloglade-server-seal"] == b"seal"
    assert responder.headers[b"x-own"] == b"1"


def test_forwarded_request_names_the_expected_server_and_the_time_left(
    harness, servers
):
    harness.call("/bookings/1", limit_ms=1500)
    (request,) = harness.network.requests
    names = {each.address: each.id.encode() for each in servers}
    expected = request.header("X-Pomeloglade-Expect-Instance")
    assert expected == names[request.address]
    assert request.header("X-Pomeloglade-Deadline-Ms") == b"1500"


def test_headers_that_the_router_sets_are_not_forwarded_from_a_caller(harness):
    forged = (
        (b"X-Pomeloglade-Tenant", b"other"),
        (b"X-Pomeloglade-Kv-Hold", b"1"),
        (b"X-Pomeloglade-Kv-Backup", b"10.0.0.1:1"),
        (b"X-Pomeloglade-Kv-Source", b"10.0.0.1:1/h"),
        (b"X-Pomeloglade-Pin-Ms", b"100"),
        (b"X-Pomeloglade-Stage", b"prefill"),
        (b"Connection", b"X-Private"),
        (b"X-Private", b"1"),
    )
    harness.call("/bookings/1", headers=forged)
    (request,) = harness.network.requests
    assert request.header("X-Pomeloglade-Tenant") == b"club"
    for name in (
        "X-Pomeloglade-Kv-Hold",
        "X-Pomeloglade-Kv-Backup",
        "X-Pomeloglade-Kv-Source",
        "X-Pomeloglade-Pin-Ms",
        "X-Pomeloglade-Stage",
        "X-Private",
        "Connection",
    ):
        assert request.header(name) is None


# Guards against beginning a stream anew that its caller takes up after an event.
def test_plain_service_gets_the_id_of_the_last_event_received(harness):
    harness.call("/lookups/1", headers=[(b"Last-Event-Id", b"7")])
    assert harness.network.requests[0].header("Last-Event-Id") == b"7"


def test_booking_whose_answer_is_lost_is_never_sent_again(harness):
    responder, _ = harness.call("/bookings/1")
    harness.network.requests[0].reset()
    assert responder.status == 502
    assert len(harness.network.requests) == 1


def test_rejected_booking_is_sent_to_another_server(harness):
    responder, _ = harness.call("/bookings/1")
    harness.network.requests[0].reject()
    assert len(harness.network.requests) == 2
    harness.network.requests[1].answer()
    assert responder.status == 200


def test_booking_that_all_servers_reject_is_refused_as_not_run(harness):
    responder, _ = harness.call("/bookings/1")
    while not responder.done:
        harness.network.requests[-1].reject()
    assert responder.status == 503
    assert b"retry-after" in responder.headers
    assert len(harness.network.requests) == 3


def test_bookings_are_sent_on_new_connections_only(harness):
    harness.call("/bookings/1")
    harness.call("/lookups/1", method=b"GET")
    assert harness.network.idle_bounds[0] == 0.0
    assert harness.network.idle_bounds[1] > 0.0


def test_lookup_is_retried_within_the_objective_if_a_server_is_silent(harness):
    responder, _ = harness.call("/lookups/1", method=b"GET")
    harness.advance(0.25)
    first, second = harness.network.requests
    assert first.aborted
    assert first.address != second.address
    second.answer()
    assert responder.status == 200


def test_booking_waits_for_a_silent_server_until_its_time_limit(harness):
    responder, _ = harness.call("/bookings/1", limit_ms=1000)
    harness.advance(0.9)
    assert not responder.done
    harness.advance(0.2)
    assert responder.status == 504
    assert len(harness.network.requests) == 1
    assert harness.network.requests[0].aborted


def test_routes_timeout_ends_a_call_before_the_callers_limit(harness):
    responder, _ = harness.call("/bookings/1", limit_ms=4000)
    harness.advance(2.1)
    assert responder.status == 504


def test_request_is_aborted_when_the_caller_disconnects(harness):
    _, task = harness.call("/lookups/1", method=b"GET")
    task.cancel()
    assert harness.network.requests[0].aborted
    assert harness.forwarder.open_calls == 0


# Guards against spending the budget for lost answers on errors that may be the call's.
def test_error_of_a_sound_server_is_not_retried_once_the_budget_is_half_used(harness):
    share = harness.budget.remaining("api")
    while 2 * harness.budget.remaining("api") > share:
        harness.budget.try_spend("api")
    responder, _ = harness.call("/lookups/1", method=b"GET")
    harness.network.requests[0].answer(500, b"no")
    assert (responder.status, responder.body) == (500, b"no")
    assert len(harness.network.requests) == 1


# Guards against lookups that fail while another server would answer them.
def test_error_of_a_sound_server_is_retried_while_the_budget_is_plentiful(harness):
    responder, _ = harness.call("/lookups/1", method=b"GET")
    harness.network.requests[0].answer(500, b"no")
    harness.network.requests[1].answer(200, b"yes")
    assert (responder.status, responder.body) == (200, b"yes")
    first, second = (each.address for each in harness.network.requests)
    assert first != second


def test_calls_that_fail_everywhere_get_the_last_answer(harness):
    responder, _ = harness.call("/lookups/1", method=b"GET")
    harness.network.requests[0].answer(500, b"no")
    harness.network.requests[1].answer(500, b"never")
    assert (responder.status, responder.body) == (500, b"never")
    assert len(harness.network.requests) == 2


@pytest.mark.parametrize(
    ("target", "status"), [("/lookups/1", 504), ("/bookings/1", 500)]
)
def test_time_outs_and_errors_of_bookings_are_not_retried(harness, target, status):
    responder, _ = harness.call(target)
    harness.network.requests[0].answer(status, b"no")
    assert responder.status == status
    assert len(harness.network.requests) == 1


def test_error_of_a_faulty_server_is_retried_at_another_server(harness, servers):
    faulty = servers[0]
    for _ in range(6):
        harness.health.record_failure(faulty.id)
    harness.backends.replace_all([faulty], lenient=False)
    responder, _ = harness.call("/lookups/1", method=b"GET")
    harness.backends.replace_all(servers, lenient=False)
    harness.network.requests[0].answer(500, b"no")
    harness.network.requests[1].answer(200, b"yes")
    assert (responder.status, responder.body) == (200, b"yes")


def test_refused_connection_does_not_count_against_the_retry_budget(harness, servers):
    harness.network.down.update(each.address for each in servers[:2])
    responder, _ = harness.call("/bookings/1")
    (request,) = harness.network.requests
    assert request.address == servers[2].address
    request.answer()
    assert responder.status == 200
    assert harness.budget.remaining("api") == harness.budget.remaining("other")


def test_call_is_not_sent_again_when_the_retry_budget_is_exhausted(servers):
    harness = Harness(*servers, slack=0.0)
    responder, _ = harness.call("/bookings/1")
    harness.network.requests[0].reject()
    assert responder.status == 503
    assert responder.reason == "resend_budget"


@pytest.mark.parametrize(
    "fault",
    [
        {"x_pomeloglade_server_seal": None},
        {"x_pomeloglade_attempt_id": b"other"},
        {"content_encoding": b"gzip"},
    ],
)
def test_invalid_answer_is_not_forwarded(harness, fault):
    responder, _ = harness.call("/bookings/1")
    harness.network.requests[0].answer(200, b"someone else's", **fault)
    assert responder.status == 502
    assert b"someone" not in responder.body


def test_server_that_leaves_while_connecting_gets_no_call(harness, servers):
    harness.backends.replace_all(servers[:1], lenient=False)
    harness.network.slow[servers[0].address] = None
    responder, _ = harness.call("/bookings/1")
    harness.backends.replace_all(servers[1:], lenient=False)
    harness.network.connect(servers[0].address)
    assert harness.network.requests_to(servers[0].address) == []
    harness.network.requests[0].answer()
    assert responder.status == 200


def test_key_withdrawn_while_connecting_is_not_served(harness, servers):
    harness.backends.replace_all(servers[:1], lenient=False)
    harness.network.slow[servers[0].address] = None
    responder, _ = harness.call("/bookings/1")
    harness.store_view.deployment = deployment(2, key="another")
    harness.network.connect(servers[0].address)
    assert responder.status == 401
    assert harness.network.requests == []


def test_configuration_too_old_for_keys_refuses_keyed_calls_only(harness):
    harness.age = 4.5
    keyed, _ = harness.call("/bookings/1")
    assert keyed.status == 503
    assert b"retry-after" in keyed.headers
    harness.call("/public/1", key=None, method=b"GET")
    assert len(harness.network.requests) == 1


def test_unknown_routes_and_keys_are_not_denied_by_an_old_configuration(harness):
    harness.age = 3.0
    unknown_route, _ = harness.call("/new/1")
    unknown_key, _ = harness.call("/bookings/1", key="new-key")
    assert (unknown_route.status, unknown_key.status) == (503, 503)
    harness.age = 0.5
    unknown_route, _ = harness.call("/new/1")
    unknown_key, _ = harness.call("/bookings/1", key="new-key")
    assert (unknown_route.status, unknown_key.status) == (404, 401)


def test_route_moved_while_connecting_goes_to_its_new_service(harness, servers):
    other = server("dddd", service="other")
    harness.backends.replace_all([servers[0], other], lenient=False)
    harness.network.slow[servers[0].address] = None
    harness.call("/bookings/1")
    moved = route("bookings", "/bookings/", CallKind.UNSAFE, "other")
    harness.store_view.deployment = deployment(2, bookings=moved)
    harness.network.connect(servers[0].address)
    assert [s.address for s in harness.network.requests] == [other.address]


def test_account_over_its_limit_is_refused_with_a_retry_delay(servers):
    harness = Harness(*servers, configuration=deployment(rate=1000.0, burst=400.0))
    first = [harness.call("/lookups/1", method=b"GET")[0] for _ in range(2)]
    over, _ = harness.call("/lookups/1", method=b"GET")
    assert not any(each.done for each in first)
    assert over.status == 429
    assert 0.1 < float(over.headers[b"retry-after"]) <= 0.3


def test_units_of_a_call_that_did_not_run_are_refunded(servers):
    harness = Harness(*servers, configuration=deployment(rate=1000.0, burst=400.0))
    harness.backends.replace_all([], lenient=False)
    for _ in range(5):
        refused, _ = harness.call("/bookings/1")
        assert refused.status == 503
    assert harness.usage.totals() == {}


def test_unknown_key_is_answered_401(harness):
    responder, _ = harness.call("/lookups/1", key="stranger")
    assert responder.status == 401
    assert KEY.encode() not in responder.body


def test_call_is_sent_at_most_twice_if_the_only_server_fails(servers):
    harness = Harness(servers[0])
    harness.network.on_request = lambda request: request.reset()
    responder, _ = harness.call("/lookups/1", method=b"GET")
    assert responder.status == 502
    assert len(harness.network.requests) == 2


def test_draining_instance_asks_callers_to_close_their_connections(harness):
    assert not harness.forwarder.is_draining()
    now = harness.clock.seconds()
    harness.forwarder.begin_drain(last_long_call_at=now, stops_at=now)
    assert harness.forwarder.is_draining()


# Guards against answering a broken-off stream of a plain service as complete (inc1).
def test_stream_of_a_plain_service_that_ends_inside_an_event_is_not_answered(servers):
    feed = route("feeds", "/feeds/", CallKind.STREAMING, "api")
    harness = Harness(*servers, configuration=deployment(feeds=feed))
    responder, _ = harness.call("/feeds/1")
    harness.network.requests[0].answer(200, b"id: 1\ndata: x\n\nid: 2\nda")
    assert responder.status == 502
    assert len(harness.network.requests) == 1
