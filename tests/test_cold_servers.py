"""Cold servers: which ones are cold, and what fleets of any size send to them."""

from dataclasses import replace
from random import Random

import pytest
from tests.forwarding_fakes import Harness, ListLog, deployment, server
from tests.report_fleet import SIZES, Fleet
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.cold_rate import ColdBound, ColdLimit
from pomeloglade.forwarding.cold_servers import ColdServers
from pomeloglade.forwarding.deployment import Deployment, Service
from pomeloglade.forwarding.fleet_news import FleetNews
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.server_limits import ServerLimits

RATE = 39.0
BOUND = ColdBound()


class ColdServer:
    """A server of a fleet that counts the requests of all instances."""

    def __init__(self, fleet, name="a", rate=RATE):
        self.fleet = fleet
        self.run = (name, 0)
        self.rate = rate
        self.times = []

    def become_cold(self, seconds=60.0, instances=None):
        """Let instances see at the same moment that the server is cold."""
        until = self.fleet.clock.seconds() + seconds
        limit = ColdLimit(BOUND.rate(self.rate), BOUND.burst(self.rate), until)
        for each in instances or self.fleet.instances:
            each.limits.set_cold(self.run, limit)

    def ask(self, instance):
        if not instance.alive or not instance.limits.try_take(self.run):
            return False
        instance.relay.schedule_report()
        self.times.append(self.fleet.clock.seconds())
        return True

    def most_in_a_second(self):
        return max(
            (sum(t <= each < t + 1.0 for each in self.times) for t in self.times),
            default=0,
        )

    def since(self, seconds):
        oldest = self.fleet.clock.seconds() - seconds
        return sum(each >= oldest for each in self.times)


def demand(fleet, servers, seconds, per_second, instances=None, seed=1):
    """Let calls come to random instances, and each ask the servers until one takes it.

    Returns the fraction of the calls that a server took.
    """
    random = Random(seed)
    taken, calls = 0, 0
    end = fleet.clock.seconds() + seconds
    due = fleet.clock.seconds()
    while fleet.clock.seconds() < end:
        while due <= fleet.clock.seconds():
            due += random.expovariate(per_second)
            instance = random.choice(instances or fleet.instances)
            order = random.sample(servers, len(servers))
            calls += 1
            taken += any(each.ask(instance) for each in order)
        fleet.run(0.005)
    return taken / calls


# Guards against each instance keeping to the rate by itself, and against all of them
# sending at once when they learn of a cold server at the same moment.
@pytest.mark.parametrize("size", [*SIZES, 90])
@pytest.mark.parametrize(("rate", "calls_per_second"), [(39.0, 370), (5.0, 200)])
def test_servers_that_are_all_cold_at_once_get_their_rate(size, rate, calls_per_second):
    fleet = Fleet(size)
    servers = [ColdServer(fleet, name, rate) for name in ("a", "b", "c")]
    for each in servers:
        each.become_cold()
    demand(fleet, servers, 4.0, calls_per_second)
    for each in servers:
        assert each.most_in_a_second() <= BOUND.allowed(rate)
        assert each.since(3.0) >= 0.8 * rate * 3.0 - 3


def test_many_calls_when_a_server_becomes_cold_are_not_all_sent(monkeypatch):
    """Reports take some time, in which no instance knows of the others' requests."""
    monkeypatch.setattr("tests.report_fleet.TRANSIT_SECONDS", 0.03)
    fleet = Fleet(90)
    cold = ColdServer(fleet)
    cold.become_cold()
    demand(fleet, [cold], 1.5, 1200)
    assert cold.most_in_a_second() <= BOUND.allowed(RATE)


# Guards against saved requests that are sent beside those of a second: buckets of all
# instances are full when calls begin to come at once.
def test_full_buckets_of_all_instances_are_not_spent_beside_the_rate():
    fleet = Fleet(90)
    cold = ColdServer(fleet)
    cold.become_cold()
    fleet.run(3.0)
    demand(fleet, [cold], 2.0, 390)
    assert cold.most_in_a_second() <= BOUND.allowed(RATE)
    assert cold.since(1.0) >= 0.8 * RATE


