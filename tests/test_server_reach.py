"""An instance that is cut from the servers of a service, and single failures."""

import pytest
from tests.forwarding_fakes import Harness, server

NAMES = ("a", "bb", "ccc", "dddd", "eeeee")


@pytest.fixture
def servers():
    return [server(name) for name in NAMES]


def cut(*servers):
    """Return a harness whose servers refuse connections."""
    harness = Harness(*servers)
    harness.reach.probe = harness.probes.probe
    harness.network.down = {each.address for each in servers}
    return harness


def events(harness):
    names = ("service_out_of_reach", "service_in_reach")
    return [name for name in harness.log.names() if name in names]


@pytest.mark.parametrize("count", [1, 2, 3])
def test_cut_is_noticed_once_all_of_few_servers_refuse_connections(servers, count):
    harness = cut(*servers[:count])
    harness.call("/bookings/1")
    assert events(harness) == ["service_out_of_reach"]
    assert harness.reach.services_out_of_reach() == ["api"]
    assert not harness.reach.out_of_reach("llm")


def test_cut_is_noticed_after_three_of_many_servers(servers):
    harness = Harness(*servers)
    for each in servers[:2]:
        harness.reach.record_failure(each, connected=False)
    assert not harness.reach.out_of_reach("api")
    harness.reach.record_failure(servers[2], connected=False)
    assert harness.reach.out_of_reach("api")


def test_answers_lost_one_by_one_over_a_long_time_are_no_cut(servers):
    harness = Harness(*servers)
    for each in servers:
        harness.reach.record_failure(each, connected=True)
        harness.advance(2.0)
    assert events(harness) == []


def test_lost_answer_of_the_only_server_is_no_cut(servers):
    harness = Harness(servers[0])
    harness.reach.record_failure(servers[0], connected=True)
    assert events(harness) == []


@pytest.mark.parametrize("target", ["/lookups/1", "/bookings/1"])
def test_silent_servers_are_probed_and_found_out_of_reach(servers, target):
    """Connections may be made and yet nothing come back."""
    harness = cut(*servers[:3])
    harness.network.down = set()
    harness.call(target)
    harness.advance(1.0)
    assert harness.reach.out_of_reach("api")
    probes = [each for each in harness.network.requests if each.head.target == b"/"]
    assert len(probes) >= 2


def test_failure_is_not_looked_into_while_others_answer(servers):
    harness = cut(*servers[:3])
    harness.network.down = set()
    harness.network.on_request = lambda request: request.answer()
    harness.call("/bookings/1")
    harness.network.down = {servers[0].address}
    for number in range(20):
        harness.call(f"/bookings/{number}")
        harness.advance(0.05)
    assert events(harness) == []
    targets = {each.head.target for each in harness.network.requests}
    assert b"/" not in targets


def test_cut_ends_once_a_probe_is_answered(servers):
    harness = cut(*servers[:3])
    harness.call("/bookings/1")
    harness.advance(2.0)
    assert events(harness) == ["service_out_of_reach"]
    harness.network.down = set()
    harness.network.on_request = lambda request: request.answer()
    harness.advance(0.6)
    assert events(harness) == ["service_out_of_reach", "service_in_reach"]
    assert harness.call("/bookings/2")[0].status == 200


def test_probes_of_a_cut_that_comes_back_at_once_are_not_doubled(servers):
    harness = cut(*servers[:3])
    probed = []
    harness.reach.probe = probed.append
    for _ in range(5):
        for each in servers[:3]:
            harness.reach.record_failure(each, connected=False)
        harness.reach.record_contact(servers[0], on_new_connection=True)
    for each in servers[:3]:
        harness.reach.record_failure(each, connected=False)
    probed.clear()
    harness.advance(5.05)
    assert 9 <= len(probed) <= 10


def test_lost_answers_of_the_only_server_over_a_long_time_are_no_cut(servers):
    harness = Harness(servers[0])
    for _ in range(5):
        harness.reach.record_failure(servers[0], connected=True)
        harness.advance(5.0)
    assert events(harness) == []


def test_answers_on_open_connections_do_not_end_a_cut(servers):
    harness = cut(*servers[:3])
    harness.call("/bookings/1")
    harness.reach.record_contact(servers[0], on_new_connection=False)
    assert harness.reach.out_of_reach("api")


def test_cut_ends_with_the_last_registration(servers):
    harness = cut(*servers[:3])
    harness.call("/bookings/1")
    harness.backends.replace_all([], lenient=False)
    harness.advance(0.6)
    assert not harness.reach.out_of_reach("api")


@pytest.mark.parametrize("body", [b"no report", b"{}", b'{"running":3}'])
def test_a_probed_engine_whose_report_cannot_be_read_is_reached(body):
    engine = server("dec", "llm", "decode")
    harness = Harness(engine)
    failures = []
    harness.reach.record_failure = lambda *args, **options: failures.append(args)
    harness.probes.probe(engine)
    harness.network.requests[0].answer(200, body)
    assert failures == []
    assert harness.loads.engine_calls("dec").calls == 0


def test_a_probed_engines_report_bounds_the_calls_that_are_placed_there():
    engine = server("dec", "llm", "decode", slots=4)
    harness = Harness(engine)
    harness.probes.probe(engine)
    body = b'{"stage":"decode","running":6,"kvUsed":1000}'
    harness.network.requests[0].answer(200, body)
    assert not harness.queue.has_room(engine, 100)
    harness.advance(1.0)
    assert harness.queue.has_room(engine, 100)
