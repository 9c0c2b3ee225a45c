"""Tests of suspects."""

from datetime import timedelta

import pytest
from tests.test_placement import Fleet

from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.placement import Assignment, Replica
from pomeloglade_coordination.placement_messages import SuspectsFound
from pomeloglade_coordination.refusals import Reason
from pomeloglade_coordination.suspects import Admission, Suspects

RESTART_SECONDS = 1.0
CRASH_SECONDS = 0.1
POOL = "roster-api"
SERVERS = tuple(Replica(f"s{n}", POOL, "plain", "zone-a", 8) for n in range(1, 6))


class CrashingFleet(Fleet):
    """A fleet whose servers crash when they run a request with fingerprint ``bad``."""

    def __init__(self, clock):
        super().__init__(clock, SERVERS)
        self.running_by_server = {server.name: [] for server in SERVERS}
        self.crashed_servers = []
        self.refused = []
        self.completed_ids = []

    def call(self, instance, request_id, fingerprint):
        """Send one call through an instance, in the steps of the router."""
        admission = self.suspects[instance].admit(fingerprint)
        if not isinstance(admission, Admission):
            self.refused.append((request_id, admission.reason))
            return
        answers = self.assign(
            instance,
            request_id,
            pool=POOL,
            kind="plain",
            fingerprint=fingerprint,
            alone=admission is Admission.RUN_ALONE,
        )
        self.clock.callLater(0.02, self._run, answers, instance, request_id)

    def _run(self, answers, instance, request_id):
        if not answers or not isinstance(answers[0], Assignment):
            reason = answers[0].reason if answers else None
            self.refused.append((request_id, reason))
            self.placements[instance].cancel(request_id)
            return
        fingerprint = request_id.split("/")[0]
        server = answers[0].server
        self.suspects[instance].request_sent(fingerprint, server)
        run = (instance, request_id, fingerprint)
        self.running_by_server[server].append(run)
        if fingerprint == "bad":
            self.clock.callLater(CRASH_SECONDS, self._crash, run, server)
        else:
            self.clock.callLater(1.0, self._finish, run, server)

    def _finish(self, run, server):
        if run not in self.running_by_server[server]:
            return
        instance, request_id, fingerprint = run
        self.running_by_server[server].remove(run)
        self.suspects[instance].request_completed(fingerprint)
        self.placements[instance].release(request_id, completed=True)
        self.completed_ids.append(request_id)

    def _crash(self, run, server):
        runs = self.running_by_server[server]
        if run not in runs:
            return
        self.running_by_server[server] = []
        self.crashed_servers.append(server)
        for instance in {each[0] for each in runs}:
            self.suspects[instance].server_crashed(server)
            self.placements[instance].replica_failed(server)
            self.clock.callLater(
                RESTART_SECONDS, self.placements[instance].replica_recovered, server
            )
        for instance, request_id, _ in runs:
            self.placements[instance].release(request_id)


@pytest.fixture
def crashing(clock):
    return CrashingFleet(clock)


def test_request_resent_through_three_instances_crashes_only_two_servers(crashing):
    for number in range(60):
        for instance in ("i1", "i2", "i3"):
            crashing.call(instance, f"bad/{number}-{instance}", "bad")
        crashing.advance(0.05)
    crashing.advance(2.0)
    assert len(crashing.crashed_servers) == 2
    assert (f"bad/{59}-i1", Reason.SUSPECT) in crashing.refused


def test_no_third_server_crashes_if_only_the_owner_receives_crash_reports(crashing):
    deliver = crashing.deliver
    owner = crashing.placements["i1"]._owner_of(POOL)

    def deliver_reports_only_to_owner(source, target, message):
        if target == owner or not isinstance(message, SuspectsFound):
            deliver(source, target, message)

    crashing.deliver = deliver_reports_only_to_owner
    others = [name for name in crashing.placements if name != owner]
    for number in range(100):
        crashing.call(others[number % 2], f"bad/{number}", "bad")
        crashing.advance(0.05)
    assert len(crashing.crashed_servers) == 2


