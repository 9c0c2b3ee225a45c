"""Calls that an instance without a way to servers passes on to others."""

import json
from dataclasses import replace

import pytest
from tests.forwarding_fakes import FakeResponder, Harness, deployment, server
from tests.report_fleet import SIZES, Fleet

from pomeloglade.forwarding.instance_groups import Peer
from pomeloglade.forwarding.instance_reports import Report, decode, encode

PEERS = {f"entry-{n}": Peer("zone-a", (f"10.9.0.{n}", 7500)) for n in (1, 2, 3)}
PEER_ADDRESSES = {
    f"{host}:{port}" for host, port in (p.address for p in PEERS.values())
}
BOOKING, LOOKUP = "/bookings/1", "/lookups/1"


def cut_off(*servers, **options):
    """Return the harness of an instance that is cut from its servers, with peers."""
    harness = Harness(*servers, **options)
    harness.reach.probe = harness.probes.probe
    harness.network.down = {each.address for each in servers}
    harness.peer_calls.set_peers(PEERS)
    return harness


@pytest.fixture
def harness():
    return cut_off(server("a"), server("bb"), server("ccc"))


@pytest.fixture
def engines():
    return (
        server("pre", "llm", "prefill"),
        server("dec-a", "llm", "decode"),
        server("dec-bb", "llm", "decode"),
    )


def passed_on(harness):
    return [each for each in harness.network.requests if each.address in PEER_ADDRESSES]


def refuse(request, reason, status=503, **headers):
    """Answer as another instance that has not run the call."""
    body = json.dumps({"reason": reason, "not_run": True}).encode()
    headers.setdefault("retry_after", b"0.250")
    request.answer(
        status,
        body,
        x_pomeloglade_server_seal=None,
        x_pomeloglade_attempt_id=None,
        **headers,
    )


# Guards against refusing calls that other instances can serve: RECOVER (second1,
# issue 28).
@pytest.mark.parametrize("target", [BOOKING, LOOKUP])
def test_call_of_a_cut_instance_is_served_through_another(harness, target):
    responder, _ = harness.call(target)
    (request,) = passed_on(harness)
    assert request.head.target == target.encode()
    assert request.body == b"body"
    assert request.header("X-Pomeloglade-Attempt-Id") == b"%016x" % 1
    assert request.header("Authorization") == b"Bearer club-key"
    assert 0 < int(request.header("X-Pomeloglade-Deadline-Ms")) < 2000
    assert request.header("X-Pomeloglade-Expect-Instance") is None
    request.answer(201, b"whole", x_other=b"1")
    assert (responder.status, responder.body) == (201, b"whole")
    assert responder.headers[b"x-pomeloglade-server-seal"] == b"seal"
    assert responder.headers[b"x-other"] == b"1"


def test_next_calls_are_passed_on_at_once(harness):
    harness.call(BOOKING)
    tried = len(harness.network.idle_bounds)
    harness.call(BOOKING)
    assert len(passed_on(harness)) == 2
    assert len(harness.network.idle_bounds) == tried + 1


def test_calls_go_to_servers_again_once_one_answers_a_probe(harness):
    harness.call(BOOKING)
    harness.network.down = set()
    harness.network.on_request = lambda request: request.answer()
    harness.advance(0.6)
    before = len(passed_on(harness))
    assert harness.call(BOOKING)[0].status == 200
    assert len(passed_on(harness)) == before


def test_call_is_refused_at_once_if_there_is_no_other_instance(harness):
    harness.peer_calls.set_peers({})
    responder, _ = harness.call(BOOKING)
    assert (responder.status, responder.reason) == (503, "servers_out_of_reach")
    assert float(responder.headers[b"retry-after"]) > 0


def test_instances_that_are_cut_off_too_are_not_asked(harness):
    harness.availability.own_unavailable = lambda: True
    report = Report("entry-1", 1, 1, unavailable=["entry-1", "entry-2"])
    names = decode(encode(report)).unavailable
    harness.availability.apply_reported(names, 2)
    for _ in range(6):
        harness.call(BOOKING)
    assert {each.address for each in passed_on(harness)} == {"10.9.0.3:7500"}


# Guards against refusing calls to one service as another is down everywhere: RECOVER
# (soak seed 532).
def test_one_instance_is_asked_if_all_are_reported_as_unavailable(harness):
    harness.availability.apply_reported(PEERS, 2)
    responder, _ = harness.call(BOOKING)
    (request,) = passed_on(harness)
    request.answer(200, b"whole")
    assert responder.status == 200
    responder, _ = harness.call(BOOKING)
    refuse(passed_on(harness)[1], "servers_out_of_reach")
    assert responder.status == 503
    assert len(passed_on(harness)) == 2


