"""Origins of streams in the reports of fleets of 6 to 130 instances, with faults."""

import pytest
from tests.report_fleet import KNOWN_WITHIN_SECONDS, SIZES, Fleet

from pomeloglade.forwarding.stream_origins import ORIGIN_SECONDS, StreamOrigin

ORIGIN = StreamOrigin("llm", "v2")


def begin_stream(instance, call_id="call-1"):
    instance.origins.record(call_id, ORIGIN)
    instance.relay.schedule_report()


# Guards against taking a stream up at an instance that does not know its software
# version: ORDER at refroster-fleet (second1).
@pytest.mark.parametrize("size", SIZES)
def test_every_instance_learns_which_version_began_a_stream(size):
    fleet = Fleet(size)
    begin_stream(fleet.instances[-1])
    fleet.run(KNOWN_WITHIN_SECONDS)
    assert {each.origins.find("call-1") for each in fleet.instances} == {ORIGIN}


@pytest.mark.parametrize("size", SIZES)
def test_origins_of_streams_outlive_the_instance_that_began_them(size):
    fleet = Fleet(size)
    begin_stream(fleet.instances[0])
    fleet.run(KNOWN_WITHIN_SECONDS)
    fleet.kill(fleet.instances[0])
    fleet.run(1.0)
    started = fleet.restart(fleet.instances[0])
    assert started.origins.find("call-1") is None
    fleet.run(1.0)
    assert started.origins.find("call-1") == ORIGIN


@pytest.mark.parametrize("size", SIZES)
def test_zone_that_was_cut_off_learns_the_origins_that_it_missed(size):
    fleet = Fleet(size)
    fleet.cut_zone = "zone-b"
    begin_stream(fleet.instances[0])
    fleet.run(4.0)
    cut = [each for each in fleet.instances if each.zone == "zone-b"]
    assert {each.origins.find("call-1") for each in cut} == {None}
    fleet.cut_zone = None
    fleet.run(2.5)
    assert {each.origins.find("call-1") for each in cut} == {ORIGIN}


def test_origin_reaches_all_instances_although_the_contact_dies_at_the_same_time():
    fleet = Fleet(40)
    name = fleet.instances[0].relay.contact
    group = [each for each in fleet.instances if each.relay.contact == name]
    contact = next(each for each in group if each.name == name)
    member = next(each for each in group if each.name != name)
    fleet.kill(contact)
    begin_stream(member)
    fleet.run(2.5)
    assert {each.origins.find("call-1") for each in fleet.live()} == {ORIGIN}


def test_reported_origins_are_forgotten_after_a_while():
    fleet = Fleet(6)
    begin_stream(fleet.instances[0])
    fleet.run(ORIGIN_SECONDS + 1.0)
    assert {each.origins.find("call-1") for each in fleet.instances} == {None}
