"""Allowed regions: nothing of a call leaves the regions of its route and account."""

import json
import tomllib
from dataclasses import replace

import pytest
from tests.forwarding_fakes import Harness, deployment, server
from tests.test_peer_calls import refuse
from tests.test_platform_codecs import CONFIGURATION, SETTINGS

from pomeloglade.forwarding.allowed_regions import AllowedRegions
from pomeloglade.forwarding.deployment import Deployment
from pomeloglade.forwarding.instance_groups import Peer
from pomeloglade_platform import configuration, settings

REGION_BY_ZONE = {"zone-a": "north", "zone-b": "south", "zone-c": "south"}
SOUTH, ZONES_IN_SOUTH = ("south",), ("zone-b", "zone-c")
ZONES = ("zone-a", "zone-b", "zone-c", "zone-unknown")


def restricted(by_route=(), by_account=(), version=1):
    """Return a configuration that names regions for all routes and the account."""
    usual = deployment(version)
    return Deployment(
        version,
        tuple(
            replace(each, allowed_regions=frozenset(by_route)) for each in usual.routes
        ),
        tuple(usual.services_by_name.values()),
        tuple(
            replace(each, allowed_regions=frozenset(by_account))
            for each in usual.accounts_by_name.values()
        ),
    )


def harness_in_north(*servers, **restriction):
    return Harness(
        *servers,
        configuration=restricted(**restriction),
        regions=AllowedRegions(REGION_BY_ZONE, "zone-a"),
    )


def plain_servers():
    return [
        server("s" * (number + 1), zone=zone, slots=8)
        for number, zone in enumerate(ZONES)
    ]


def engines(stages=("prefill", "decode", "decode"), zones=ZONES):
    wanted = [(zone, stage) for zone in zones for stage in stages]
    return [
        server("e" * (number + 1), "llm", stage, zone=zone, slots=8)
        for number, (zone, stage) in enumerate(wanted)
    ]


def zones_of(harness, servers):
    zone_by_address = {each.address: each.availability_zone for each in servers}
    assert len(zone_by_address) == len(servers)
    return {zone_by_address[each.address] for each in harness.network.requests}


# Guards against requests that leave the allowed regions, also when the allowed servers
# are farther away and busier than the others.
@pytest.mark.parametrize(
    ("restriction", "zones"),
    [
        ({}, set(ZONES)),
        ({"by_route": SOUTH}, set(ZONES_IN_SOUTH)),
        ({"by_account": SOUTH}, set(ZONES_IN_SOUTH)),
        ({"by_route": ("north", "south"), "by_account": ("north",)}, {"zone-a"}),
        ({"by_route": ("north",), "by_account": SOUTH}, set()),
    ],
)
def test_plain_calls_go_to_allowed_regions_only(restriction, zones):
    servers = plain_servers()
    harness = harness_in_north(*servers, **restriction)
    responders = [harness.call("/lookups/1")[0] for _ in range(12)]
    assert zones_of(harness, servers) == zones
    if not zones:
        assert {each.reason for each in responders} == {"no_server_in_region"}
        assert float(responders[0].headers[b"retry-after"]) > 0


# Guards against a retry, or a second choice, outside the regions.
def test_plain_calls_are_sent_again_in_allowed_regions_only():
    servers = plain_servers()
    harness = harness_in_north(*servers, by_route=("north",))
    responder, _ = harness.call("/lookups/1")
    harness.advance(0.3)
    assert len(harness.network.requests) == 1
    harness.network.requests[0].reset()
    harness.network.requests[-1].answer()
    assert responder.status == 200
    assert zones_of(harness, servers) == {"zone-a"}


def test_model_calls_prefill_and_decode_in_allowed_regions_only():
    servers = engines()
    harness = harness_in_north(*servers, by_route=SOUTH)
    for _ in range(6):
        harness.model_call("/reports/1")
        harness.network.requests[-1].answer_prefill()
    assert len(harness.network.requests) == 12
    for request in [each for each in harness.network.requests if not each.prefill]:
        request.begin_answer()
        request.event(1)
        request.reset()
    assert len([e for e in harness.network.requests if e.prefill]) > 6
    assert zones_of(harness, servers) <= set(ZONES_IN_SOUTH)


# Guards against a prefill abroad for want of a prefill engine in the regions.
def test_engine_prefills_itself_without_a_prefill_engine_in_the_regions():
    servers = engines(("prefill", "decode"), ["zone-a", "zone-b"])
    servers = [
        each
        for each in servers
        if each.availability_zone == "zone-a" or each.stage == "decode"
    ]
    harness = harness_in_north(*servers, by_account=SOUTH)
    harness.model_call()
    (request,) = harness.network.requests
    assert not request.prefill
    assert request.header("X-Pomeloglade-Kv-Source") is None
    # It prefills one prompt at a time, so the next call waits.
    for _ in range(50):
        harness.queue.record_duration(0.1)
    harness.model_call()
    assert len(harness.queue) == 1


