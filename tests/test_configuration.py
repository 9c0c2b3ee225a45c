"""Tests of the distribution of the configuration and its storage in shards."""

import json
import random

import hypothesis
import pytest
from bench.membership_model import DisconnectableStore, Fleet
from hypothesis import strategies
from twisted.internet.defer import Deferred, fail

from pomeloglade_coordination import configuration_source
from pomeloglade_coordination.configuration import (
    ANNOUNCE_SECONDS,
    CONFIGURATION_KEY,
    CUT_OFF_SECONDS,
    ConfigurationEvent,
    ShardedConfiguration,
)
from pomeloglade_coordination.configuration_delta import apply, difference, digest
from pomeloglade_coordination.configuration_messages import (
    ConfigurationChunk,
    ConfigurationDelta,
    ConfigurationRevision,
    Splice,
)
from pomeloglade_coordination.configuration_shards import (
    SHARD_PREFIX,
    ManifestError,
    PublishOvertakenError,
)
from pomeloglade_coordination.errors import (
    KeyValueOutcomeUnknownError,
    RevisionConflictError,
)
from pomeloglade_coordination.key_value import MAX_VALUE_BYTES, MemoryKeyValueStore
from pomeloglade_coordination.zones import contacts

IN_FORCE_SECONDS = 3.0
SETTLE_SECONDS = 4.0


@pytest.fixture(params=[(2, 2, 2), (5, 4, 4)], ids=["6", "13"])
def fleet(request):
    made = Fleet(request.param)
    made.advance(SETTLE_SECONDS)
    return made


def deployment(accounts, changed=-1, rate=1000):
    """Return a configuration as JSON, with one client account's rate changed."""
    return json.dumps(
        {
            f"account-{number:05}": {
                "rate": rate if number == changed else 10,
                "burst": 50,
                "keys": {"main": digest(b"%d" % number).hex()},
            }
            for number in range(accounts)
        }
    ).encode()


def publish_and_wait(fleet, value, limit=IN_FORCE_SECONDS):
    revision = fleet.publish(value)
    seconds = fleet.seconds_until(lambda: fleet.in_force(revision), limit)
    assert fleet.in_force(revision), f"not in force after {seconds} s"
    return revision


def set_platform(fleet, up, zones=None):
    for node in fleet.nodes:
        if zones is None or node.zone in zones:
            node.store.reachable = up


def test_change_is_in_force_everywhere_and_reported(fleet):
    publish_and_wait(fleet, b"one")
    revision = publish_and_wait(fleet, b"two")
    for node in fleet.nodes:
        node.spread.in_force_by_instance()
    fleet.advance(0.5)
    for node in fleet.nodes:
        node.spread.in_force_by_instance()
    fleet.advance(0.5)
    expected = dict.fromkeys(sorted(n.instance for n in fleet.nodes), revision)
    for node in fleet.nodes:
        assert dict(sorted(node.spread.in_force_by_instance().items())) == expected
        assert node.spread.value == b"two"


def test_unanswered_watches_do_not_delay_a_change(fleet):
    publish_and_wait(fleet, b"one")
    for node in fleet.nodes:
        node.store.silent_watches = True
    publish_and_wait(fleet, b"two")
    fleet.advance(40)
    watchers = [node for node in fleet.nodes if node.spread.is_watcher()]
    for node in watchers:
        assert node.spread.counters[ConfigurationEvent.WATCH_SILENT] >= 1
        node.store.silent_watches = False


def test_polls_find_changes_of_a_large_value_within_the_bound():
    fleet = Fleet((1, 1))
    fleet.advance(SETTLE_SECONDS)
    publish_and_wait(fleet, deployment(500))
    for node in fleet.nodes:
        node.store.silent_watches = True
    for changed in range(12):
        fleet.advance(1.3)
        publish_and_wait(fleet, deployment(500, changed))


def test_store_error_does_not_end_watch_and_poll(fleet, monkeypatch):
    publish_and_wait(fleet, b"one")

    def broken(*_, **__):
        raise RuntimeError("not an error type of the key-value interface")

    with monkeypatch.context() as patch:
        patch.setattr(DisconnectableStore, "get", broken)
        patch.setattr(DisconnectableStore, "watch", broken)
        fleet.advance(100)
    publish_and_wait(fleet, b"two")


