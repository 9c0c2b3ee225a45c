"""The store follower: applied changes and the age of the copy, also in outages."""

from datetime import timedelta
from random import Random

import pytest
from tests.forwarding_fakes import ListLog
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from pomeloglade.forwarding.store_follower import (
    MAX_RELAYED_AGE_SECONDS,
    MAX_WATCH_SECONDS,
    RECOVERY_SECONDS,
    StoreFollower,
    StoreProof,
)
from pomeloglade_coordination.errors import (
    HistoryCompactedError,
    KeyValueUnavailableError,
)
from pomeloglade_coordination.key_value import Entry, MemoryKeyValueStore, Snapshot
from pomeloglade_coordination.store_era import StoreEra, position


class Recorder:
    def __init__(self):
        self.entries = {}
        self.lenient = []
        self.reads = 0

    def urgent(self, entry):
        return not entry.key.startswith("instances/")

    def replace_all(self, entries, *, lenient, restored):
        self.reads += 1
        self.restored = restored
        self.entries = {each.key: each.value for each in entries}

    def apply_change(self, entry, *, lenient):
        self.lenient.append(lenient)
        if entry.value:
            self.entries[entry.key] = entry.value
        else:
            self.entries.pop(entry.key, None)


class ScriptedStore:
    """Answers snapshots at once; the test answers the watches."""

    def __init__(self):
        self.entries = ()
        self.revision = 10
        self.watches = []
        self.snapshots = 0
        self.down = False
        self.era = StoreEra()

    def snapshot(self, prefix):
        self.snapshots += 1
        if self.down:
            return fail(KeyValueUnavailableError("down"))
        return succeed(Snapshot(self.entries, self.revision))

    def changes(self, prefix, after, timeout):
        if self.down:
            return fail(KeyValueUnavailableError("down"))
        waiting = Deferred()
        self.watches.append((after, timeout, waiting))
        return waiting


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(10.0)
    return clock


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def follower(clock, store, recorder):
    follower = StoreFollower(clock, store, "", recorder, ListLog(), Random(1))
    follower.start()
    return follower


def test_changes_and_deletions_are_applied(clock, recorder):
    store = MemoryKeyValueStore(clock)
    store.put("a", b"1")
    StoreFollower(clock, store, "", recorder, ListLog(), Random(1)).start()
    assert recorder.entries == {"a": b"1"}
    store.put("b", b"2")
    store.delete("a")
    clock.advance(0.0)
    assert recorder.entries == {"b": b"2"}


def test_age_is_infinite_before_the_first_read(clock, store, recorder):
    store.down = True
    follower = StoreFollower(clock, store, "", recorder, ListLog(), Random(1))
    follower.start()
    assert follower.age() == float("inf")


def test_watch_that_times_out_confirms_the_copy_up_to_its_time_out(
    clock, store, follower
):
    _, timeout, waiting = store.watches[0]
    assert timeout == timedelta(seconds=MAX_WATCH_SECONDS)
    clock.advance(MAX_WATCH_SECONDS + 0.1)
    waiting.callback(Snapshot((), 10))
    assert follower.age() == pytest.approx(0.1)


def test_watch_that_ends_early_confirms_the_copy_as_of_its_start(
    clock, store, follower
):
    clock.advance(1.5)
    store.watches[0][2].callback(Snapshot((), 10))
    assert follower.age() == pytest.approx(1.5)


def test_watch_with_changes_confirms_the_copy_as_of_its_start(clock, store, follower):
    clock.advance(1.8)
    store.watches[0][2].callback(Snapshot((Entry("a", b"1", 11),), 11))
    assert follower.age() == pytest.approx(1.8)
    # The next watch is shorter, so that the age stays below MAX_WATCH_SECONDS.
    after, timeout, _ = store.watches[1]
    assert after == 11
    assert timeout.total_seconds() == pytest.approx(MAX_WATCH_SECONDS - 1.8)


def test_store_is_read_again_after_its_history_was_compacted(
    clock, store, follower, recorder
):
    store.entries = (Entry("b", b"2", 20),)
    store.revision = 25
    store.watches[0][2].errback(HistoryCompactedError("compacted"))
    assert recorder.entries == {"b": b"2"}
    assert store.watches[1][0] == 25


