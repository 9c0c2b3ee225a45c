"""Limits that backend servers name, on the request path and over a fleet."""

from random import Random

import pytest
from tests.forwarding_fakes import Harness, server
from tests.report_fleet import SIZES, Fleet

from pomeloglade.forwarding.instance_reports import Report, decode, encode

LIMIT = 2.5
HEADER = b"2.5"
CALLS_PER_SECOND = 20
LIMIT_WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * LIMIT_WINDOW_SECONDS + 5
"""Requests that a server with this limit may get in any such window."""


@pytest.fixture
def plain_servers():
    return server("a"), server("bb"), server("ccc")


@pytest.fixture
def harness(plain_servers):
    return Harness(*plain_servers)


def answer_with_limits(harness, limited, at_by_address):
    """Let servers answer at once, and those in ``limited`` name a limit."""

    def answer(request):
        name = request.header("X-Pomeloglade-Expect-Instance").decode()
        at_by_address.setdefault(name, []).append(harness.clock.seconds())
        header = HEADER if name in limited else None
        if request.prefill:
            request.answer_prefill(server_limit=header)
        elif request.head.target.startswith((b"/digests", b"/reports")):
            request.begin_answer(server_limit=header)
            request.event(1)
            request.end()
        else:
            request.answer(server_limit=header)

    harness.network.on_request = lambda request: harness.clock.callLater(
        0.0, answer, request
    )


def send_for(harness, seconds, start, per_second=CALLS_PER_SECOND):
    """Start calls evenly and return their responders."""
    responders = []
    for number in range(round(seconds * per_second)):
        responders.append(start(number)[0])
        harness.advance(1.0 / per_second)
    return responders


def most_in_window(times):
    return max(
        (sum(t <= each < t + LIMIT_WINDOW_SECONDS for each in times) for t in times),
        default=0,
    )


# Guards against sending a server more requests than the limit that it names: LIMIT
# (inc1, issue 28).
@pytest.mark.parametrize("target", ["/lookups", "/bookings"])
def test_servers_get_no_more_requests_than_the_limits_that_they_name(harness, target):
    sent = {}
    answer_with_limits(harness, {"a", "bb", "ccc"}, sent)
    responders = send_for(harness, 11.0, lambda n: harness.call(f"{target}/{n}"))
    settled = harness.clock.seconds() - 8.0
    for times in sent.values():
        assert most_in_window([t for t in times if t >= settled]) <= ALLOWED
        # What the server takes is used.
        assert sum(t >= settled for t in times) >= 0.75 * LIMIT * 8.0
    refused = [each for each in responders if each.status != 200]
    assert {(each.status, each.reason) for each in refused} == {
        (503, "servers_limited")
    }
    assert all(float(each.headers[b"retry-after"]) > 0 for each in refused)


# Guards against sending a server more requests than the limit that it names: LIMIT
# (inc1, issue 28).
def test_calls_go_to_the_other_servers_while_one_names_a_limit(harness):
    sent = {}
    answer_with_limits(harness, {"a"}, sent)
    responders = send_for(harness, 8.0, lambda n: harness.call(f"/bookings/{n}"))
    assert {each.status for each in responders} == {200}
    settled = harness.clock.seconds() - 5.0
    assert most_in_window([t for t in sent["a"] if t >= settled]) <= ALLOWED
    assert sum(t >= settled for t in sent["a"]) >= 0.75 * LIMIT * 5.0


# Guards against sending an engine more requests than the limit that it names: LIMIT
# (inc1, issue 28).
@pytest.mark.parametrize("limited", [{"pre"}, {"dec-a", "dec-bb"}, {"dec-a"}])
def test_engines_get_no_more_requests_than_the_limits_that_they_name(limited):
    harness = Harness(
        server("pre", "llm", "prefill", slots=12),
        server("dec-a", "llm", "decode", slots=12),
        server("dec-bb", "llm", "decode", slots=12),
    )
    sent = {}
    answer_with_limits(harness, limited, sent)
    responders = send_for(harness, 11.0, lambda n: harness.model_call(f"/digests/{n}"))
    harness.advance(1.0)
    settled = harness.clock.seconds() - 8.0
    for name in limited:
        assert most_in_window([t for t in sent[name] if t >= settled]) <= ALLOWED
        assert sum(t >= settled for t in sent[name]) >= 0.75 * LIMIT * 8.0
    if len(limited) == 1:
        assert {each.status for each in responders} == {200}
    else:
        assert {each.status for each in responders} == {200, 503}


