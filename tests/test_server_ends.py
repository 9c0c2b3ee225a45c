"""Lost connections that show a cut or an outage, not requests that end servers."""

from dataclasses import replace

import pytest
from tests.forwarding_fakes import Harness, ListLog, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.crash_quarantine import CrashQuarantine
from pomeloglade.forwarding.fleet_news import FleetNews
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.server_ends import ServerEnds
from pomeloglade.forwarding.server_reach import ServerReach

SHARED, OTHER = 7, 8
TRANSIT_SECONDS = 0.001
PLAIN = [server("p" * number) for number in range(1, 4)]
ENGINES = [server("d" * number, "llm", "decode") for number in range(1, 5)]


class Instance:
    """The components of one instance that tell which servers have ended."""

    def __init__(self, clock, others):
        self.clock = clock
        self.backends = backends = Backends(clock, lambda _: None)
        backends.replace_all([*PLAIN, *ENGINES], lenient=False)
        self.log = ListLog()
        self.reach = ServerReach(clock, backends, self.log)
        self.quarantine = CrashQuarantine(clock, self.log)
        self.ends = ServerEnds(clock, self.quarantine, self.reach, self.log, backends)
        self.reach.on_change = self.ends.review
        self.news = FleetNews(clock)
        self.others = others
        self.ends.share(self.news, self.report)

    def report(self):
        """Tell the others what is new, as the relay does after each change."""
        crashes, sound = self.quarantine.take_due(ReportScope.OWN)
        rows = self.news.take_due(ReportScope.OWN)
        for each in self.others:
            if each is not self:
                self.clock.callLater(
                    TRANSIT_SECONDS, each.receive, crashes, sound, rows
                )

    def receive(self, crashes, sound, rows):
        self.quarantine.apply_reported(crashes, sound, ReportScope.FLEET)
        self.news.apply(rows, ReportScope.FLEET)

    def lose(self, number, *servers, key=SHARED):
        for each in servers:
            self.reach.record_failure(each, connected=True)
            self.ends.record_loss((number, key), each)
            self.report()
        self.clock.advance(TRANSIT_SECONDS)


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(1000.0)
    return clock


@pytest.fixture
def instances(clock):
    instances = []
    instances += [Instance(clock, instances) for _ in range(3)]
    return instances


def refused(instances, key=SHARED):
    return [each.quarantine.seconds_left([key]) > 0 for each in instances]


# Guards against blaming what streams share for a cut of all instances from all servers
# (soak seed 509).
def test_part_is_not_blamed_for_streams_that_a_cut_has_ended():
    harness = Harness(*PLAIN, *ENGINES)
    harness.reach.probe = harness.probes.probe
    for number in range(4):
        harness.model_call(f"/digests/{number}", parts=b"aa:100,%d:100" % number)
        harness.call(f"/bookings/{number}")
    for each in list(harness.network.requests):
        each.reset()
    harness.network.on_request = lambda request: request.answer()
    harness.advance(5.0)
    sent = len(harness.network.requests)
    responder, _ = harness.model_call("/digests/9", parts=b"aa:100,9:100")
    assert len(harness.network.requests) == sent + 1, responder.reason


# Guards against blaming sound requests for a cut whose losses each instance sees only
# in part, and one after the other (soak seed 509).
def test_losses_before_a_cut_is_recognized_are_withdrawn_everywhere(instances, clock):
    first, second, third = instances
    for number, (each, *engines) in enumerate(
        [(first, *ENGINES[:2]), (second, *ENGINES[1:3]), (third, ENGINES[3])]
    ):
        each.lose(number, *engines)
        clock.advance(0.3)
    assert refused(instances) == [True] * 3
    for each in instances:
        for lost in (*PLAIN, *ENGINES):
            each.reach.record_failure(lost, connected=False)
    clock.advance(2 * TRANSIT_SECONDS)
    assert refused(instances) == [False] * 3
    assert "server_ends_withdrawn" in first.log.names()
    # Other instances repeat for a while what they have learned.
    clock.advance(1.0)
    first.lose(9, ENGINES[0])
    second.quarantine.apply_reported(
        [(each.id, 0, [SHARED]) for each in ENGINES], [], ReportScope.FLEET
    )
    assert refused(instances) == [False] * 3


