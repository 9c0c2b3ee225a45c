"""Quarantined keys in the store, with outages, old copies, and all instances ended."""

from random import Random

import pytest
from tests.faulty_fleet import FaultyStore, StoreFault
from tests.forwarding_fakes import ListLog, server
from twisted.internet.task import Clock

from pomeloglade.forwarding.backends import Backends
from pomeloglade.forwarding.crash_quarantine import (
    CRASHES_TO_QUARANTINE,
    QUARANTINE_SECONDS,
    CrashQuarantine,
)
from pomeloglade.forwarding.quarantine_store import QuarantineStore
from pomeloglade.forwarding.report_scope import ReportScope
from pomeloglade.forwarding.store_follower import StoreFollower
from pomeloglade.forwarding.store_view import StoreLayout, StoreView
from pomeloglade.protocol.quarantine import QUARANTINE_PREFIX, decode, store_key
from pomeloglade_coordination.key_value import MemoryKeyValueStore

CULPRIT, SOUND = 7, 8
ENTRY = store_key(CULPRIT)
WALL_OFFSET = 1.7e9
SETTLED_SECONDS = 4.0
NAMES = [f"entry-{number}" for number in range(5)]
LAYOUT = StoreLayout(
    "op/config",
    "servers/",
    "i/",
    "orders",
    None,
    None,
    quarantine_prefix=QUARANTINE_PREFIX,
)


