"""Components of a forwarding instance, each tested on its own."""

import json
import os

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.forwarding_fakes import ListLog, deployment, server
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pomeloglade.errors import BadConfigurationError, BadRegistrationError
from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.calls import EngineReport, ServerLoad, end_to_end_headers
from pomeloglade.forwarding.event_log import MAX_LINES_PER_SECOND, EventLog
from pomeloglade.forwarding.forwarding_metrics import ForwardingMetrics
from pomeloglade.forwarding.instance_reports import (
    Report,
    ReportExchange,
    ReportKind,
    decode,
    encode,
    waiting_from,
)
from pomeloglade.forwarding.loads import (
    EXPIRY_CHECK_SECONDS,
    PEER_LOAD_MAX_AGE_SECONDS,
    Loads,
    ServerCalls,
)
from pomeloglade.forwarding.registration import (
    LEASE_SECONDS,
    RENEW_SECONDS,
    Registration,
)
from pomeloglade.forwarding.remote_queues import QueueRank, QueueSummary
from pomeloglade.forwarding.resend_budget import ResendBudget, ResendLimit
from pomeloglade.forwarding.server_health import ServerHealth
from pomeloglade.forwarding.stage_orders import prefill_engine_count
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade.transport.text_pages import TextPages
from pomeloglade_coordination.errors import KeyValueUnavailableError
from pomeloglade_coordination.key_value import Entry, MemoryKeyValueStore


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def unusable():
    return []


@pytest.fixture
def backends(clock, unusable):
    return Backends(clock, unusable.append, grace=1.5)


def test_draining_server_gets_no_more_calls_and_is_reported_once(backends, unusable):
    ready = server("a")
    backends.put(ready)
    assert backends.serving("api") == [ready]
    backends.put(server("a", draining=True))
    assert backends.serving("api") == []
    assert not backends.usable(ready)
    assert unusable == [ready]


def test_removed_server_is_unusable_at_once(backends, unusable):
    backends.put(server("a"))
    backends.remove("a", lenient=False)
    assert backends.serving("api") == []
    assert [each.id for each in unusable] == ["a"]


def test_server_whose_entry_lapsed_in_a_store_outage_is_a_last_resort(backends, clock):
    entry = server("a")
    backends.put(entry)
    backends.remove("a", lenient=True)
    assert backends.serving("api") == [entry]
    assert backends.usable(entry)
    backends.put(server("bb"))
    assert [each.id for each in backends.serving("api")] == ["bb"]
    clock.advance(1.6)
    assert not backends.usable(entry)


def test_draining_server_has_no_grace_period(backends):
    backends.put(server("a", draining=True))
    backends.remove("a", lenient=True)
    assert backends.serving("api") == []


def test_drained_run_does_not_come_back_with_an_older_copy_of_the_store(backends):
    backends.put(server("a"))
    backends.put(server("a", draining=True))
    backends.replace_all([server("a")], lenient=True, restored=True)
    assert backends.serving("api") == []
    backends.put(server("a", started_ms=5))
    assert [each.started_ms for each in backends.serving("api")] == [5]


def test_removed_run_comes_back_from_an_older_copy_only_by_its_next_change(
    backends, clock
):
    backends.put(server("a"))
    backends.remove("a", lenient=False)
    clock.advance(5.0)
    backends.replace_all([server("a"), server("bb")], lenient=True, restored=True)
    assert [each.id for each in backends.serving("api")] == ["bb"]
    backends.put(server("a"))
    assert {each.id for each in backends.serving("api")} == {"a", "bb"}


def test_new_stage_makes_a_server_unusable_for_the_old_one(backends):
    entry = server("a", "llm", "decode")
    backends.put(entry)
    backends.put(server("a", "llm", "prefill"))
    assert not backends.usable(entry)
    assert [each.id for each in backends.serving("llm", "prefill")] == ["a"]


def test_unreachable_server_is_avoided_longer_each_time(clock):
    health = ServerHealth(clock)
    pauses = []
    for _ in range(4):
        health.record_unreachable("a")
        pauses.append(health.avoided_for("a"))
        clock.advance(health.avoided_for("a"))
    assert pauses == [1.0, 2.0, 4.0, 4.0]
    health.record_success("a")
    health.record_unreachable("a")
    assert health.avoided_for("a") == 1.0


def test_rejecting_server_is_avoided_for_a_shorter_time(clock):
    health = ServerHealth(clock)
    health.record_rejection("a")
    assert health.avoided_for("a") == pytest.approx(0.3)
    for _ in range(5):
        health.record_rejection("a")
    assert health.avoided_for("a") == pytest.approx(2.0)


