"""Tests of claims: lost answers, expiry, outages, bypassed writers, many calls."""

import random
from datetime import timedelta

import pytest

from faulty_fleet import FaultyStore, Links, ProcessClock, StoreFault, World
from pomeloglade_coordination.claim_messages import Verdict, Verdicts
from pomeloglade_coordination.claim_records import MAX_OUTCOME_BYTES, ClaimState
from pomeloglade_coordination.claims import OUTCOME_KEEP, Claimed, Claims, Finished
from pomeloglade_coordination.key_value import MAX_VALUE_BYTES, MemoryKeyValueStore
from pomeloglade_coordination.members import FixedMembership, Member
from pomeloglade_coordination.refusals import Reason

KEEP = timedelta(seconds=600)


@pytest.fixture
def world():
    return World()


@pytest.fixture
def shared(world):
    return MemoryKeyValueStore(world)


@pytest.fixture
def start(world, shared):
    links = Links(world)
    members = [Member(f"i{number}", "zone", 1) for number in range(3)]

    def start_instance(number, routed=True):
        own = members[number]
        process = ProcessClock(world)
        store = FaultyStore(world, process, shared)
        sender = links.join(own.instance, process, lambda *args: claims.receive(*args))
        claims = Claims(
            clock=process,
            store=store,
            own=own,
            random=random.Random(number),
            members=FixedMembership(own, tuple(m for m in members if m != own)),
            sender=sender if routed else None,
            keep=KEEP,
        )
        claims.process = process
        claims.store = store
        return claims

    return start_instance


@pytest.fixture
def ask(world):
    def ask_and_wait(claims, key, request_id, seconds=0.1, **kwargs):
        answers = []
        claims.claim("account", key, "body", request_id, **kwargs).addCallback(
            answers.append
        )
        world.run(seconds)
        return answers[0] if answers else None

    return ask_and_wait


def test_outcome_is_replayed_by_an_instance_started_later(start, ask, world):
    claims = start(0)
    start(1)
    start(2)
    claimed = ask(claims, "booking", "i0.1.1", 1)
    claims.finish(claimed.claim, b"done")
    world.run(1)
    assert ask(start(1), "booking", "i1.1.1", 1) == Finished(b"done")


def test_large_outcome_is_recorded_as_run_without_its_answer(start, ask, world):
    fleet = [start(number) for number in range(3)]
    claimed = ask(fleet[0], "booking", "i0.1.1")
    fleet[0].finish(claimed.claim, bytes(MAX_OUTCOME_BYTES + 1))
    world.run(1)
    refusal = ask(fleet[1], "booking", "i1.1.1")
    assert (refusal.reason, refusal.not_run) == (Reason.OUTCOME_UNKNOWN, False)


def test_answer_is_dropped_before_its_claim(start, ask, world):
    fleet = [start(number) for number in range(3)]
    claimed = ask(fleet[0], "booking", "i0.1.1")
    fleet[0].finish(claimed.claim, b"done")
    world.run(OUTCOME_KEEP.total_seconds() + 2)
    refusal = ask(fleet[1], "booking", "i1.1.1")
    assert (refusal.reason, refusal.not_run) == (Reason.OUTCOME_UNKNOWN, False)


def test_accounts_do_not_share_keys(start, ask, world):
    claims = [start(number) for number in range(3)][0]
    assert isinstance(ask(claims, "booking", "i0.1.1"), Claimed)
    answers = []
    claims.claim("other", "booking", "body", "i0.1.2").addCallback(answers.append)
    world.run(0.1)
    assert isinstance(answers[0], Claimed)


def test_holder_may_not_dispatch_long_after_its_claim(start, ask, world):
    claims = [start(number) for number in range(3)][0]
    claimed = ask(claims, "booking", "i0.1.1")
    claims.process.frozen = True
    world.run(KEEP.total_seconds() + 1)
    claims.process.thaw()
    assert not claims.may_dispatch(claimed.claim)


def test_an_outage_does_not_age_claims(start, ask, world):
    fleet = [start(number) for number in range(3)]
    claimed = ask(fleet[0], "booking", "i0.1.1")
    fleet[0].unknown(claimed.claim)
    world.run(1)
    for claims in fleet:
        claims.store.fault = StoreFault.DOWN
    for claims in fleet:
        refusal = ask(claims, "booking", "i0.1.2")
        assert (refusal.reason, refusal.not_run) == (Reason.CLAIM_UNAVAILABLE, False)
    world.run(2 * KEEP.total_seconds())
    for claims in fleet:
        claims.store.fault = StoreFault.NONE
    world.run(5)
    refusal = ask(fleet[1], "booking", "i1.1.1")
    assert refusal.reason is Reason.OUTCOME_UNKNOWN


def test_first_attempt_in_an_outage_is_not_run(start, ask):
    fleet = [start(number) for number in range(3)]
    for claims in fleet:
        claims.store.fault = StoreFault.DOWN
    refusal = ask(fleet[0], "booking", "i0.1.1", first_attempt=True)
    assert (refusal.reason, refusal.not_run) == (Reason.CLAIM_UNAVAILABLE, True)
    assert refusal.retry_after is not None


def test_silent_writers_are_bypassed(start, ask):
    claims = start(0)
    assert isinstance(ask(claims, "booking", "i0.1.1", 0.5), Claimed)


def test_claims_of_a_burst_share_few_writes_and_survive_a_full_ring(
    start, ask, world, shared, monkeypatch
):
    monkeypatch.setattr("pomeloglade_coordination.claim_log.SLOTS", 8)
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
        refusal = ask(fleet[0], f"k{number}", f"i0.2.{number}")
        assert refusal.reason is not Reason.CLAIM_UNAVAILABLE
        assert not refusal.not_run
    entries = []
    shared.list("claims/").addCallback(entries.extend)
    assert max(len(entry.value) for entry in entries) < MAX_VALUE_BYTES


def test_claim_given_up_while_the_platform_was_late_frees_its_key(start, ask, world):
    fleet = [start(number) for number in range(3)]
    assert isinstance(ask(fleet[0], "other", "i0.1.1"), Claimed)
    for claims in fleet:
        claims.store.fault = StoreFault.LATE
    refusal = ask(fleet[0], "booking", "i0.1.2", 2.5)
    assert (refusal.reason, refusal.not_run) == (Reason.CLAIM_UNAVAILABLE, False)
    for claims in fleet:
        claims.store.fault = StoreFault.NONE
    world.run(10)
    assert isinstance(ask(fleet[1], "booking", "i1.1.2"), Claimed)


def test_stale_view_is_refreshed_before_a_resend_is_refused(start, ask, world):
    first, second = start(0, routed=False), start(1, routed=False)
    claimed = ask(first, "booking", "i0.1.1")
    assert ask(second, "booking", "i1.1.1").reason is Reason.CLAIM_IN_PROGRESS
    first.finish(claimed.claim, b"done")
    world.run(1)
    assert ask(second, "booking", "i1.1.2") == Finished(b"done")


def test_verdicts_for_an_earlier_run_answer_nothing(start, ask, world):
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