# Guards against forgetting a request that ends all servers of its service: BUDGET
# (inc1, issue 25).
def test_request_that_ends_all_servers_of_one_service_is_blamed(instances, clock):
    for each in PLAIN:
        instances[0].lose(OTHER, each, key=OTHER)
        clock.advance(0.03)
    assert instances[0].reach.out_of_reach("api")
    assert refused(instances, OTHER) == [True] * 3


# Guards against a request that ends further servers as an instance that is cut off
# withdraws the ends that others have seen too (soak seed 542).
def test_ends_that_a_cut_instance_withdraws_count_if_others_saw_them(instances, clock):
    first, second, third = instances
    for number, each in enumerate(PLAIN):
        second.lose(number, each, key=OTHER)
        first.lose(OTHER, each, key=OTHER)
        clock.advance(0.2)
    for each in ENGINES:
        second.reach.record_failure(each, connected=False)
    assert "server_ends_withdrawn" in second.log.names()
    for _ in range(3):
        clock.advance(0.5)
        for each in instances:
            each.report()
        clock.advance(TRANSIT_SECONDS)
    assert refused(instances, OTHER) == [True] * 3


# Guards against taking it for a cut that a request and a part end all servers of two
# services at the same time.
@pytest.mark.parametrize("how", ["removed", "replaced"])
def test_ends_of_servers_of_two_services_count_once_these_are_gone(
    instances, clock, how
):
    first, second, _ = instances
    for number, (plain, engine) in enumerate(zip(PLAIN, ENGINES, strict=False)):
        first.lose(number, engine)
        second.lose(OTHER, plain, key=OTHER)
        clock.advance(0.2)
    for each in instances:
        for ended in (*PLAIN, *ENGINES):
            each.reach.record_failure(ended, connected=False)
    clock.advance(1.0)
    assert refused(instances) == [False] * 3
    for each in instances:
        for ended in (*PLAIN, *ENGINES[:3]):
            if how == "removed":
                each.backends.remove(ended.id, lenient=False)
            else:
                each.backends.put(replace(ended, id="new-" + ended.id))
        each.ends.confirm_ended()
    for _ in range(3):
        clock.advance(0.5)
        for each in instances:
            each.report()
        clock.advance(TRANSIT_SECONDS)
    assert refused(instances) == [True] * 3
    assert refused(instances, OTHER) == [True] * 3


def test_servers_that_end_one_after_the_other_are_no_burst(instances, clock):
    for number, each in enumerate(ENGINES[:3]):
        instances[0].lose(number, each)
        clock.advance(0.11)
    assert refused(instances) == [True] * 3


def test_instance_with_a_way_to_servers_keeps_what_it_has_seen(instances, clock):
    """A server ends while another instance is cut from it."""
    first, second, third = instances
    first.lose(1, ENGINES[0])
    for number, each in enumerate(ENGINES[:3], 2):
        second.lose(number, each)
    assert first.quarantine.count_ends(SHARED) == 1
    assert second.quarantine.count_ends(SHARED) == 0
    # It confirms what it has seen to those that have withdrawn it.
    clock.advance(0.5)
    first.report()
    clock.advance(TRANSIT_SECONDS)
    assert third.quarantine.count_ends(SHARED) == 1


def test_answer_of_a_server_refutes_its_end_at_all_instances(instances, clock):
    first, second, third = instances
    for number, each in enumerate(ENGINES[:3]):
        first.lose(number, each)
        clock.advance(0.2)
    assert refused(instances) == [True] * 3
    third.quarantine.record_alive(ENGINES[0].run, clock.seconds())
    clock.advance(TRANSIT_SECONDS)
    assert refused(instances) == [False] * 3
    # A later end of the same run counts again.
    clock.advance(5.0)
    second.lose(9, ENGINES[0])
    assert refused(instances) == [True] * 3


def test_rows_of_another_shape_are_ignored(instances, clock):
    first, second, _ = instances
    second.lose(1, ENGINES[0])
    for key in ("", "0/x/d", "0/0/d", "0/-1/d"):
        first.news.put("server_ends", key, {"no": "value"})
    first.report()
    clock.advance(TRANSIT_SECONDS)
    assert second.quarantine.count_ends(SHARED) == 1