class LimitedServer:
    """A server of a fleet that names a limit in its answers."""

    def __init__(self, fleet, name, rate):
        self.fleet = fleet
        self.run = (name, 0)
        self.rate = rate
        self.times = []

    def ask(self, instance):
        """Send a request from an instance unless its limits forbid it."""
        if not instance.alive or not instance.limits.try_take(self.run):
            return False
        instance.relay.schedule_report()
        now = self.fleet.clock.seconds()
        self.times.append(now)
        self.fleet.clock.callLater(0.01, self.answer, instance, now)
        return True

    def answer(self, instance, sent_at):
        if instance.limits.record_answer(self.run, self.rate, sent_at):
            instance.relay.schedule_report()

    def allowed(self):
        return 1.5 * self.rate * LIMIT_WINDOW_SECONDS + 5


def demand(fleet, server, seconds, per_second, instances=None, seed=1):
    """Let calls come to random instances; return the fraction that was sent."""
    random = Random(seed)
    sent, count = 0, round(seconds * per_second)
    for _ in range(count):
        sent += server.ask(random.choice(instances or fleet.instances))
        fleet.run(1.0 / per_second)
    return sent / count


def since(server, seconds):
    oldest = server.fleet.clock.seconds() - seconds
    return [each for each in server.times if each >= oldest]


# Guards against each instance keeping to a limit by itself: LIMIT (inc1, issue 28).
@pytest.mark.parametrize(
    ("size", "callers", "rate", "calls_per_second"),
    [
        (6, "few", 2.5, 20),
        (6, "all", 0.5, 20),
        (6, "all", 20.0, 80),
        (16, "all", 2.5, 20),
        (40, "few", 2.5, 20),
        (40, "all", 0.5, 20),
        (40, "all", 20.0, 80),
        (130, "few", 20.0, 80),
        (130, "all", 2.5, 20),
    ],
)
def test_fleet_of_any_size_keeps_a_limit_and_uses_it(
    size, callers, rate, calls_per_second
):
    fleet = Fleet(size)
    server = LimitedServer(fleet, "a", rate)
    instances = fleet.instances[:2] if callers == "few" else fleet.instances
    demand(fleet, server, 11.0, calls_per_second, instances)
    times = since(server, 8.0)
    assert most_in_window(times) <= server.allowed()
    assert len(times) >= 0.75 * rate * 8.0 - 1


# Guards against all instances sending at once when a limit has room: LIMIT (inc1,
# issue 28).
def test_busy_fleet_keeps_a_limit(monkeypatch):
    """Its reports take some time, and each waits for the shortest interval."""
    monkeypatch.setattr("tests.report_fleet.TRANSIT_SECONDS", 0.03)
    fleet = Fleet(40)
    server = LimitedServer(fleet, "a", LIMIT)
    random = Random(1)
    for _ in range(8 * 200):
        server.ask(random.choice(fleet.instances))
        for _ in range(4):
            random.choice(fleet.instances).relay.schedule_report()
        fleet.run(0.005)
    assert most_in_window(since(server, 6.0)) <= server.allowed()
    assert len(since(server, 6.0)) >= 0.75 * LIMIT * 6.0 - 1


# Guards against instances that fall back to their former ways: LIMIT (inc1, issue 28).
@pytest.mark.parametrize("size", [6, 40])
def test_restarted_instances_keep_a_limit(size):
    fleet = Fleet(size)
    server = LimitedServer(fleet, "a", LIMIT)
    demand(fleet, server, 3.0, 20.0)
    for number in range(0, size, 2):
        fleet.kill(fleet.instances[number])
        demand(fleet, server, 8.0 / size, 20.0)
        fleet.restart(fleet.instances[number])
        demand(fleet, server, 8.0 / size, 20.0)
    assert most_in_window(since(server, 8.0)) <= server.allowed()