# Guards against refusing calls that a cold server could take, as instances that each
# send rarely overestimate the demand.
def test_calls_below_the_rate_of_a_cold_server_are_served():
    fleet = Fleet(90)
    cold = ColdServer(fleet)
    cold.become_cold()
    demand(fleet, [cold], 1.0, 0.7 * RATE)
    assert demand(fleet, [cold], 3.0, 0.7 * RATE, seed=2) >= 0.9


# Guards against instances that fall back to sending without a limit, or count what
# they saved twice, after a restart or while nothing is heard of the others.
def test_restarted_instances_keep_the_rate():
    fleet = Fleet(40)
    cold = ColdServer(fleet)
    cold.become_cold()
    for number in range(0, 40, 4):
        demand(fleet, [cold], 0.1, 200, seed=number)
        fleet.kill(fleet.instances[number])
        demand(fleet, [cold], 0.1, 200, seed=number + 1)
        cold.become_cold(instances=[fleet.restart(fleet.instances[number])])
    demand(fleet, [cold], 1.0, 200)
    assert cold.most_in_a_second() <= BOUND.allowed(RATE)


@pytest.mark.parametrize("size", [6, 62])
def test_instances_that_hear_of_no_other_keep_the_rate_together(size):
    fleet = Fleet(size)
    cold = ColdServer(fleet)
    cold.become_cold()
    demand(fleet, [cold], 2.0, 195, seed=52)
    fleet.transmit = lambda *_: None
    demand(fleet, [cold], 3.0, 195, seed=2)
    assert cold.most_in_a_second() <= BOUND.allowed(RATE)


def test_saved_requests_of_instances_that_hear_of_no_other_lapse():
    fleet = Fleet(90)
    cold = ColdServer(fleet)
    cold.become_cold()
    fleet.transmit = lambda *_: None
    demand(fleet, [cold], 1.5, 100)
    fleet.run(6.0)
    demand(fleet, [cold], 2.0, 900)
    assert cold.most_in_a_second() <= BOUND.allowed(RATE)


class ColdHarness:
    """One instance's knowledge of cold servers, without a request path."""

    def __init__(self, clock, *, per_second=RATE, start=4.0):
        self.clock = clock
        self.log = ListLog()
        self.limits = ServerLimits(clock, self.log, Random(1))
        self.backends = Backends(clock, lambda _: None)
        self.news = FleetNews(clock)
        service = Service(
            "api", 96, cold_start_seconds=start, cold_per_second=per_second
        )
        self.deployment = Deployment(1, (), (service,), ())
        self.cold = ColdServers(
            clock,
            self.backends,
            self.limits,
            self.news,
            self.log,
            lambda: self.deployment,
            BOUND,
        )

    def read(self, *servers, restored=False):
        self.backends.replace_all(servers, lenient=False, restored=restored)

    def is_cold(self, name="a", started_ms=0):
        return self.limits.cold((name, started_ms))


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def instance(clock):
    return ColdHarness(clock)


def cold_server(seconds, started_ms=0):
    return replace(server("a", started_ms=started_ms), cold_seconds=seconds)


# Guards against calls beyond the rate of servers that start during traffic, as after
# a release, and against limiting all servers when this instance starts.
def test_only_runs_that_start_during_traffic_are_cold(instance, clock):
    instance.read(server("a"))
    assert not instance.is_cold()
    instance.backends.put(server("a", started_ms=7))
    assert instance.is_cold(started_ms=7)
    clock.advance(3.9)
    assert instance.is_cold(started_ms=7)
    clock.advance(0.2)
    assert not instance.is_cold(started_ms=7)
    assert instance.limits.count_cold() == 0
    assert instance.log.names()[-2:] == ["server_cold", "server_warm"]


def test_a_stage_change_or_a_new_lease_is_no_start(instance):
    instance.read(server("a"))
    instance.backends.remove("a", lenient=True)
    instance.backends.put(server("a", stage="decode"))
    assert not instance.is_cold()


