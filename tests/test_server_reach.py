"""An instance that is cut from the servers of a service, and single failures."""

import pytest
from tests.forwarding_fakes import Harness, server

NAMES = ("a", "bb", "ccc", "dddd", "eeeee")


def addresses(*servers):
    return {each.address for each in servers}


def events(harness):
    names = ("service_out_of_reach", "service_in_reach")
    return [name for name in harness.log.names() if name in names]


@pytest.mark.parametrize("count", [1, 2, 3])
def test_cut_is_noticed_once_all_of_few_servers_refuse_connections(count):
    servers = [server(name) for name in NAMES[:count]]
    harness = Harness(*servers)
    harness.network.down = addresses(*servers)
    harness.call("/bookings/1")
    assert events(harness) == ["service_out_of_reach"]
    assert harness.reach.services_out_of_reach() == ["api"]
    assert not harness.reach.out_of_reach("llm")


def test_cut_is_noticed_after_three_of_many_servers():
    servers = [server(name) for name in NAMES]
    harness = Harness(*servers)
    for each in servers[:2]:
        harness.reach.record_unreachable(each)
    assert not harness.reach.out_of_reach("api")
    harness.reach.record_unreachable(servers[2])
    assert harness.reach.out_of_reach("api")


def test_new_connection_ends_a_cut():
    servers = [server(name) for name in NAMES[:2]]
    harness = Harness(*servers)
    harness.network.down = addresses(*servers)
    harness.call("/bookings/1")
    harness.network.down = set()
    harness.advance(5.0)
    harness.call("/lookups/1")
    assert events(harness) == ["service_out_of_reach", "service_in_reach"]


def test_servers_that_left_do_not_count():
    servers = [server(name) for name in NAMES[:3]]
    harness = Harness(*servers)
    for each in servers:
        harness.reach.record_unreachable(each)
    harness.backends.replace_all([server("new")], lenient=False)
    assert not harness.reach.out_of_reach("api")