def test_suspects_are_cleared_when_answered_in_full(crashing):
    _set_reachable(crashing, ["s1"])
    harmless = ("good-1", "good-2")
    for name in harmless:
        crashing.call("i1", f"{name}/1", name)
    crashing.call("i1", "bad/1", "bad")
    crashing.advance(0.2)
    _set_reachable(crashing, [server.name for server in SERVERS])
    suspects = crashing.suspects["i3"]
    assert crashing.crashed_servers == ["s1"]
    for name in harmless:
        assert suspects.admit(name) is Admission.RUN_ALONE
        crashing.call("i3", f"{name}/2", name)
    crashing.advance(3.0)
    assert crashing.completed_ids == [f"{name}/2" for name in harmless]
    for each in crashing.suspects.values():
        assert {each.admit(name) for name in harmless} == {Admission.RUN}
        assert each.admit("bad") is Admission.RUN_ALONE


def _set_reachable(crashing, names):
    for placement in crashing.placements.values():
        for server in SERVERS:
            if server.name in names:
                placement.replica_recovered(server.name)
            else:
                placement.replica_failed(server.name)


def test_two_suspects_never_share_a_server(crashing):
    for suspects in crashing.suspects.values():
        for number in range(6):
            suspects.request_sent(f"good-{number}", "s1")
    crashing.suspects["i1"].server_crashed("s1")
    crashing.advance(0.01)
    for number in range(6):
        crashing.call("i2", f"good-{number}/2", f"good-{number}")
    crashing.advance(0.05)
    assert max(len(runs) for runs in crashing.running_by_server.values()) == 1


@pytest.fixture
def suspects(clock):
    members = FixedMembership(Member("i1", "zone-a", 1))
    return Suspects(
        clock=clock,
        members=members,
        sender=None,
        conviction=timedelta(seconds=600),
    )


def test_second_crash_convicts_until_the_conviction_expires(clock, suspects):
    for server in ("s1", "s2"):
        suspects.request_sent("bad", server)
        suspects.server_crashed(server)
        clock.advance(5.0)
    refusal = suspects.admit("bad")
    assert refusal.reason is Reason.SUSPECT
    assert refusal.not_run
    assert refusal.retry_after == timedelta(seconds=595)
    suspects.request_completed("bad")
    assert suspects.admit("bad") != Admission.RUN
    clock.advance(595.0)
    suspects.tick()
    assert suspects.admit("bad") is Admission.RUN
    assert suspects.counters()["convicted"] == 0


def test_crash_reported_twice_counts_once(clock, suspects):
    suspects.request_sent("copy", "s1")
    suspects.request_sent("copy", "s1")
    suspects.server_crashed("s1")
    suspects.server_crashed("s1")
    assert suspects.admit("copy") is Admission.RUN_ALONE


def test_second_crash_on_a_restarted_server_convicts(clock, suspects):
    for _ in range(2):
        suspects.request_sent("bad", "s1")
        suspects.server_crashed("s1")
        clock.advance(0.5)
    assert suspects.admit("bad").reason is Reason.SUSPECT


def test_joining_instance_receives_the_suspects(clock):
    fleet = Fleet(clock)
    late = fleet.members[2]
    for name in ("i1", "i2"):
        fleet.views[name].set_members(tuple(fleet.members[:2]))
    fleet.suspects["i1"].request_sent("bad", "d1")
    fleet.suspects["i1"].server_crashed("d1")
    fleet.advance(5.0)
    assert fleet.suspects["i3"].admit("bad") is Admission.RUN
    for name in ("i1", "i2"):
        fleet.views[name].set_members((*fleet.members[:2], late))
    fleet.advance(0.01)
    assert fleet.suspects["i3"].admit("bad") is Admission.RUN_ALONE