@pytest.mark.parametrize("size", [6, 42])
def test_sides_of_a_cut_keep_a_limit_together(size):
    fleet = Fleet(size)
    server = LimitedServer(fleet, "a", LIMIT)
    demand(fleet, server, 3.0, 20.0)
    fleet.cut_zone = "zone-a"
    demand(fleet, server, 8.0, 20.0)
    assert most_in_window(since(server, 8.0)) <= server.allowed()
    assert len(since(server, 8.0)) >= 0.5 * LIMIT * 8.0


def test_instances_that_hear_of_no_other_keep_a_limit_together():
    fleet = Fleet(130)
    server = LimitedServer(fleet, "a", LIMIT)
    demand(fleet, server, 3.0, 20.0)
    fleet.transmit = lambda *_: None
    demand(fleet, server, 8.0, 20.0)
    assert most_in_window(since(server, 8.0)) <= server.allowed()


@pytest.mark.parametrize("size", SIZES)
def test_end_of_a_limit_reaches_instances_that_sent_nothing(size):
    fleet = Fleet(size)
    server = LimitedServer(fleet, "a", LIMIT)
    senders, idle = fleet.instances[:2], fleet.instances[-1]
    demand(fleet, server, 4.0, 20.0, senders)
    assert idle.limits.limited(server.run)
    server.rate = None
    demand(fleet, server, 2.0, 20.0, senders)
    assert not any(each.limits.limited(server.run) for each in fleet.instances)
    assert demand(fleet, server, 1.0, 20.0) == 1.0


def test_restarted_instance_learns_a_limit_from_the_others():
    fleet = Fleet(40)
    server = LimitedServer(fleet, "a", LIMIT)
    demand(fleet, server, 4.0, 20.0, fleet.instances[:2])
    fleet.run(5.0)
    fleet.kill(fleet.instances[7])
    restarted = fleet.restart(fleet.instances[7])
    fleet.run(1.0)
    assert restarted.limits.limited(server.run)


def test_restarted_server_has_no_limit():
    harness = Harness(server("a", started_ms=1))
    sent = {}
    answer_with_limits(harness, {"a"}, sent)
    send_for(harness, 1.0, lambda n: harness.call(f"/lookups/{n}"))
    assert harness.limits.limited(("a", 1))
    answer_with_limits(harness, set(), sent)
    harness.backends.put(server("a", started_ms=2))
    responders = send_for(harness, 1.0, lambda n: harness.call(f"/lookups/{n}"))
    assert {each.status for each in responders} == {200}


def test_server_with_a_limit_of_nothing_is_asked_until_it_names_no_more():
    harness = Harness(server("a"))
    harness.limits.record_answer(("a", 0), 0.0, harness.clock.seconds())
    harness.network.on_request = lambda request: request.answer()
    assert harness.call("/lookups/1")[0].reason == "servers_limited"
    harness.advance(10.0)
    assert harness.call("/lookups/2")[0].status == 200
    assert not harness.limits.limited(("a", 0))


def test_reports_carry_limits_and_their_ends():
    limits = [("a", 7, 2.5, 0.125), ("b", 8, None, 1.0)]
    report = decode(encode(Report("entry-1", 1, 1, limits=limits)))
    assert report.limits == limits


CONTROL_BYTES_PER_SECOND = 4_000
"""Control traffic that an instance of a large fleet may cause."""


@pytest.mark.parametrize("size", [6, 195])
def test_bytes_are_bounded_while_many_servers_name_limits(size):
    """The same requests without limits are reported too, so they are compared."""
    bytes_by_rate = {}
    for rate in (None, LIMIT):
        fleet = Fleet(size)
        before = sum(each.bytes for each in fleet.instances)
        servers = [LimitedServer(fleet, f"server-{n}", rate) for n in range(60)]
        random = Random(1)
        for _ in range(200):
            for limited in random.sample(servers, 3):
                limited.ask(random.choice(fleet.instances))
            fleet.run(0.01)
        sent = sum(each.bytes for each in fleet.instances) - before
        bytes_by_rate[rate] = sent / size / 2.0
        logged = {name for each in fleet.instances for name in each.log.names()}
        assert "report_too_large" not in logged
    assert bytes_by_rate[LIMIT] - bytes_by_rate[None] < CONTROL_BYTES_PER_SECOND