def test_without_polls_unanswered_watches_delay_a_change(fleet, monkeypatch):
    publish_and_wait(fleet, b"one")
    monkeypatch.setattr(configuration_source, "WATCHER_POLL_SECONDS", 1e6)
    monkeypatch.setattr(configuration_source, "WATCHER_POLL_MAX_SECONDS", 1e6)
    monkeypatch.setattr(configuration_source, "POLL_SECONDS", 1e6)
    fleet.advance(2)
    for node in fleet.nodes:
        node.store.silent_watches = True
    revision = fleet.publish(b"two")
    fleet.advance(10)
    assert not fleet.in_force(revision)


def test_zone_without_the_platform_gets_changes_from_peers(fleet):
    publish_and_wait(fleet, b"one")
    set_platform(fleet, False, {"zone-0"})
    publish_and_wait(fleet, b"two")
    fleet.advance(2 * CUT_OFF_SECONDS)
    assert not any(node.spread.cut_off for node in fleet.nodes)


def test_second_watcher_takes_over_from_a_failed_first(fleet):
    publish_and_wait(fleet, b"one")
    for zone in fleet.zones:
        first = next(node for node in fleet.nodes if node.zone == zone)
        first = fleet.node(contacts(zone, first.members.live(zone))[0].instance)
        first.store.reachable = False
        others = (n.instance for n in fleet.nodes if n is not first)
        fleet.network.cut_pairs |= {frozenset((first.instance, o)) for o in others}
    revision = fleet.publish(b"two")
    fleet.advance(IN_FORCE_SECONDS)
    behind = [node for node in fleet.nodes if node.spread.revision < revision]
    assert len(behind) == len(fleet.zones)


def test_cut_off_zone_reports_it_and_catches_up(fleet):
    publish_and_wait(fleet, b"one")
    set_platform(fleet, False, {"zone-0"})
    fleet.network.isolate_zone("zone-0")
    fleet.advance(1)
    revision = fleet.publish(b"two")
    fleet.advance(CUT_OFF_SECONDS + ANNOUNCE_SECONDS)
    for node in fleet.nodes:
        assert node.spread.cut_off == (node.zone == "zone-0")
        assert node.spread.value == (b"one" if node.zone == "zone-0" else b"two")
    fleet.network.cut_zones.clear()
    fleet.advance(IN_FORCE_SECONDS)
    assert fleet.in_force(revision)
    fleet.advance(ANNOUNCE_SECONDS)
    assert not any(node.spread.cut_off for node in fleet.nodes)


def test_all_instances_are_cut_off_when_no_zone_reaches_the_platform(fleet):
    publish_and_wait(fleet, b"one")
    set_platform(fleet, False)
    fleet.advance(CUT_OFF_SECONDS + 1)
    assert all(node.spread.cut_off for node in fleet.nodes)


def test_instance_restarted_in_an_outage_gets_the_configuration_from_peers(fleet):
    publish_and_wait(fleet, b"one")
    revision = publish_and_wait(fleet, b"two")
    set_platform(fleet, False)
    for instance in ("z0-i0", "z0-i1"):
        fleet.node(instance).kill()
        fleet.start(instance, incarnation=2).store.reachable = False
        fleet.advance(IN_FORCE_SECONDS)
        assert fleet.node(instance).spread.revision == revision
        assert fleet.node(instance).adopted == [revision]


def test_old_revision_is_ignored_in_every_message(fleet):
    publish_and_wait(fleet, b"one")
    publish_and_wait(fleet, b"two")
    node = fleet.node("z0-i0")
    before = node.spread.revision
    node.deliver("z1-i0", ConfigurationRevision(before - 1))
    old = ConfigurationDelta(0, before - 1, digest(b"x"), (Splice(0, 0, b"x"),))
    node.deliver("z1-i0", old)
    node.deliver("z1-i0", ConfigurationChunk(before - 1, digest(b"x"), 1, 0, b"x"))
    node.spread.adopt(before - 1, b"assembled too late")
    fleet.advance(5)
    assert node.spread.value == b"two"
    assert node.spread.counters[ConfigurationEvent.OLD_REVISION] >= 2
    assert node.adopted == sorted(set(node.adopted))


def test_value_that_does_not_decode_leaves_the_old_one_in_force(fleet):
    def reject(revision, value):
        if value == b"bad":
            raise ValueError("not a deployment")

    for node in fleet.nodes:
        node._adopt = reject
    publish_and_wait(fleet, b"one")
    fleet.publish(b"bad")
    fleet.advance(10)
    for node in fleet.nodes:
        assert node.spread.value == b"one"
        assert node.spread.counters[ConfigurationEvent.REJECTED] <= 1
    publish_and_wait(fleet, b"three")