def test_failed_calls_are_retried_after_pauses_while_the_age_grows(
    clock, store, follower
):
    store.down = True
    store.watches[0][2].errback(KeyValueUnavailableError("cut"))
    for _ in range(100):
        clock.advance(0.1)
    assert follower.age() >= 10.0
    assert 8 <= follower.calls <= 40


def test_removals_shortly_after_a_store_outage_are_lenient(
    clock, store, follower, recorder
):
    store.watches[0][2].errback(KeyValueUnavailableError("cut"))
    clock.advance(1.0)
    removed = Entry("servers/x", b"", 12)
    store.watches[1][2].callback(Snapshot((removed,), 12))
    clock.advance(RECOVERY_SECONDS + 0.1)
    store.watches[2][2].callback(Snapshot((removed,), 13))
    assert recorder.lenient == [True, False]


def test_age_grows_while_the_store_does_not_answer(clock, store, follower):
    clock.advance(30.0)
    assert follower.age() >= 30.0


def test_changes_that_are_not_urgent_are_batched(clock, store, follower):
    registered = Entry("instances/a", b"1", 11)
    store.watches[0][2].callback(Snapshot((registered,), 11))
    assert len(store.watches) == 1
    clock.advance(0.6)
    assert len(store.watches) == 2
    store.watches[1][2].callback(Snapshot((registered, Entry("a", b"1", 12)), 12))
    assert len(store.watches) == 3


def test_new_era_seen_by_another_call_ends_the_watch_and_reads_again(
    clock, store, follower, recorder
):
    store.era.observe(3)
    store.watches[0][2].errback(HistoryCompactedError("first read had no era"))
    store.entries = (Entry("b", b"2", position(4, 5)),)
    store.revision = position(4, 6)
    store.era.observe(4)
    clock.advance(0.0)
    assert recorder.entries == {"b": b"2"}
    assert recorder.restored
    assert store.watches[-1][0] == position(4, 6)


def test_removals_shortly_after_the_return_from_a_copy_are_lenient(
    clock, store, follower, recorder
):
    store.revision = position(1, 5)
    store.watches[0][2].errback(HistoryCompactedError("returned from a copy"))
    removed = Entry("servers/x", b"", position(1, 6))
    store.watches[1][2].callback(Snapshot((removed,), position(1, 6)))
    assert recorder.lenient == [True]


def test_relayed_proof_counts_only_if_the_urgent_changes_were_applied(
    clock, store, follower
):
    clock.advance(2.0)
    now = clock.seconds()
    follower.apply_relayed(StoreProof(15, 11, 0.1), now - 0.2)
    assert follower.age() == pytest.approx(2.0)
    store.watches[0][2].callback(Snapshot((Entry("a", b"1", 11),), 11))
    follower.apply_relayed(StoreProof(15, 11, 0.1), now - 0.2)
    assert follower.age() == pytest.approx(0.2)
    # The change that is not urgent may wait, so no watch follows.
    assert len(store.watches) == 1


def test_follower_asks_the_store_again_once_relayed_proofs_stop(clock, store, follower):
    follower.apply_relayed(StoreProof(10, 10, 0.1), clock.seconds())
    clock.advance(2.0)
    store.watches[0][2].callback(Snapshot((), 10))
    follower.apply_relayed(StoreProof(10, 10, 0.1), clock.seconds())
    watches = len(store.watches)
    for _ in range(int(MAX_RELAYED_AGE_SECONDS / 0.1) + 3):
        clock.advance(0.1)
    assert len(store.watches) == watches + 1


def test_removal_of_a_known_entry_is_urgent(clock, store, follower, recorder):
    """It was asked after the removal, when the entry was not known any more."""
    recorder.entries = {"servers/a": b"1"}
    recorder.urgent = lambda entry: entry.key in recorder.entries
    store.watches[0][2].callback(Snapshot((Entry("servers/a", b"", 11),), 11))
    assert follower.proof().urgent_position == 11
    assert len(store.watches) == 2