def test_model_call_without_an_engine_in_the_regions_is_refused():
    harness = harness_in_north(*engines(zones=["zone-a"]), by_route=SOUTH)
    responder, _ = harness.model_call()
    assert (responder.status, responder.reason) == (503, "no_server_in_region")


def test_region_whose_zones_are_out_of_use_is_told_apart():
    harness = harness_in_north(*engines(), *plain_servers(), by_route=("north",))
    harness.backends.evacuations.put("zone-a", revision=1)
    responders = [harness.model_call()[0], harness.call("/bookings/1")[0]]
    assert {each.reason for each in responders} == {"zone_out_of_use"}


# Guards against sending by the configuration that was in force before connecting.
def test_regions_are_checked_again_before_the_first_byte():
    servers = plain_servers()
    harness = harness_in_north(*servers)
    for each in servers:
        harness.network.slow[each.address] = None
    harness.call("/bookings/1")
    harness.store_view.deployment = restricted(by_account=SOUTH, version=2)
    slow, harness.network.slow = harness.network.slow, {}
    connecting = next(address for address, waiting in slow.items() if waiting)
    harness.network.slow = {connecting: slow[connecting]}
    harness.network.connect(connecting)
    assert len(harness.network.requests) == 1
    assert zones_of(harness, servers) <= set(ZONES_IN_SOUTH)


# Guards against fetching a KV cache from a region that is no longer allowed.
def test_kv_cache_is_not_fetched_after_its_region_was_withdrawn():
    servers = engines()
    harness = harness_in_north(*servers)
    harness.model_call()
    (prefill,) = harness.network.requests
    (zone,) = zones_of(harness, servers)
    region = "north" if zone in ZONES_IN_SOUTH else "south"
    harness.store_view.deployment = restricted(by_route=(region,), version=2)
    harness.network.requests.clear()
    prefill.answer_prefill()
    allowed = {name for name, each in REGION_BY_ZONE.items() if each == region}
    assert harness.network.requests
    assert zones_of(harness, servers) <= allowed
    sources = [e.header("X-Pomeloglade-Kv-Source") for e in harness.network.requests]
    assert not any(source and prefill.address in str(source) for source in sources)


# Guards against calls behind one that waits for engines of its regions.
def test_call_that_waits_for_its_regions_does_not_hold_up_others():
    servers = engines(("prefill", "decode"), ["zone-a", "zone-b"])
    harness = harness_in_north(*servers)
    usual, harness.store_view.deployment = (
        harness.store_view.deployment,
        restricted(by_route=("north",)),
    )
    for _ in range(100):
        harness.queue.record_duration(0.05)
    for _ in range(5):
        harness.model_call()
    assert len(harness.queue) == 1
    harness.store_view.deployment = usual
    harness.model_call()
    assert len(harness.queue) == 1


# Guards against passing a call, with its body, on to an instance abroad.
def test_call_is_passed_on_within_its_regions_or_this_one():
    servers = plain_servers()
    harness = harness_in_north(*servers, by_route=SOUTH)
    harness.reach.probe = harness.probes.probe
    harness.network.down = {each.address for each in servers}
    peers = {
        zone: Peer(zone, (f"10.9.0.{number}", 7500))
        for number, zone in enumerate((*ZONES, "zone-d"))
    }
    harness.peer_calls.set_peers(peers)
    for _ in range(30):
        harness.call("/bookings/1")
        refuse(harness.network.requests[-1], "engines_full")
    asked = {each.address for each in harness.network.requests}
    assert asked == {f"10.9.0.{number}:7500" for number in range(3)}
    harness.peer_calls.set_peers({"entry-9": peers["zone-d"]})
    responder, _ = harness.call("/bookings/1")
    assert (responder.status, responder.reason) == (503, "servers_out_of_reach")


def test_regions_are_read_from_settings_and_configuration():
    table = tomllib.loads('region = "north"\n' + SETTINGS + '[zones]\nz1 = "south"\n')
    read = settings.read(table)
    assert (read.region, read.region_by_zone) == ("north", {"z1": "south"})
    stored = json.loads(json.dumps(CONFIGURATION))
    stored["routes"][0]["allowedRegions"] = ["north", "south"]
    stored["tenants"][0]["allowedRegions"] = ["south"]
    decoded = configuration.decode(json.dumps(stored).encode())
    assert decoded.routes[0].allowed_regions == {"north", "south"}
    (name,) = (each["name"] for each in stored["tenants"][:1])
    assert decoded.accounts_by_name[name].allowed_regions == {"south"}
    # The region of the instance is that of its zone, also if the table lacks it.
    regions = AllowedRegions(read.region_by_zone, "z0", read.region)
    assert regions.zones_for(decoded.routes[0], None) == {"z0", "z1"}