# Guards against calls that wait for a frozen instance until their time limit, while
# others could serve them: RECOVER (soak seed 542).
@pytest.mark.parametrize("target", [BOOKING, LOOKUP])
def test_instance_that_answers_no_call_gets_no_further_ones(harness, target):
    harness.call(target)
    (silent,) = passed_on(harness)
    for _ in range(12):
        harness.advance(0.45)
        harness.call(target)
        other = passed_on(harness)[-1]
        assert other.address != silent.address
        other.answer(200, b"whole")
        if silent.aborted:
            break
    assert silent.aborted, "the call did not wait until its time limit"


# Guards against asking a frozen instance since it alone does not say that it is
# unavailable: RECOVER (soak seed 542).
def test_instance_that_answers_no_call_is_not_asked_for_want_of_others(harness):
    harness.availability.apply_reported(["entry-2", "entry-3"], 2)
    harness.call(BOOKING)
    (silent,) = passed_on(harness)
    assert silent.address == "10.9.0.1:7500"
    harness.advance(0.45)
    harness.availability.apply_reported(["entry-2", "entry-3"], 2)
    harness.call(BOOKING)
    assert passed_on(harness)[-1].address != silent.address


def test_instance_that_answers_other_calls_is_not_avoided(harness):
    harness.peer_calls.set_peers({"entry-1": PEERS["entry-1"]})
    harness.call(BOOKING)
    harness.call(BOOKING)
    harness.advance(0.2)
    passed_on(harness)[1].answer(200, b"whole")
    harness.peer_calls.set_peers({name: PEERS[name] for name in ("entry-1", "entry-2")})
    harness.advance(0.45)
    asked = set()
    for _ in range(20):
        harness.call(BOOKING)
        passed_on(harness)[-1].answer(200, b"whole")
        asked.add(passed_on(harness)[-1].address)
    assert len(asked) == 2


def test_another_instance_is_asked_if_one_refuses(harness):
    responder, _ = harness.call(BOOKING)
    refuse(passed_on(harness)[0], "servers_out_of_reach")
    first, second = passed_on(harness)
    assert first.address != second.address
    second.answer(200, b"whole")
    assert (responder.status, responder.body) == (200, b"whole")


def test_refusal_of_other_instances_is_passed_back(harness):
    responder, _ = harness.call(BOOKING)
    refuse(passed_on(harness)[0], "ends_servers", retry_after=b"77.000")
    assert (responder.status, responder.reason) == (503, "ends_servers")
    assert responder.headers[b"retry-after"] == b"77.000"
    assert json.loads(responder.body)["not_run"] is True
    assert len(passed_on(harness)) == 1


def test_denial_of_another_instance_is_not_passed_back(harness):
    """Its configuration may be another one; the call was allowed here."""
    responder, _ = harness.call(BOOKING)
    for number in range(3):
        refuse(passed_on(harness)[number], "unknown_key", 401)
    assert responder.status == 503
    assert len(passed_on(harness)) == 3


# Guards against sending a booking to two instances: TWICE (second1, issue 28).
@pytest.mark.parametrize("how", ["reset", "gone", "late"])
def test_booking_that_another_instance_may_have_run_is_passed_on_once(harness, how):
    responder, _ = harness.call(BOOKING)
    (request,) = passed_on(harness)
    if how == "reset":
        request.reset()
    elif how == "gone":
        refuse(request, "answer_lost", 502)
    else:
        harness.advance(3.0)
    assert responder.status in (502, 504)
    assert len(passed_on(harness)) == 1


def test_booking_that_a_server_may_have_run_is_not_passed_on():
    servers = server("a"), server("bb"), server("ccc")
    harness = cut_off(*servers)
    harness.network.down = set()
    responder, _ = harness.call(BOOKING)
    harness.network.down = {each.address for each in servers}
    for each in servers:
        harness.reach.record_failure(each, connected=False)
    harness.network.requests[0].reset()
    assert responder.status == 502
    assert passed_on(harness) == []


def test_lookup_that_was_lost_is_passed_on_within_the_retry_budget():
    servers = server("a"), server("bb"), server("ccc")
    for slack, expected in ((100.0, 1), (0.0, 0)):
        harness = cut_off(*servers, slack=slack)
        harness.network.down = set()
        harness.call(LOOKUP)
        harness.network.down = {each.address for each in servers}
        for each in servers:
            harness.reach.record_failure(each, connected=False)
        harness.network.requests[0].reset()
        assert len(passed_on(harness)) == expected