def test_penalty_of_failures_decays_so_that_a_server_is_retried(clock):
    health = ServerHealth(clock)
    for _ in range(10):
        health.record_failure("a")
    assert health.penalty("a") > 5.0
    clock.advance(20.0)
    assert health.penalty("a") < 1.5


def test_instances_together_keep_the_resend_budget(clock):
    budgets = [ResendBudget(clock, ResendLimit(0.2, 52.0, 10.0)) for _ in range(6)]
    for budget in budgets:
        budget.instances = 6
        for _ in range(10):
            budget.record_call("api")
    resends = sum(budget.try_spend("api") for budget in budgets for _ in range(50))
    assert 20 < resends <= 0.2 * 60 + 52


def test_resends_are_allowed_again_after_the_window(clock):
    budget = ResendBudget(clock, ResendLimit(0.0, 2.0, 10.0))
    assert [budget.try_spend("a") for _ in range(2)] == [True, False]
    clock.advance(10.1)
    assert budget.try_spend("a")


def test_load_of_a_silent_instance_expires(clock):
    loads = Loads(clock)
    loads.apply_report("other", {"a": ServerCalls(3, 300)})
    assert loads.total("a") == ServerCalls(3, 300)
    clock.advance(PEER_LOAD_MAX_AGE_SECONDS + 0.1)
    assert loads.total("a") == ServerCalls()


@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.sampled_from("pqr"),
                st.dictionaries(st.sampled_from("ab"), st.integers(0, 5)),
            ),
            st.tuples(st.sampled_from("pqr"), st.none()),
            st.floats(0.1, 2.0),
        ),
        max_size=20,
    )
)
def test_load_is_the_sum_of_all_instances_newest_reports(steps):
    clock = Clock()
    loads = Loads(clock)
    received = {}
    for step in steps:
        if isinstance(step, float):
            clock.advance(step)
        elif step[1] is None:
            loads.remove_instance(step[0])
            received.pop(step[0], None)
        else:
            calls_by_name = {
                name: ServerCalls(count, 10 * count) for name, count in step[1].items()
            }
            loads.apply_report(step[0], calls_by_name)
            received[step[0]] = (clock.seconds(), calls_by_name)
    clock.advance(EXPIRY_CHECK_SECONDS)
    fresh = [
        calls_by_name
        for at, calls_by_name in received.values()
        if clock.seconds() - at <= PEER_LOAD_MAX_AGE_SECONDS
    ]
    for name in "ab":
        calls = sum(
            calls_by_name.get(name, ServerCalls()).calls for calls_by_name in fresh
        )
        assert loads.total(name) == ServerCalls(calls, 10 * calls)


def test_load_reported_by_a_server_expires(clock):
    loads = Loads(clock)
    loads.record_reported_load("a", ServerLoad(5, 2, 6))
    assert loads.calls("a", 0.2) == 7
    clock.advance(0.3)
    assert loads.calls("a", 0.2) == 0


def _decode_deployment(value):
    if value == b"bad":
        raise BadConfigurationError("bad")
    return deployment(int(value))


def _decode_server(key, value):
    if value == b"bad":
        raise BadRegistrationError("bad")
    service, _, state = value.decode().partition(" ")
    name = key.removeprefix("servers/")
    return server(name, service=service, draining=state == "left")


@pytest.fixture
def log():
    return ListLog()


@pytest.fixture
def store_view(clock, backends, log):
    layout = StoreLayout(
        "op/config",
        "servers/",
        "instances/",
        "orders",
        _decode_deployment,
        _decode_server,
    )
    view = StoreView(
        layout=layout,
        backends=backends,
        log=log,
        revoke_seconds=5.0,
        transit_seconds=0.12,
        apply_seconds=2.0,
    )
    view.age = lambda: 0.0
    return view


def test_only_changes_that_could_send_a_call_wrongly_are_urgent(store_view, backends):
    """Each urgent change costs every instance a call to the store."""
    ready, draining = Entry("servers/a", b"api", 2), Entry("servers/a", b"api left", 3)
    assert not store_view.urgent(ready)
    assert store_view.urgent(draining)
    store_view.apply_change(ready, lenient=False)
    assert not store_view.urgent(Entry("servers/a", b"api", 4))
    assert store_view.urgent(Entry("servers/a", b"llm", 4))
    assert store_view.urgent(Entry("servers/a", b"", 4))
    assert not store_view.urgent(Entry("servers/gone", b"", 4))
    assert not store_view.urgent(Entry("servers/a", b"bad", 4))
    assert not store_view.urgent(Entry("instances/x", b"1", 4))
    assert store_view.urgent(Entry("op/config", b"8", 4))


