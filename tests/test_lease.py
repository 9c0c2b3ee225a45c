"""Tests of leases: paused holders, lost answers, changes of holder."""

import random
from datetime import timedelta

import pytest

from faulty_fleet import FaultyStore, ProcessClock, SimulationClock, StoreFault
from pomeloglade_coordination.key_value import MemoryKeyValueStore
from pomeloglade_coordination.lease import LeaseCounter, LeaseHolder, LeaseObserver

TIME_TO_LIVE = timedelta(seconds=5)


@pytest.fixture
def world():
    return SimulationClock()


@pytest.fixture
def start(world):
    shared = MemoryKeyValueStore(world)

    def start_holder(name):
        process = ProcessClock(world)
        store = FaultyStore(world, process, shared)
        holder = LeaseHolder(
            clock=process,
            store=store,
            key="orders/zone",
            holder=name,
            random=random.Random(name),
            time_to_live=TIME_TO_LIVE,
        )
        holder.start()
        return holder, process, store

    return start_holder


def test_lease_is_invalid_for_a_holder_that_resumes_after_a_long_pause(start, world):
    first, process, _store = start("first")
    world.run(3)
    second, _process, _store = start("second")
    assert first.valid()
    old_token = first.fencing_token
    process.frozen = True
    world.run(20)
    assert second.valid()
    assert second.fencing_token > old_token
    process.frozen = False
    process.rightNow = world.seconds()
    assert not first.valid()


def test_validity_counts_from_when_the_renewal_was_sent(start, world, monkeypatch):
    monkeypatch.setattr("faulty_fleet.LATE_RESPONSE_SECONDS", 0.9)
    holder, _process, store = start("first")
    world.run(0.5)
    store.fault = StoreFault.LATE
    while not holder.counters[LeaseCounter.RENEWED]:
        world.run(0.01)
    store.fault = StoreFault.SILENT
    answered = world.seconds()
    world.run(TIME_TO_LIVE.total_seconds() - 1.0)
    assert holder.valid()
    world.run(0.1)
    assert world.seconds() < answered + TIME_TO_LIVE.total_seconds()
    assert not holder.valid()


def test_acquired_key_is_read_back_when_the_answer_was_lost(start, world):
    holder, _process, store = start("first")
    world.run(0.005)
    store.fault = StoreFault.ANSWER_LOST
    world.run(0.02)
    assert holder.valid()


def test_never_two_valid_holders_during_outages_and_pauses(start, world):
    holders = [start(name) for name in ("first", "second", "third")]
    rng = random.Random(7)
    valid_tokens = set()
    for _ in range(2000):
        _holder, process, store = rng.choice(holders)
        store.fault = rng.choice(list(StoreFault) + [StoreFault.NONE] * 5)
        if rng.random() < 0.05:
            process.frozen = True
            world.run(rng.uniform(0, 8))
            process.unfreeze()
        world.run(rng.uniform(0, 1))
        valid = [holder for holder, _process, _store in holders if holder.valid()]
        assert len(valid) <= 1
        valid_tokens |= {holder.fencing_token for holder in valid}
    assert len(valid_tokens) > 10


def test_stopped_holder_releases_the_key_at_once(start, world):
    first, _process, _store = start("first")
    world.run(1)
    first.stop()
    second, _process, _store = start("second")
    world.run(1)
    assert second.valid()
    assert not first.valid()


def test_lease_expires_later_for_an_observer_than_for_the_holder(clock):
    observer = LeaseObserver(clock=clock, time_to_live=TIME_TO_LIVE)
    clock.advance(5)
    assert not observer.expired()
    clock.advance(0.1)
    assert observer.expired()