@pytest.mark.parametrize("offset", [0.0, 1.2, 2.4, 3.6])
def test_lost_push_is_repeated_within_the_bound(offset):
    fleet = Fleet((5, 4, 4))
    fleet.advance(SETTLE_SECONDS + offset)
    publish_and_wait(fleet, b"one")
    fleet.network.loss_probability = 1.0
    revision = fleet.publish(b"two")
    fleet.advance(0.5)
    assert not fleet.in_force(revision)
    fleet.network.loss_probability = 0.0
    fleet.advance(IN_FORCE_SECONDS - 0.5)
    assert fleet.in_force(revision)


def test_large_configuration_reaches_a_new_instance_despite_lost_messages(fleet):
    value = deployment(2000)
    publish_and_wait(fleet, value)
    set_platform(fleet, False)
    fleet.node("z0-i0").kill()
    fleet.network.loss_probability = 0.02
    node = fleet.start("z0-i0", incarnation=2)
    node.store.reachable = False
    fleet.advance(15)
    assert node.spread.value == value


def test_small_change_of_a_large_configuration_is_sent_as_a_delta():
    sizes = []
    fleet = Fleet((5, 4, 4), measure=lambda message: len(repr(message)))
    fleet.advance(SETTLE_SECONDS)
    publish_and_wait(fleet, deployment(500))
    for changed in (3, 400):
        fleet.network.bytes_in.clear()
        publish_and_wait(fleet, deployment(500, changed))
        sizes.append(max(fleet.network.bytes_in.values()))
    assert fleet.node("z0-i0").spread.value == deployment(500, 400)
    assert max(sizes) < 10_000


def test_delta_with_a_wrong_digest_is_not_adopted(fleet):
    revision = publish_and_wait(fleet, b"one")
    node = fleet.node("z0-i0")
    wrong = ConfigurationDelta(revision, revision + 7, b"?" * 16, (Splice(0, 1, b""),))
    for message in (wrong, ConfigurationDelta(1, 9, b"", (Splice(5, 2, b""),))):
        node.deliver("z1-i0", message)
    fleet.advance(2)
    assert node.spread.value == b"one"
    assert node.spread.counters[ConfigurationEvent.DELTA_MISFIT] == 2


def test_instance_catches_up_after_a_freeze(fleet):
    publish_and_wait(fleet, b"one")
    node = fleet.node("z0-i0")
    node.freeze()
    fleet.advance(10)
    fleet.publish(b"two")
    fleet.advance(10)
    node.wake()
    fleet.advance(IN_FORCE_SECONDS)
    assert node.spread.value == b"two"
    assert node.adopted == sorted(set(node.adopted))


texts = strategies.lists(strategies.sampled_from([b"a", b"b,", b"cc\n", b"ddd,"]))