# Guards against more servers for a call than its route allows: BUDGET (second1,
# issue 28).
def test_servers_that_may_have_run_a_call_count_where_it_is_passed_on():
    servers = server("a"), server("bb"), server("ccc")
    harness = cut_off(*servers)
    harness.network.down = set()
    harness.call(LOOKUP)
    harness.network.down = {each.address for each in servers}
    for each in servers:
        harness.reach.record_failure(each, connected=False)
    harness.network.requests[0].reset()
    (request,) = passed_on(harness)
    other = Harness(*servers)
    other.network.on_request = lambda sent: sent.reset()
    responder = FakeResponder()
    other.forwarder.handle(request.head, b"body", responder, passed_on=True)
    assert len(other.network.requests) == 1
    assert responder.status == 502
    assert other.network.requests[0].header("X-Pomeloglade-Servers-Tried") is None


# Guards against more servers for a call than its route allows: BUDGET (soak seed 512).
def test_lookup_that_other_instances_lose_runs_at_two_servers_at_most():
    servers = server("a"), server("bb"), server("ccc")
    harness = cut_off(*servers)
    responder, _ = harness.call(LOOKUP)
    runs = 0
    for number in range(2):
        other = Harness(*servers)
        other.network.on_request = lambda sent: sent.reset()
        lost = FakeResponder()
        head = passed_on(harness)[number].head
        other.forwarder.handle(head, b"body", lost, passed_on=True)
        runs += len(other.network.requests)
        refuse(passed_on(harness)[number], lost.reason, lost.status)
    assert runs == 2
    assert len(passed_on(harness)) == 2
    assert responder.status == 502


def test_call_that_is_passed_on_counts_here_and_is_refunded_if_it_did_not_run():
    servers = server("a"), server("bb")
    harness = cut_off(*servers, configuration=deployment(rate=1000.0, burst=400.0))
    responder, _ = harness.call(BOOKING)
    assert harness.usage.totals() == {"club": 200}
    for number in range(3):
        refuse(passed_on(harness)[number], "servers_full")
    assert responder.status == 503
    assert harness.usage.totals() == {}


# Guards against shunning sound instances for calls that came too late: RECOVER
# (second1, issue 28).
def test_instance_that_reached_a_time_limit_gets_the_next_call(harness):
    harness.peer_calls.set_peers({"entry-1": PEERS["entry-1"]})
    responder, _ = harness.call(LOOKUP)
    refuse(passed_on(harness)[0], "time_limit", 504)
    assert responder.status == 504
    harness.call(LOOKUP)
    assert len(passed_on(harness)) == 2


def test_call_with_hardly_any_time_left_is_not_passed_on(harness):
    responder, _ = harness.call(BOOKING, limit_ms=30)
    assert passed_on(harness) == []
    assert responder.status == 503


def test_instance_that_is_avoided_is_asked_if_there_is_no_other(harness):
    harness.peer_calls.set_peers({"entry-1": PEERS["entry-1"]})
    harness.network.down |= PEER_ADDRESSES
    assert harness.call(BOOKING)[0].status == 503
    harness.network.down -= PEER_ADDRESSES
    harness.call(BOOKING)
    assert len(passed_on(harness)) == 1


def test_call_that_was_passed_on_to_this_instance_is_not_counted_nor_passed_on():
    harness = cut_off(server("a"), configuration=deployment(rate=1000.0, burst=400.0))
    responder = FakeResponder()
    harness.call(BOOKING)
    (request,) = passed_on(harness)
    before = harness.usage.totals(), harness.budget.remaining("api")
    harness.forwarder.handle(request.head, b"body", responder, passed_on=True)
    assert (responder.status, responder.reason) == (503, "servers_out_of_reach")
    assert len(passed_on(harness)) == 1
    harness.network.down = set()
    harness.network.on_request = lambda request: request.answer()
    harness.advance(0.6)
    responder = FakeResponder()
    harness.forwarder.handle(request.head, b"body", responder, passed_on=True)
    assert responder.status == 200
    assert (harness.usage.totals(), harness.budget.remaining("api")) == before


def test_caller_that_leaves_ends_the_call_at_the_other_instance(harness):
    _, task = harness.call(BOOKING)
    (request,) = passed_on(harness)
    task.cancel()
    assert request.aborted


