"""Tests of claims: expiry, outages, unresponsive writers, timeouts and bursts."""

import random
from datetime import timedelta

import pytest

from faulty_fleet import (
    FaultyStore,
    ProcessClock,
    SimulatedNetwork,
    SimulationClock,
    StoreFault,
)
from pomeloglade_coordination.claim_messages import Verdict, Verdicts
from pomeloglade_coordination.claim_records import MAX_OUTCOME_BYTES, ClaimState
from pomeloglade_coordination.claims import OUTCOME_RETENTION, Claimed, Claims, Finished
from pomeloglade_coordination.key_value import MAX_VALUE_BYTES, MemoryKeyValueStore
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.refusals import Reason

RETENTION = timedelta(seconds=600)


@pytest.fixture
def world():
    return SimulationClock()


@pytest.fixture
def shared_store(world):
    return MemoryKeyValueStore(world)


@pytest.fixture
def start(world, shared_store):
    links = SimulatedNetwork(world)
    members = [Member(f"i{number}", "zone", 1) for number in range(3)]

    def start_instance(number, routed=True):
        own = members[number]
        process = ProcessClock(world)
        store = FaultyStore(world, process, shared_store)
        sender = links.join(own.instance, process, lambda *args: claims.receive(*args))
        claims = Claims(
            clock=process,
            store=store,
            own=own,
            random=random.Random(number),
            members=FixedMembership(own, tuple(m for m in members if m != own)),
            sender=sender if routed else None,
            retention=RETENTION,
        )
        claims.process = process
        claims.store = store
        return claims

    return start_instance


@pytest.fixture
def try_claim(world):
    def try_claim_and_wait(claims, key, request_id, seconds=0.1, **kwargs):
        answers = []
        claims.claim("account", key, "body", request_id, **kwargs).addCallback(
            answers.append
        )
        world.run(seconds)
        return answers[0] if answers else None

    return try_claim_and_wait


def test_outcome_is_replayed_by_an_instance_started_later(start, try_claim, world):
    claims = start(0)
    start(1)
    start(2)
    claimed = try_claim(claims, "booking", "i0.1.1", 1)
    claims.finish(claimed.claim, b"done")
    world.run(1)
    assert try_claim(start(1), "booking", "i1.1.1", 1) == Finished(b"done")


def test_outcome_above_the_size_limit_is_recorded_without_its_answer(
    start, try_claim, world
):
    fleet = [start(number) for number in range(3)]
    claimed = try_claim(fleet[0], "booking", "i0.1.1")
    fleet[0].finish(claimed.claim, bytes(MAX_OUTCOME_BYTES + 1))
    world.run(1)
    refusal = try_claim(fleet[1], "booking", "i1.1.1")
    assert (refusal.reason, refusal.not_run) == (Reason.OUTCOME_UNKNOWN, False)


def test_stored_answer_expires_before_its_claim(start, try_claim, world):
    fleet = [start(number) for number in range(3)]
    claimed = try_claim(fleet[0], "booking", "i0.1.1")
    fleet[0].finish(claimed.claim, b"done")
    world.run(OUTCOME_RETENTION.total_seconds() + 2)
    refusal = try_claim(fleet[1], "booking", "i1.1.1")
    assert (refusal.reason, refusal.not_run) == (Reason.OUTCOME_UNKNOWN, False)


def test_accounts_do_not_share_keys(start, try_claim, world):
    claims = [start(number) for number in range(3)][0]
    assert isinstance(try_claim(claims, "booking", "i0.1.1"), Claimed)
    answers = []
    claims.claim("other", "booking", "body", "i0.1.2").addCallback(answers.append)
    world.run(0.1)
    assert isinstance(answers[0], Claimed)


def test_holder_may_not_dispatch_after_the_dispatch_timeout(start, try_claim, world):
    claims = [start(number) for number in range(3)][0]
    claimed = try_claim(claims, "booking", "i0.1.1")
    claims.process.frozen = True
    world.run(RETENTION.total_seconds() + 1)
    claims.process.unfreeze()
    assert not claims.may_dispatch(claimed.claim)