def test_older_configuration_is_not_applied(store_view, log):
    store_view.apply_change(Entry("op/config", b"7", 1), lenient=False)
    store_view.apply_change(Entry("op/config", b"5", 2), lenient=False)
    store_view.replace_all((Entry("op/config", b"6", 3),), lenient=False)
    assert store_view.deployment.version == 7
    assert log.names().count("configuration_older") == 2


def test_malformed_entries_are_logged_and_the_others_are_applied(
    store_view, backends, log
):
    store_view.apply_change(Entry("op/config", b"7", 1), lenient=False)
    store_view.replace_all(
        (
            Entry("op/config", b"bad", 2),
            Entry("servers/a", b"api", 3),
            Entry("servers/bb", b"bad", 4),
        ),
        lenient=False,
    )
    assert store_view.deployment.version == 7
    assert [each.id for each in backends.serving("api")] == ["a"]
    assert "configuration_rejected" in log.names()
    assert "server_rejected" in log.names()


def test_instance_is_ready_with_configuration_servers_and_a_fresh_view(store_view):
    assert not store_view.ready()
    store_view.apply_change(Entry("op/config", b"7", 1), lenient=False)
    assert not store_view.ready()
    store_view.apply_change(Entry("servers/a", b"api", 2), lenient=False)
    assert store_view.ready()
    store_view.age = lambda: 4.0
    assert not store_view.ready()


def test_reports_round_trip_and_malformed_datagrams_are_rejected():
    waiting = {"llm": (2, False, 1, 0, 0.25, 3)}
    report = Report(
        "a",
        1,
        2,
        age=3.5,
        kind=ReportKind.DIGEST,
        covers=4,
        work={"s": (1, 20)},
        usage={"club": 5},
        waiting=waiting,
        changing=["s"],
        leaving=[("s", 7)],
    )
    assert decode(encode(report)) == report
    assert report.calls_by_server() == {"s": ServerCalls(1, 20)}
    first = QueueRank(False, 1, 0, 9.75)
    assert report.queues_by_service(10.0) == {"llm": QueueSummary(2, first, 3)}
    assert waiting_from(report.queues_by_service(10.0), 10.0) == waiting
    for data in (b"", b"\xff", b"\xa1\x61a\x01", encode(report)[:-3]):
        with pytest.raises(ValueError, match="not a report"):
            decode(data)


def test_old_and_duplicate_reports_are_dropped(clock, log):
    received = []
    exchange = ReportExchange(lambda report, _: received.append(report), log)
    for run, number in ((1, 2), (1, 2), (1, 1), (2, 1), (1, 9)):
        exchange.datagramReceived(encode(Report("b", run, number)), None)
    exchange.datagramReceived(b"junk", None)
    assert [(each.run, each.sequence) for each in received] == [(1, 2), (2, 1)]
    assert exchange.bad_reports == 1


def test_reports_of_a_restarted_instance_are_accepted_with_a_lower_run_id(clock, log):
    received = []
    exchange = ReportExchange(lambda report, _: received.append(report), log)
    for run, number in ((900, 7), (300, 1), (900, 8), (300, 2)):
        exchange.datagramReceived(encode(Report("b", run, number)), None)
    assert [(each.run, each.sequence) for each in received] == [
        (900, 7),
        (300, 1),
        (300, 2),
    ]


def test_registration_is_renewed_and_written_again_after_it_lapsed(clock, log):
    store = MemoryKeyValueStore(clock)
    Registration(clock, store, "i/a", lambda: b"here", log).start()
    for _ in range(20):
        clock.advance(0.5)
    assert store.list("i/").result[0].value == b"here"
    store.renew_lease = lambda lease: succeed(None)
    clock.advance(LEASE_SECONDS + 0.1)
    assert store.list("i/").result == ()
    del store.renew_lease
    for _ in range(10):
        clock.advance(0.5)
    assert store.list("i/").result[0].value == b"here"


def test_registration_is_retried_after_a_store_outage(clock, log):
    store = MemoryKeyValueStore(clock)
    grant = store.grant_lease

    def down(_):
        raise KeyValueUnavailableError("down")

    store.grant_lease = down
    Registration(clock, store, "i/a", lambda: b"here", log).start()
    clock.advance(0.6)
    store.grant_lease = grant
    clock.advance(0.6)
    assert store.list("i/").result[0].value == b"here"