@hypothesis.given(texts, texts, strategies.integers(0, 3000))
def test_difference_turns_one_value_into_the_other(one, other, filler):
    middle = deployment(filler // 50)
    before = b"".join(one) + middle + b"".join(other)
    after = b"".join(other) + middle + b"".join(one) + b"end"
    assert apply(before, difference(before, after)) == after


def test_difference_of_two_distant_edits_is_small():
    before = deployment(3000)
    after = before.replace(b'"account-00002"', b'"account-0000x"')
    after = after.replace(
        b'"account-02900": {"rate": 10', b'"account-02900": {"rate": 9'
    )
    splices = difference(before, after)
    assert apply(before, splices) == after
    assert sum(len(each.replacement) for each in splices) < 100


# Shards

LARGE = deployment(6000)


@pytest.fixture
def store(clock):
    return MemoryKeyValueStore(clock)


def sharded(store, seed=1):
    return ShardedConfiguration(store, random.Random(seed))


def result(deferred):
    results = []
    deferred.addBoth(results.append)
    assert results, "no answer"
    if isinstance(results[0], Exception) or hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def test_large_value_is_stored_in_shards_and_a_change_writes_few(store):
    publisher = sharded(store)
    revision = result(publisher.publish(LARGE, 0))
    assert len(LARGE) > 500_000
    assert all(len(entry.value) < MAX_VALUE_BYTES for entry in result(store.list("")))
    publisher.counters.clear()
    changed = deployment(6000, changed=3000)
    later = result(publisher.publish(changed, revision))
    assert publisher.counters["shards_written"] <= 2
    found = result(sharded(store).read())
    assert (found.value, found.revision) == (changed, later)
    manifest_shards = len(result(store.list(SHARD_PREFIX)))
    assert manifest_shards * 8_000 < len(LARGE) < manifest_shards * 128_001


def test_one_of_two_concurrent_publishes_gets_a_conflict(store):
    one, two = sharded(store, 1), sharded(store, 2)
    base = result(one.publish(LARGE, 0))
    paused = PausingStore(store)
    slow = sharded(paused, 3)
    publishing = slow.publish(deployment(6000, changed=10), base)
    result(two.publish(deployment(6000, changed=5000), base))
    paused.release()
    with pytest.raises(RevisionConflictError):
        result(publishing)
    found = result(one.read())
    assert found.value == deployment(6000, changed=5000)
    shards = result(store.list(SHARD_PREFIX))
    assert sum(len(shard.value) for shard in shards) == len(found.value)


@pytest.mark.parametrize("applied", [True, False])
def test_lost_answer_is_resolved_by_reading_back(store, applied):
    base = result(sharded(store).publish(LARGE, 0))
    changed = deployment(6000, changed=10)
    losing = AnswerLosingStore(store, applied)
    revision = result(sharded(losing, 2).publish(changed, base))
    assert losing.lost == 1
    found = result(sharded(store).read())
    assert (found.value, found.revision) == (changed, revision)


def test_publish_with_a_lost_answer_fails_as_overtaken_after_another_publish(store):
    base = result(sharded(store).publish(LARGE, 0))
    mine = deployment(6000, changed=10)
    other = mine.replace(
        b'"account-05000": {"rate": 10', b'"account-05000": {"rate": 9'
    )

    def overtake():
        entry = result(store.get(CONFIGURATION_KEY))
        result(sharded(store, 3).publish(other, entry.revision))

    losing = AnswerLosingStore(store, applied=True, then=overtake)
    with pytest.raises(PublishOvertakenError):
        result(sharded(losing, 2).publish(mine, base))
    assert result(sharded(store).read()).value == other


def test_read_fails_if_a_shard_is_missing_or_changed(store):
    result(sharded(store).publish(LARGE, 0))
    shard = result(store.list(SHARD_PREFIX))[0]
    result(store.put(shard.key, shard.value + b"x"))
    with pytest.raises(ManifestError):
        result(sharded(store).read())
    result(store.delete(shard.key))
    with pytest.raises(ManifestError):
        result(sharded(store).read())


def test_new_instance_gets_the_value_from_peers_if_a_shard_is_missing():
    fleet = Fleet((2, 2))
    fleet.advance(SETTLE_SECONDS)
    publisher = sharded(fleet.platform)
    base = result(publisher.publish(LARGE, 0))
    fleet.advance(IN_FORCE_SECONDS)
    assert all(node.spread.value == LARGE for node in fleet.nodes)
    changed = deployment(6000, changed=7)
    result(publisher.publish(changed, base))
    fleet.advance(IN_FORCE_SECONDS)
    assert all(node.spread.value == changed for node in fleet.nodes)
    shard = max(result(fleet.platform.list(SHARD_PREFIX)), key=lambda e: e.revision)
    result(fleet.platform.delete(shard.key))
    fleet.node("z0-i0").kill()
    node = fleet.start("z0-i0", incarnation=2)
    fleet.advance(IN_FORCE_SECONDS)
    assert node.spread.value == changed
    assert node.spread.counters[ConfigurationEvent.VALUE_UNREADABLE] >= 1


class PausingStore(DisconnectableStore):
    """Delays the compare-and-swap of the configuration until ``release``."""

    def put(self, key, value, *, expected=None, lease=""):
        """Store ``value``."""
        if key != CONFIGURATION_KEY:
            return super().put(key, value, expected=expected, lease=lease)
        self.held = Deferred()
        self.held.addCallback(
            lambda _: self._inner.put(key, value, expected=expected, lease=lease)
        )
        return self.held

    def release(self):
        """Perform the delayed write."""
        self.held.callback(None)


class AnswerLosingStore(DisconnectableStore):
    """Loses the answer to the first compare-and-swap of the configuration."""

    def __init__(self, inner, applied, then=None):
        super().__init__(inner)
        self.applied = applied
        self.then = then
        self.lost = 0

    def put(self, key, value, *, expected=None, lease=""):
        """Store ``value``."""
        if key != CONFIGURATION_KEY or self.lost:
            return super().put(key, value, expected=expected, lease=lease)
        self.lost += 1
        if self.applied:
            result(self._inner.put(key, value, expected=expected, lease=lease))
        if self.then:
            self.then()
        return fail(KeyValueOutcomeUnknownError("the answer was lost", step="put"))