def test_stream_is_passed_back_event_by_event(engines):
    harness = cut_off(*engines)
    responder, _ = harness.model_call()
    (request,) = passed_on(harness)
    assert request.header("X-Pomeloglade-Prompt-Prefix") == b"aa:200,bb:4800"
    request.begin_answer()
    request.event(1)
    assert responder.head_sent
    assert responder.body == b"id: 1\ndata: x\n\n"
    request.event(2)
    request.end()
    assert responder.done
    assert not responder.was_aborted


@pytest.mark.parametrize("target", ["/digests/1", "/reports/1"])
def test_stream_that_another_instance_breaks_off_goes_on_only_if_resumable(
    engines, target
):
    harness = cut_off(*engines)
    responder, _ = harness.model_call(target)
    request = passed_on(harness)[0]
    request.begin_answer()
    request.event(1)
    request.reset()
    if target == "/digests/1":
        assert responder.was_aborted
        assert len(passed_on(harness)) == 1
        return
    second = passed_on(harness)[1]
    assert second.header("Last-Event-Id") == b"1"
    assert second.header("Resumes") == request.header("X-Pomeloglade-Attempt-Id")
    second.begin_answer()
    second.event(2)
    second.end()
    assert responder.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert not responder.was_aborted


def test_resumable_stream_whose_engines_get_out_of_reach_goes_on_elsewhere(engines):
    harness = cut_off(*engines)
    harness.network.down = set()
    responder, _ = harness.model_call("/reports/1")
    harness.network.requests[0].answer_prefill()
    run = harness.network.requests[1]
    run.begin_answer()
    run.event(1)
    harness.network.down = {each.address for each in engines}
    harness.advance(2.6)
    request = passed_on(harness)[0]
    assert request.header("Last-Event-Id") == b"1"
    request.begin_answer()
    request.event(2)
    request.end()
    assert responder.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"


# Guards against passing on an engine's error, repetition or gap in the middle of a
# stream, or ending it as complete after that: ORDER, MIXED (first report of issue 46).
@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, b""),
        (204, b""),
        (206, b"id: 2\ndata: x\n\n"),
        (500, b"oops"),
        (200, b"event: error\ndata: overloaded\n\n"),
        (200, b"HTTP/1.1 500 Oops\n\n"),
        (200, b"id: 1\ndata: x\n\n"),
        (200, b"id: 3\ndata: x\n\n"),
    ],
)
def test_stream_goes_on_only_with_its_next_events_from_another_instance(
    engines, status, body
):
    (reports,) = [each for each in deployment().routes if each.name == "reports"]
    configuration = deployment(reports=replace(reports, max_servers=3))
    harness = cut_off(*engines, configuration=configuration)
    responder, _ = harness.model_call("/reports/1")
    request = passed_on(harness)[0]
    request.begin_answer()
    request.event(1)
    request.reset()
    passed_on(harness)[1].answer(status, body, transfer_encoding=b"chunked")
    third = passed_on(harness)[2]
    assert third.header("Last-Event-Id") == b"1"
    third.begin_answer()
    third.event(2)
    third.end()
    assert responder.body == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    assert not responder.was_aborted


# Guards against asking instances that are cut off themselves: RECOVER (second1,
# issue 28).
@pytest.mark.parametrize("size", SIZES)
def test_instances_of_a_cut_zone_are_known_to_all(size):
    fleet = Fleet(size)
    cut = [each for each in fleet.instances if each.zone == "zone-a"]
    for each in cut:
        each.availability.own_unavailable = lambda: True
        each.availability.report_at_once()
        each.relay.schedule_report()
    fleet.run(1.5)
    names = {each.name for each in cut}
    known = [
        sum(not each.availability.available(name) for name in names - {each.name})
        / len(names - {each.name})
        for each in fleet.instances
    ]
    assert min(known) >= 0.5
    others = [each.name for each in fleet.instances if each not in cut]
    assert all(
        each.availability.available(name) for each in fleet.instances for name in others
    )
    for each in cut:
        each.availability.own_unavailable = lambda: False
    fleet.run(3.0)
    assert all(
        each.availability.available(name)
        for each in fleet.instances
        for name in names - {each.name}
    )


CONTROL_BYTES_PER_SECOND = 4_000


@pytest.mark.parametrize("size", [6, 195])
def test_bytes_are_bounded_while_a_zone_is_cut_off(size):
    fleet = Fleet(size)
    before = sum(each.bytes for each in fleet.instances)
    for each in fleet.instances:
        if each.zone == "zone-a":
            each.availability.own_unavailable = lambda: True
            each.availability.report_at_once()
            each.relay.schedule_report()
    fleet.run(3.0)
    sent = sum(each.bytes for each in fleet.instances) - before
    assert sent / size / 3.0 < CONTROL_BYTES_PER_SECOND
