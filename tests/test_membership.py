"""Tests of membership over a simulated network in virtual time."""

import pytest
from bench.membership_model import Fleet

from pomeloglade_coordination import membership as membership_module
from pomeloglade_coordination.failure_detector import FENCE_SECONDS, SILENCE_SECONDS
from pomeloglade_coordination.members import Member
from pomeloglade_coordination.membership import (
    HEARTBEAT_SECONDS,
    JOIN_SECONDS,
    TICK_SECONDS,
    ListedInstance,
    MembershipEvent,
)
from pomeloglade_coordination.membership_messages import (
    DeclaredDead,
    FleetFingerprint,
    Heartbeat,
    Presence,
)
from pomeloglade_coordination.zones import contacts

SETTLE_SECONDS = 4.0
DETECTION_SECONDS = SILENCE_SECONDS + HEARTBEAT_SECONDS + 2 * TICK_SECONDS
DEATH_SECONDS = FENCE_SECONDS + HEARTBEAT_SECONDS + 2 * TICK_SECONDS


@pytest.fixture
def fleet():
    made = Fleet((2, 2, 2))
    made.advance(SETTLE_SECONDS)
    return made


def names(node, zone=None):
    return [member.instance for member in node.members.live(zone)]


def all_views_complete(fleet):
    expected = sorted(fleet.network.nodes_by_instance)
    return all(names(node) == expected for node in fleet.nodes)


def test_every_instance_sees_all_with_two_contacts_per_zone():
    fleet = Fleet((5, 4, 4))
    fleet.advance(SETTLE_SECONDS)
    assert all_views_complete(fleet)
    targets = [len(node.members.connection_targets()) for node in fleet.nodes]
    assert max(targets) == 4 + 2 * 2
    assert min(targets) == 3


def test_partitioned_zone_continues_alone_and_rejoins(fleet):
    fleet.network.isolate_zone("zone-0")
    fleet.advance(DETECTION_SECONDS)
    assert names(fleet.node("z0-i0")) == ["z0-i0", "z0-i1"]
    assert names(fleet.node("z1-i0")) == ["z1-i0", "z1-i1", "z2-i0", "z2-i1"]
    fleet.advance(30)
    fleet.network.cut_zones.clear()
    fleet.advance(JOIN_SECONDS + 2 * TICK_SECONDS)
    assert all_views_complete(fleet)
    assert all(node.dead == [] for node in fleet.nodes)


def test_killed_instance_is_declared_dead_once_in_its_zone_only(fleet):
    fleet.node("z0-i0").kill()
    fleet.advance(FENCE_SECONDS - HEARTBEAT_SECONDS - 2 * TICK_SECONDS)
    assert fleet.node("z0-i1").dead == []
    fleet.advance(DETECTION_SECONDS)
    assert all_views_complete(fleet)
    fleet.advance(DEATH_SECONDS)
    dead = Member("z0-i0", "zone-0", 1, "a0-0")
    assert fleet.node("z0-i1").dead == [dead]
    assert fleet.node("z0-i1").members.dead("z0-i0").member == dead
    assert [node.dead for node in fleet.nodes[1:]] == [[]] * 4


def test_frozen_instance_is_fenced_before_it_is_declared_dead(fleet):
    frozen = fleet.node("z0-i0")
    fenced_at_death = []
    peer = fleet.node("z0-i1").members
    peer.subscribe_death(lambda _: fenced_at_death.append(frozen.members.fenced))
    frozen.freeze()
    fleet.advance(20)
    assert fenced_at_death == [True]
    assert frozen.members.fenced
    frozen.wake()
    fleet.advance(SETTLE_SECONDS)
    assert [member.incarnation for member in frozen.fenced] == [1]
    assert frozen.members.own.incarnation == 2
    assert all_views_complete(fleet)
    assert fleet.node("z1-i0").members.member("z0-i0").incarnation == 2
    assert frozen.dead == []


def test_short_pause_neither_fences_nor_declares_anyone_dead(fleet):
    paused = fleet.node("z0-i0")
    paused.freeze()
    fleet.advance(FENCE_SECONDS - HEARTBEAT_SECONDS - 4 * TICK_SECONDS)
    paused.wake()
    fleet.advance(10)
    assert paused.fenced == []
    assert all(node.dead == [] for node in fleet.nodes)
    assert all_views_complete(fleet)


def test_new_incarnation_replaces_the_old_and_its_messages_are_ignored(fleet):
    peer = fleet.node("z0-i1")
    fleet.node("z0-i0").kill()
    new = fleet.start("z0-i0", incarnation=2)
    fleet.advance(2)
    assert peer.members.member("z0-i0").incarnation == 2
    assert peer.dead == []
    peer.deliver("z0-i0", Heartbeat(1, leaving=True))
    assert "z0-i0" in names(peer)
    assert peer.members.counters[MembershipEvent.OLD_INCARNATION] == 1
    fleet.advance(DEATH_SECONDS)
    assert [member.incarnation for member in peer.dead] == [1]
    assert new.fenced == []


