"""Software versions kept in the store, with releases and the end of all instances."""

from dataclasses import replace
from random import Random

import pytest
from tests.faulty_fleet import FaultyStore, StoreFault
from tests.forwarding_fakes import Harness, ListLog, server
from tests.test_stream_versions import engine_of, take_up
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.store_follower import StoreFollower
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade.forwarding.stream_origins import ORIGIN_SECONDS
from pomeloglade.forwarding.version_history import VersionHistory
from pomeloglade.protocol.software_versions import (
    SOFTWARE_VERSIONS_PREFIX,
    VersionRecord,
    decode,
    encode,
    store_key,
)
from pomeloglade_coordination.key_value import Entry, MemoryKeyValueStore

WALL_OFFSET = 1.7e9
SETTLED_SECONDS = 4.0


def decode_server(key, value):
    name = key.removeprefix("servers/")
    return replace(server(name, "llm", "decode"), software_version=value.decode())


LAYOUT = StoreLayout(
    "op/config",
    "servers/",
    "i/",
    "orders",
    None,
    decode_server,
    versions_prefix=SOFTWARE_VERSIONS_PREFIX,
)


class Instance:
    """What one instance knows of servers and their versions, from the store alone."""

    def __init__(self, fleet, name):
        clock = fleet.clock
        self.name, self.log = name, ListLog()
        self.backends = Backends(clock, lambda _: None)
        self.store = FaultyStore(clock, clock, fleet.store)
        view = StoreView(
            layout=LAYOUT,
            backends=self.backends,
            log=self.log,
            revoke_seconds=5.0,
            transit_seconds=0.1,
            apply_seconds=2.0,
        )
        follower = StoreFollower(clock, self.store, "", view, self.log, Random(1))
        self.versions = VersionHistory(
            clock=clock,
            store=self.store,
            instance=name,
            backends=self.backends,
            log=self.log,
            services=lambda: ["llm"],
            instances=lambda: [each.name for each in fleet.instances],
            store_age=follower.age,
            wall_time=lambda: clock.seconds() + WALL_OFFSET,
        )
        view.versions = self.versions
        self.following = follower.start()
        self.following.addErrback(lambda _: None)
        self.versions.start()


class Fleet:
    """Instances with one store, in which servers register with their versions."""

    def __init__(self, instances=5):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.store = MemoryKeyValueStore(self.clock)
        self.register("a", "v1")
        self.size = instances
        self.instances = []
        self.start()

    def start(self):
        names = [f"entry-{number}" for number in range(self.size)]
        self.instances = [Instance(self, name) for name in names]
        self.run(SETTLED_SECONDS)

    def kill(self, *instances):
        for each in instances:
            each.following.cancel()
            each.versions.stop()
            self.instances.remove(each)

    def restart(self, after=0.6):
        self.kill(*list(self.instances))
        self.run(after)
        self.start()

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def register(self, name, version):
        self.store.put(f"servers/{name}", version.encode())

    def leave(self, name):
        self.store.delete(f"servers/{name}")

    def fail_store(self, fault):
        for each in self.instances:
            each.store.fault = fault

    def record(self):
        (entry,) = [
            each
            for each in self.store.copy().entries
            if each.key.startswith(SOFTWARE_VERSIONS_PREFIX)
        ]
        return decode(entry.value)

    def calls(self):
        return sum(each.versions.calls for each in self.instances)

    def recent(self):
        """Return the versions that may have begun a stream, which all agree on."""
        (versions,) = {
            tuple(sorted(each.versions.recent("llm"))) for each in self.instances
        }
        return versions


@pytest.fixture
def fleet():
    return Fleet()


# Guards against joining two software versions after all instances were killed: ORDER.
def test_version_whose_servers_left_is_known_after_the_end_of_all_instances(fleet):
    fleet.register("b", "v2")
    fleet.run(SETTLED_SECONDS)
    fleet.leave("a")
    fleet.restart()
    assert fleet.recent() == ("v1", "v2")
    fleet.run(ORIGIN_SECONDS + 1.0)
    assert fleet.recent() == ("v2",)


# Guards against the same while a second version serves for a moment only.
@pytest.mark.parametrize("seconds", [1.0, 2.0, 10.0])
def test_version_that_served_for_a_moment_is_known_after_the_end_of_all(fleet, seconds):
    fleet.register("b", "v2")
    fleet.run(seconds)
    fleet.leave("b")
    fleet.restart()
    assert fleet.recent() == ("v1", "v2")
    fleet.restart()
    fleet.register("a", "v3")
    fleet.restart()
    assert fleet.recent() == ("v1", "v2", "v3")


def test_only_one_version_is_known_if_all_instances_end_and_none_is_released(fleet):
    for _ in range(3):
        fleet.restart()
        assert fleet.recent() == ("v1",)
        assert all(each.versions.complete("llm") for each in fleet.instances)
        assert fleet.calls() == 0