class Instance:
    """What one instance knows of ended servers, with the store's view."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        clock = fleet.clock
        self.log = ListLog()
        self.quarantine = CrashQuarantine(clock, self.log)
        backends = Backends(clock, lambda _: None)
        backends.replace_all(
            [server("d" * n, "llm", "decode") for n in range(1, 5)], lenient=False
        )
        self.store = FaultyStore(clock, clock, fleet.store)
        view = StoreView(
            layout=LAYOUT,
            backends=backends,
            log=self.log,
            revoke_seconds=5.0,
            transit_seconds=0.1,
            apply_seconds=2.0,
        )
        follower = StoreFollower(clock, self.store, "", view, self.log, Random(1))
        self.kept = QuarantineStore(
            clock=clock,
            store=self.store,
            instance=name,
            quarantine=self.quarantine,
            backends=backends,
            log=self.log,
            instances=lambda: [each.name for each in fleet.instances],
            store_age=follower.age,
            wall_time=lambda: clock.seconds() + WALL_OFFSET,
        )
        view.quarantine = self.kept
        self.following = follower.start()
        self.following.addErrback(lambda _: None)
        self.kept.start()

    def lose(self, keys, name):
        self.kept.record_loss(server(name, "llm", "decode", started_ms=1))
        self.quarantine.record_crash(keys, (name, 1))
        self.fleet.report()

    def answer(self, keys):
        self.quarantine.record_answer(keys)
        self.fleet.report()

    def refuses(self, key=CULPRIT):
        return self.quarantine.seconds_left([key]) > 0


class Fleet:
    """Instances that tell each other all at once, and one store."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.store = MemoryKeyValueStore(self.clock)
        self.instances = []
        self.start()

    def start(self):
        self.instances = [Instance(self, name) for name in NAMES]
        self.run(SETTLED_SECONDS)

    def kill(self, *instances):
        for each in instances:
            each.following.cancel()
            each.kept._timer.stop()
            self.instances.remove(each)

    def report(self):
        for each in self.instances:
            crashes, sound = each.quarantine.take_due(ReportScope.OWN)
            for other in self.instances:
                if other is not each:
                    other.quarantine.apply_reported(crashes, sound, ReportScope.FLEET)

    def end_servers(self, key=CULPRIT, name="d"):
        for number in range(CRASHES_TO_QUARANTINE):
            self.instances[number].lose([key, 100 + number], f"{name}{number}")

    def run(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def refusing(self, key=CULPRIT):
        return {each.refuses(key) for each in self.instances}

    def fail_store(self, fault):
        for each in self.instances:
            each.store.fault = fault

    def entries(self):
        return {
            each.key: decode(each.value)
            for each in self.store.copy().entries
            if each.key.startswith(QUARANTINE_PREFIX)
        }

    def calls(self):
        return sum(each.kept.calls for each in self.instances)


@pytest.fixture
def fleet():
    return Fleet()


# Guards against prices for writes by all instances, and for keys with few ends.
def test_quarantined_key_is_written_once_by_the_instance_that_saw_the_third_end(fleet):
    fleet.end_servers()
    fleet.run(30.0)
    (entry,) = fleet.entries().values()
    assert (fleet.calls(), entry.written_by) == (1, "entry-2")
    assert entry.service == "llm"
    assert entry.servers == (("d0", 1), ("d1", 1), ("d2", 1))
    left = entry.until - WALL_OFFSET - fleet.clock.seconds()
    assert left == pytest.approx(QUARANTINE_SECONDS - 30.0, abs=1.0)


# Guards against ending three more servers after all instances were killed at once.
def test_quarantine_survives_the_end_of_all_instances(fleet):
    fleet.end_servers()
    fleet.run(1.0)
    fleet.kill(*list(fleet.instances))
    fleet.run(100.0)
    fleet.start()
    assert fleet.refusing() == {True}
    left = fleet.instances[0].quarantine.seconds_left([CULPRIT])
    assert left == pytest.approx(QUARANTINE_SECONDS - 105.0, abs=2.0)


def test_keys_that_always_came_together_are_all_refused_after_a_restart(fleet):
    for number in range(CRASHES_TO_QUARANTINE):
        fleet.instances[0].lose([CULPRIT, SOUND], f"d{number}")
    fleet.run(1.0)
    fleet.kill(*list(fleet.instances))
    fleet.start()
    both = [e.quarantine.seconds_left([CULPRIT, SOUND]) for e in fleet.instances]
    assert min(both) > 0
    assert fleet.refusing(SOUND) == {False}


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
def test_entry_is_written_once_the_store_is_back(fleet, fault):
    fleet.fail_store(fault)
    fleet.end_servers()
    fleet.run(20.0)
    assert fleet.refusing() == {True}
    calls = fleet.calls()
    assert calls <= 5
    fleet.fail_store(StoreFault.NONE)
    fleet.run(6.0)
    assert list(fleet.entries()) == [ENTRY]
    fleet.run(30.0)
    assert fleet.calls() <= calls + 1
    assert fleet.refusing() == {True}


# Guards against losing the knowledge with the one instance that had to write it.
def test_another_instance_writes_if_the_entry_is_missing(fleet):
    fleet.fail_store(StoreFault.DOWN)
    fleet.end_servers()
    fleet.run(1.0)
    fleet.kill(fleet.instances[2])
    fleet.fail_store(StoreFault.NONE)
    fleet.run(4.0)
    assert fleet.entries() == {}
    fleet.run(20.0)
    assert list(fleet.entries()) == [ENTRY]
    assert fleet.calls() == 1


# Guards against forgetting a quarantine, or an end of one, with a restored store.
def test_store_restored_from_an_older_copy_gets_what_it_lacks(fleet):
    copy = fleet.store.copy()
    fleet.end_servers()
    fleet.run(3.0)
    with_entry = fleet.store.copy()
    fleet.store.restore(copy)
    fleet.run(10.0)
    assert list(fleet.entries()) == [ENTRY]
    assert fleet.refusing() == {True}
    fleet.store.delete(ENTRY)
    fleet.run(SETTLED_SECONDS)
    assert fleet.refusing() == {False}
    fleet.store.restore(with_entry)
    fleet.run(2.0)
    assert fleet.refusing() == {False}
    fleet.run(20.0)
    assert fleet.entries() == {}
    assert fleet.refusing() == {False}


def test_answer_deletes_the_entry_and_ends_the_quarantine_everywhere(fleet):
    fleet.end_servers()
    fleet.run(SETTLED_SECONDS + 5.0)
    fleet.instances[4].answer([CULPRIT])
    fleet.run(SETTLED_SECONDS)
    assert fleet.entries() == {}
    assert fleet.refusing() == {False}
    assert fleet.calls() == 2


# Guards against a lifted key that reports of its earlier ends quarantine again, and
# against further ends that do not count.
def test_lifted_key_is_refused_again_only_after_further_ends(fleet):
    fleet.end_servers()
    fleet.run(SETTLED_SECONDS)
    crashes = fleet.instances[1].quarantine.everything()
    fleet.store.delete(ENTRY)
    fleet.run(SETTLED_SECONDS)
    fleet.instances[0].quarantine.apply_reported(crashes, [], ReportScope.FLEET)
    fleet.run(20.0)
    assert fleet.refusing() == {False}
    assert fleet.entries() == {}
    fleet.end_servers(name="later")
    fleet.run(SETTLED_SECONDS + 5.0)
    assert fleet.refusing() == {True}
    assert list(fleet.entries()) == [ENTRY]


def test_entry_goes_with_the_end_of_its_time_and_one_crash_renews_it(fleet):
    fleet.end_servers()
    fleet.run(SETTLED_SECONDS)
    fleet.clock.advance(QUARANTINE_SECONDS)
    fleet.run(30.0)
    assert fleet.refusing() == {False}
    assert fleet.entries() == {}
    fleet.instances[1].lose([CULPRIT], "once-more")
    fleet.run(SETTLED_SECONDS)
    assert fleet.refusing() == {True}
    assert len(fleet.entries()[ENTRY].servers) == CRASHES_TO_QUARANTINE + 1


def test_entries_that_can_not_be_decoded_are_logged_and_ignored(fleet):
    fleet.store.put(QUARANTINE_PREFIX + "no-key", b"{}")
    fleet.store.put(store_key(SOUND), b"[")
    fleet.end_servers()
    fleet.run(SETTLED_SECONDS)
    assert fleet.refusing() == {True}
    assert fleet.instances[0].log.names().count("quarantine_rejected") == 2