def test_registration_says_how_long_a_server_is_cold(instance, clock):
    instance.read(cold_server(5.0))
    assert instance.is_cold()
    clock.advance(5.1)
    assert not instance.is_cold()
    instance.backends.put(cold_server(6.0))
    assert instance.is_cold()
    instance.backends.put(cold_server(0.0))
    assert not instance.is_cold()
    instance.backends.put(cold_server(900.0))
    clock.advance(59.0)
    assert instance.is_cold()
    clock.advance(1.1)
    assert not instance.is_cold()


# Guards against a server that stays cold because its registration is read again.
def test_the_same_registration_does_not_count_again(instance, clock):
    instance.read(cold_server(5.0))
    clock.advance(3.0)
    instance.backends.put(cold_server(5.0))
    clock.advance(2.1)
    assert not instance.is_cold()
    instance.backends.put(cold_server(0.0))
    instance.read(cold_server(5.0), restored=True)
    assert not instance.is_cold()


def test_answers_say_how_long_a_server_is_cold(instance, clock):
    instance.read(server("a"))
    instance.cold.record_answer(server("a"), 2.0)
    assert instance.is_cold()
    clock.advance(1.0)
    instance.cold.record_answer(server("a"), 0.0)
    assert not instance.is_cold()


# Guards against a report for each answer of a cold server.
def test_answers_that_name_the_same_end_are_told_once(instance, clock):
    told = []
    instance.cold.on_news = lambda: told.append(clock.seconds())
    instance.read(server("a"))
    for number in range(40):
        instance.cold.record_answer(server("a"), 4.0 - 0.1 * number)
        clock.advance(0.1)
    assert len(told) == 1
    clock.advance(0.1)
    assert not instance.is_cold()


# Guards against a division by zero where the platform's bound allows nothing.
def test_bound_that_allows_nothing_leaves_a_rate_above_zero():
    harness = Harness(server("a"))
    none = ColdBound(overrun=0.0, slack=0.0)
    until = harness.clock.seconds() + 9.0
    limit = ColdLimit(none.rate(RATE), none.burst(RATE), until)
    harness.limits.set_cold(("a", 0), limit)
    assert harness.call("/bookings/1")[0].reason == "servers_cold"


def test_services_without_a_rate_have_no_cold_servers(clock):
    instance = ColdHarness(clock, per_second=0.0)
    instance.read(cold_server(5.0))
    instance.backends.put(server("a", started_ms=7))
    assert not instance.is_cold()
    assert not instance.is_cold(started_ms=7)


def test_rate_follows_the_configuration(instance):
    instance.read(cold_server(50.0))
    service = Service("api", 96, cold_per_second=10.0)
    instance.deployment = Deployment(2, (), (service,), ())
    instance.cold.refresh()
    assert instance.limits.rate(("a", 0)) == 10.0
    assert instance.limits.record_answer(("a", 0), 2.0, 100.0)
    assert instance.limits.rate(("a", 0)) == 2.0


# Guards against instances to which the store's changes come later, and which would
# send without a limit until then.
def test_instances_tell_each_other_of_cold_servers(instance, clock):
    other = ColdHarness(clock)
    for each in (instance, other):
        each.read(server("a"))
    instance.backends.put(cold_server(5.0))
    clock.advance(1.0)
    other.news.apply(instance.news.everything(), ReportScope.FLEET)
    assert other.is_cold()
    # The registration that comes later says the same and does not count from then on.
    clock.advance(2.0)
    other.backends.put(cold_server(5.0))
    clock.advance(2.1)
    assert not other.is_cold()


def follow(fleet, instance, *servers):
    """Let an instance of a fleet read these servers and watch for cold ones."""
    backends = Backends(fleet.clock, lambda _: None)
    service = Service("api", 96, cold_start_seconds=4.0, cold_per_second=RATE)
    configured = Deployment(1, (), (service,), ())
    cold = ColdServers(
        fleet.clock,
        backends,
        instance.limits,
        instance.news,
        instance.log,
        lambda: configured,
    )
    cold.on_news = instance.relay.schedule_report
    backends.replace_all(servers, lenient=False)
    return backends