# Guards against prices for writes by all instances.
@pytest.mark.parametrize("instances", [6, 195])
def test_each_change_of_the_versions_is_written_once(instances):
    fleet = Fleet(instances)
    assert fleet.calls() == 1
    fleet.register("b", "v2")
    fleet.run(SETTLED_SECONDS)
    assert fleet.record().last_seen_by_version == {"v1": None, "v2": None}
    assert fleet.calls() == 2
    fleet.leave("a")
    fleet.run(SETTLED_SECONDS)
    last_seen = fleet.record().last_seen_by_version
    assert list(last_seen) == ["v1", "v2"]
    ago = fleet.clock.seconds() + WALL_OFFSET - last_seen["v1"]
    assert ago == pytest.approx(SETTLED_SECONDS, abs=1.0)
    assert fleet.calls() == 3


def test_another_instance_writes_the_record_if_the_first_one_has_ended(fleet):
    (first,) = [each for each in fleet.instances if each.versions.calls]
    fleet.kill(first)
    fleet.instances.append(first)
    fleet.register("b", "v2")
    fleet.run(SETTLED_SECONDS)
    assert "v2" in fleet.record().last_seen_by_version


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
def test_version_is_written_once_the_store_is_back(fleet, fault):
    fleet.register("b", "v2")
    fleet.clock.advance(0.02)
    fleet.fail_store(fault)
    fleet.run(10.0)
    calls = fleet.calls()
    assert calls <= 4
    fleet.fail_store(StoreFault.NONE)
    fleet.run(SETTLED_SECONDS)
    assert "v2" in fleet.record().last_seen_by_version
    assert fleet.calls() <= calls + 2


# Guards against forgetting a version with a store that returns from an older copy.
def test_store_restored_from_an_older_copy_gets_what_it_lacks(fleet):
    copy = fleet.store.copy()
    fleet.register("b", "v2")
    fleet.run(SETTLED_SECONDS)
    fleet.leave("b")
    fleet.run(1.0)
    fleet.store.restore(copy)
    fleet.run(SETTLED_SECONDS)
    assert set(fleet.record().last_seen_by_version) == {"v1", "v2"}
    fleet.restart()
    assert fleet.recent() == ("v1", "v2")
    assert all(each.versions.complete("llm") for each in fleet.instances)


# Guards against trusting an older copy that no instance could correct.
def test_versions_are_not_known_after_a_restoration_that_no_instance_survived(fleet):
    copy = fleet.store.copy()
    fleet.kill(*list(fleet.instances))
    fleet.store.restore(copy)
    fleet.start()
    assert fleet.recent() == ("v1",)
    assert not any(each.versions.complete("llm") for each in fleet.instances)
    fleet.restart()
    assert not any(each.versions.complete("llm") for each in fleet.instances)
    fleet.run(ORIGIN_SECONDS)
    assert all(each.versions.complete("llm") for each in fleet.instances)


def test_records_that_can_not_be_decoded_are_logged_and_written_again(fleet):
    fleet.store.put(store_key("llm"), b"[")
    fleet.store.put(store_key("other"), b"{}")
    fleet.run(1.0)
    assert fleet.instances[0].log.names().count("versions_rejected") == 2
    fleet.register("b", "v2")
    fleet.run(3 * SETTLED_SECONDS)
    assert decode(fleet.store.get(store_key("llm")).result.value)


def restarted_harness(record, *versions):
    """Return an instance that has just started and read a record of the store."""
    engines = [
        replace(server("d" * number, "llm", "decode"), software_version=version)
        for number, version in enumerate(versions, start=1)
    ]
    harness = Harness(server("pre", "llm", "prefill"), *engines)
    entry = Entry(store_key("llm"), encode(record), 7)
    harness.versions.replace_all([entry])
    return harness


# Guards against joining two software versions after all instances were killed: ORDER.
def test_stream_of_unknown_origin_is_not_taken_up_after_a_release_and_a_restart():
    record = VersionRecord({"v1": 998.0, "v2": None})
    harness = restarted_harness(record, "v2")
    harness.backends.replace_all(
        [replace(server("d", "llm", "decode"), software_version="v2")], lenient=False
    )
    refused = take_up(harness, b"before")
    assert (refused.status, refused.reason) == (503, "stream_origin_unknown")
    assert refused.headers[b"retry-after"]
    assert harness.network.requests == []


def test_stream_begins_at_a_version_that_the_store_has_on_record():
    harness = restarted_harness(VersionRecord({"v1": None}), "v2", "v1")
    harness.loads.begin("dd", 0)
    harness.model_call("/reports/1")
    harness.network.requests[-1].answer_prefill()
    assert engine_of(harness, harness.network.requests[-1]) == "dd"


def test_stream_begins_at_any_version_if_none_on_record_has_engines():
    harness = restarted_harness(VersionRecord({"v1": None}), "v2")
    harness.model_call("/reports/1")
    harness.network.requests[-1].answer_prefill()
    assert engine_of(harness, harness.network.requests[-1]) == "d"