def test_claims_do_not_expire_during_a_store_outage(start, try_claim, world):
    fleet = [start(number) for number in range(3)]
    claimed = try_claim(fleet[0], "booking", "i0.1.1")
    fleet[0].mark_unknown(claimed.claim)
    world.run(1)
    for claims in fleet:
        claims.store.fault = StoreFault.DOWN
    for claims in fleet:
        refusal = try_claim(claims, "booking", "i0.1.2")
        assert (refusal.reason, refusal.not_run) == (Reason.CLAIM_UNAVAILABLE, False)
    world.run(2 * RETENTION.total_seconds())
    for claims in fleet:
        claims.store.fault = StoreFault.NONE
    world.run(5)
    refusal = try_claim(fleet[1], "booking", "i1.1.1")
    assert refusal.reason is Reason.OUTCOME_UNKNOWN


def test_first_attempt_during_an_outage_is_refused_as_not_run(start, try_claim):
    fleet = [start(number) for number in range(3)]
    for claims in fleet:
        claims.store.fault = StoreFault.DOWN
    refusal = try_claim(fleet[0], "booking", "i0.1.1", first_attempt=True)
    assert (refusal.reason, refusal.not_run) == (Reason.CLAIM_UNAVAILABLE, True)
    assert refusal.retry_after is not None


def test_unresponsive_writers_are_bypassed(start, try_claim):
    claims = start(0)
    assert isinstance(try_claim(claims, "booking", "i0.1.1", 0.5), Claimed)


def test_burst_of_claims_is_batched_and_survives_a_ring_wraparound(
    start, try_claim, world, shared_store, monkeypatch
):
    monkeypatch.setattr("pomeloglade_coordination.claim_log.RING_SLOTS", 8)
    fleet = [start(number) for number in range(3)]
    granted = []
    for number in range(300):
        done = fleet[number % 3].claim(
            "account", f"k{number}", "body", f"i0.1.{number}"
        )
        done.addCallback(granted.append)
        world.run(0.0005)
    world.run(1)
    assert sum(isinstance(each, Claimed) for each in granted) == 300
    assert sum(claims.platform_calls() for claims in fleet) < 50
    for number in (0, 150, 299):
        refusal = try_claim(fleet[0], f"k{number}", f"i0.2.{number}")
        assert refusal.reason is not Reason.CLAIM_UNAVAILABLE
        assert not refusal.not_run
    entries = []
    shared_store.list("claims/").addCallback(entries.extend)
    assert max(len(entry.value) for entry in entries) < MAX_VALUE_BYTES


def test_claim_that_timed_out_on_a_slow_store_releases_its_key(start, try_claim, world):
    fleet = [start(number) for number in range(3)]
    assert isinstance(try_claim(fleet[0], "other", "i0.1.1"), Claimed)
    for claims in fleet:
        claims.store.fault = StoreFault.LATE
    refusal = try_claim(fleet[0], "booking", "i0.1.2", 2.5)
    assert (refusal.reason, refusal.not_run) == (Reason.CLAIM_UNAVAILABLE, False)
    for claims in fleet:
        claims.store.fault = StoreFault.NONE
    world.run(10)
    assert isinstance(try_claim(fleet[1], "booking", "i1.1.2"), Claimed)


def test_stale_view_is_refreshed_before_a_resend_is_refused(start, try_claim, world):
    first, second = start(0, routed=False), start(1, routed=False)
    claimed = try_claim(first, "booking", "i0.1.1")
    assert try_claim(second, "booking", "i1.1.1").reason is Reason.CLAIM_IN_PROGRESS
    first.finish(claimed.claim, b"done")
    world.run(1)
    assert try_claim(second, "booking", "i1.1.2") == Finished(b"done")


def test_verdicts_for_an_earlier_run_or_another_key_are_ignored(
    start, try_claim, world
):
    claims = start(0)
    exchange = claims._exchange
    answers = []
    exchange.writer = lambda _shard, _tried=frozenset(): "i1"
    claims.claim("account", "booking", "body", "i0.1.1").addCallback(answers.append)
    number, outstanding = next(iter(exchange._outstanding_by_number.items()))
    state = ClaimState.FINISHED
    for verdict in (
        Verdict(number & 0xFF, outstanding.record.digest, b"", "x", state, b"other"),
        Verdict(number, b"another key", b"", "x", state, b"other"),
    ):
        claims.receive("i1", Verdicts((verdict,)))
    assert answers == []