def test_running_instance_declared_dead_starts_a_new_incarnation(fleet):
    node = fleet.node("z0-i0")
    node.deliver("z0-i1", DeclaredDead(7))
    assert node.fenced == []
    node.deliver("z0-i1", DeclaredDead(1))
    assert [member.incarnation for member in node.fenced] == [1]
    fleet.advance(2)
    assert all_views_complete(fleet)


def test_probes_prevent_a_false_death_when_one_link_is_cut(fleet):
    fleet.network.cut_pairs.add(frozenset(("z0-i0", "z0-i1")))
    for _ in range(40):
        fleet.advance(1)
        assert all_views_complete(fleet)
    assert all(node.dead == [] for node in fleet.nodes)
    assert fleet.node("z0-i0").members.counters[MembershipEvent.PROBE_REFUTED] > 0


def test_without_probes_a_cut_link_causes_a_false_death(fleet, monkeypatch):
    monkeypatch.setattr(membership_module, "PROBES_PER_SUSPECT", 0)
    fleet.network.cut_pairs.add(frozenset(("z0-i0", "z0-i1")))
    fleet.advance(DEATH_SECONDS)
    assert [member.instance for member in fleet.node("z0-i0").dead] == ["z0-i1"]


def test_message_loss_causes_no_false_death_and_updates_still_arrive():
    fleet = Fleet((4, 3, 3), seed=3)
    fleet.network.loss_probability = 0.1
    fleet.advance(20)
    fleet.node("z2-i0").kill()
    fleet.advance(40)
    dead = {member.instance for node in fleet.nodes for member in node.dead}
    assert dead == {"z2-i0"}
    fleet.network.loss_probability = 0.0
    fleet.advance(7)
    assert all_views_complete(fleet)


def test_zone_stays_reachable_when_both_its_contacts_fail():
    fleet = Fleet((5, 5, 5))
    fleet.advance(SETTLE_SECONDS)
    inside = fleet.nodes[0].members.live("zone-0")
    for contact in contacts("zone-0", inside):
        fleet.node(contact.instance).kill()
    fleet.advance(DEATH_SECONDS + JOIN_SECONDS)
    assert all_views_complete(fleet)
    fleet.advance(10)
    assert all_views_complete(fleet)


def test_leaving_instance_is_not_live_but_can_be_looked_up(fleet):
    fleet.node("z0-i0").members.announce_leaving()
    fleet.advance(2)
    for node in fleet.nodes[1:]:
        assert "z0-i0" not in names(node)
    assert fleet.node("z0-i1").members.member("z0-i0").instance == "z0-i0"
    assert "z0-i0" in names(fleet.node("z0-i0"))


def test_instance_listed_as_leaving_is_not_live(fleet):
    entry = ListedInstance("z0-i0", "zone-0", "a0-0", leaving=True)
    fleet.node("z0-i1").members.update_listing([entry])
    fleet.advance(2)
    assert "z0-i0" not in names(fleet.node("z0-i1"))


def test_instance_without_a_list_discovers_all_from_one_seed(fleet):
    fleet.node("z0-i0").kill()
    for each in fleet.nodes:
        each.members.update_listing([])
    fleet.advance(DEATH_SECONDS)
    node = fleet.start("z0-i0", incarnation=2)
    node.members.update_listing([])
    node.members.peer_connected(fleet.node("z1-i1").members.own)
    fleet.advance(SETTLE_SECONDS)
    assert all_views_complete(fleet)


def test_lost_update_is_found_by_the_fleet_fingerprint():
    fleet = Fleet((4, 3))
    fleet.advance(SETTLE_SECONDS)
    node = next(n for n in fleet.nodes if not n.members.connection_targets()[3:])
    node.members._exchange.zones._zone("zone-1").members_by_instance.clear()
    node.members._exchange.zones._zone("zone-1").fingerprint = 0
    node.deliver(
        contacts("zone-0", node.members.live("zone-0"))[0].instance, FleetFingerprint(1)
    )
    fleet.advance(1)
    assert all_views_complete(fleet)


def test_peer_without_an_address_keeps_its_listed_address(fleet):
    node = fleet.node("z0-i0")
    fleet.node("z0-i1").kill()
    without_address = Member("z0-i1", "zone-0", 2)
    node.deliver("z0-i1", Presence(without_address))
    fleet.advance(1)
    addresses = {
        each.instance: each.address for each in node.members.connection_targets()
    }
    assert addresses["z0-i1"] == "a0-1"


def test_messages_of_unknown_senders_are_counted_and_ignored(fleet):
    node = fleet.node("z0-i0")
    before = names(node)
    node.deliver("stranger", Heartbeat(1))
    node.deliver("z9-i9", FleetFingerprint(1))
    assert node.members.counters[MembershipEvent.UNKNOWN_SENDER] >= 1
    assert names(node) == before