# Guards against instances that send without a limit until the store's change reaches
# them, and against restarted ones that take a server for warm.
@pytest.mark.parametrize("size", [6, 40])
def test_first_instance_that_reads_of_a_cold_server_tells_the_fleet(size):
    fleet = Fleet(size)
    first, *_ = [follow(fleet, each, server("a")) for each in fleet.instances]
    first.put(cold_server(20.0))
    fleet.run(0.5)
    assert all(each.limits.cold(("a", 0)) for each in fleet.instances)
    fleet.kill(fleet.instances[3])
    fleet.run(3.0)
    restarted = fleet.restart(fleet.instances[3])
    follow(fleet, restarted, server("a"))
    fleet.run(0.6)
    assert restarted.limits.cold(("a", 0))
    fleet.run(16.0)
    assert not any(each.limits.cold(("a", 0)) for each in fleet.instances)


def test_rows_of_other_shapes_are_ignored(instance):
    rows = [("odd", 1, 0.0), ("answer x a", 1, 0.0), ("answer 1 a", ["x"], 0.0)]
    instance.news.apply({"cold": rows}, ReportScope.FLEET)
    assert instance.limits.count_cold() == 0


def test_news_may_come_before_the_registration(instance, clock):
    instance.read()
    instance.news.apply({"cold": [("start 7 a", 4.0, 1.0)]}, ReportScope.FLEET)
    instance.backends.put(server("a", started_ms=7))
    clock.advance(2.9)
    assert instance.is_cold(started_ms=7)
    clock.advance(0.2)
    assert not instance.is_cold(started_ms=7)


def set_cold(harness, *names, rate=RATE, seconds=30.0):
    until = harness.clock.seconds() + seconds
    for name in names:
        limit = ColdLimit(BOUND.rate(rate), BOUND.burst(rate), until)
        harness.limits.set_cold((name, 0), limit)


# Guards against calls that wait for cold servers until their time limit.
def test_calls_beyond_the_rate_of_cold_servers_are_refused_with_a_return_time():
    harness = Harness(server("a", slots=40), server("bb", slots=40))
    harness.network.on_request = lambda request: request.answer()
    set_cold(harness, "a", "bb", rate=5.0, seconds=8.0)
    responders = []
    for number in range(200):
        responders.append(harness.call(f"/bookings/{number}")[0])
        harness.advance(0.02)
    refused = [each for each in responders if each.status != 200]
    assert {(each.status, each.reason) for each in refused} == {(503, "servers_cold")}
    waits = [float(each.headers[b"retry-after"]) for each in refused]
    assert min(waits) > 0
    assert max(waits) <= 5.0
    # An instance asks each server 20 times a second at most. What is refused of that
    # in a second takes another second to serve, at a rate of 10.
    assert max(waits[100:]) >= 0.7
    harness.advance(3.9)
    assert float(harness.call("/bookings/x")[0].headers.get(b"retry-after", 0)) <= 0.2


def test_warm_servers_are_preferred_to_cold_ones():
    harness = Harness(server("a", slots=6), server("bb", slots=6))
    harness.network.on_request = lambda request: harness.clock.callLater(
        0.06, request.answer
    )
    set_cold(harness, "a")
    for number in range(60):
        harness.call(f"/lookups/{number}")
        harness.advance(0.02)
    cold, warm = (
        len(harness.network.requests_to(server(name).address)) for name in ("a", "bb")
    )
    assert 0 < cold < 0.5 * warm


def test_calls_to_cold_engines_beyond_their_rate_are_refused():
    harness = Harness(
        server("dec-a", "llm", "decode", slots=40),
        configuration=deployment(slots=40),
    )
    harness.network.on_request = lambda request: None
    set_cold(harness, "dec-a", rate=2.0)
    responders = [harness.model_call(f"/digests/{n}")[0] for n in range(20)]
    harness.advance(1.0)
    reasons = {each.reason for each in responders if each.status}
    assert reasons == {"servers_cold"}