def test_registration_is_written_again_if_only_its_lease_was_granted(clock, log):
    store = MemoryKeyValueStore(clock)
    put = store.put
    store.put = lambda *_, **__: fail(KeyValueUnavailableError("down"))
    Registration(clock, store, "i/a", lambda: b"here", log).start()
    clock.advance(0.3)
    store.put = put
    clock.advance(0.3)
    assert store.list("i/").result[0].value == b"here"


def test_log_lines_are_json_and_limited_per_second(clock):
    reader, writer = os.pipe()
    log = EventLog(clock, writer, instance="a")
    for number in range(MAX_LINES_PER_SECOND + 50):
        log.event("call", number=number)
    clock.advance(1.0)
    log.event("call", number=-1)
    log.flush()
    lines = os.read(reader, 10**6).splitlines()
    assert json.loads(lines[0]) == {
        "event": "call",
        "at": 100.0,
        "instance": "a",
        "number": 0,
    }
    assert len(lines) == MAX_LINES_PER_SECOND + 2
    assert json.loads(lines[-2])["lines"] == 50


def test_reader_that_stops_reading_never_blocks_the_log(clock):
    reader, writer = os.pipe()
    log = EventLog(clock, writer)
    for _ in range(40):
        clock.advance(1.0)
        for _ in range(100):
            log.event("call", text="x" * 300)
    assert log.dropped > 0
    os.close(reader)
    log.event("call")
    log.flush()


def test_metrics_are_rendered():
    metrics = ForwardingMetrics()
    metrics.gauge("open_calls", lambda: 3)
    metrics.record_call("lookups", "answered", 200, 0.05)
    text = metrics.render().decode()
    labels = 'route="lookups",outcome="answered",status="200"'
    assert f"pomeloglade_calls_total{{{labels}}} 1" in text
    assert "pomeloglade_open_calls 3" in text
    assert 'pomeloglade_call_seconds{route="lookups",quantile="0.99"}' in text


@pytest.mark.parametrize("ready", [True, False])
def test_readiness_is_reported_by_the_status(ready):
    pages = TextPages(b"/v1/readiness", lambda: ready, lambda: b"metrics")
    connection = pages.buildProtocol(None)
    transport = StringTransport()
    connection.makeConnection(transport)
    connection.dataReceived(b"GET /v1/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
    connection.dataReceived(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
    expected = b"HTTP/1.1 200" if ready else b"HTTP/1.1 503"
    assert transport.value().startswith(expected)
    assert transport.value().endswith(b"metrics")


def test_hop_by_hop_headers_are_not_forwarded():
    headers = (
        (b"Keep-Alive", b"timeout=5"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"X-End", b"2"),
    )
    assert end_to_end_headers(headers) == ((b"X-End", b"2"),)


def test_share_of_prefill_engines():
    assert [prefill_engine_count(n) for n in (0, 2, 3, 4, 8, 14)] == [0, 0, 1, 1, 2, 3]


def test_store_that_returns_as_a_pause_of_the_registration_ends_wakes_it_once(
    clock, log
):
    """Both come in one turn of the reactor (soak, seed 405 with 16 instances)."""
    store = MemoryKeyValueStore(clock)
    Registration(clock, store, "i/a", lambda: b"here", log).start()
    clock.callLater(RENEW_SECONDS - 0.001, store.restore, store.copy())
    clock.advance(RENEW_SECONDS + 0.01)
    for _ in range(10):
        clock.advance(0.5)
    assert store.list("i/").result[0].value == b"here"


def test_engines_report_is_a_lower_bound_that_falls_with_its_age(clock):
    # Calls of an instance that ended run on at their engines and count nowhere else.
    loads = Loads(clock)
    loads.begin("a", 9_000)
    loads.record_engine_report("a", EngineReport("decode", False, 0, 2, 8, 60_000))
    assert loads.engine_calls("a") == ServerCalls(7, 42_000)
    assert loads.total("a") == ServerCalls(1, 9_000)
    clock.advance(1.5)
    assert loads.engine_calls("a") == ServerCalls(2, 12_000)
    clock.advance(0.6)
    assert loads.engine_calls("a") == ServerCalls(1, 9_000)
    loads.record_engine_report("a", EngineReport("decode", False, 0))
    assert loads.engine_calls("a") == ServerCalls(1, 9_000)
