"""Limits over all instances: hot accounts, cuts, restarts and lost reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from pomeloglade.forwarding.deployment import Account
from pomeloglade.forwarding.usage import SILENCE_SECONDS, SharedUsage

RATE, BURST = 1000.0, 1000.0


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def account():
    return Account("club", frozenset(), rate=RATE, burst=BURST, counts_tokens=True)


def report(clock, usages):
    """Let every instance hear every other one."""
    for name, usage in usages.items():
        for other, listener in usages.items():
            if other != name:
                listener.heard(name, 1, usage.totals(), age=0.0)


def test_calls_within_the_limit_are_admitted_over_all_instances(clock, account):
    usages = {name: SharedUsage(clock) for name in "ab"}
    admitted = 0
    for step in range(100):
        clock.advance(0.1)
        admitted += usages["ab"[step % 2]].take(account, 90) == 0.0
        report(clock, usages)
    assert admitted == 100


def test_hot_account_gets_its_rate_and_no_more(clock, account):
    usages = {name: SharedUsage(clock) for name in "abc"}
    admitted = 0
    for _ in range(200):
        clock.advance(0.05)
        for usage in usages.values():
            admitted += 100 * (usage.take(account, 100) == 0.0)
        report(clock, usages)
    # Ten seconds, the burst, and what the instances admit between two reports.
    assert 9_900 <= admitted <= 10_000 + BURST + 300


def test_instances_cut_off_from_each_other_share_the_rate(clock, account):
    usages = {name: SharedUsage(clock) for name in "abcd"}
    for _ in range(3):
        for usage in usages.values():
            usage.take(account, 1)
        report(clock, usages)
    admitted = 0
    for _ in range(200):
        clock.advance(0.05)
        for usage in usages.values():
            admitted += 50 * (usage.take(account, 50) == 0.0)
    cut_unnoticed = SILENCE_SECONDS * RATE * len(usages)
    assert admitted <= 10 * RATE + len(usages) * BURST + cut_unnoticed
    assert admitted >= 9 * RATE


def test_lost_reports_are_made_good_by_the_next(clock, account):
    near, far = SharedUsage(clock), SharedUsage(clock)
    near.take(account, 10)
    far.heard("near", 1, near.totals(), age=0.0)
    far.take(account, 1)
    for _ in range(5):
        near.take(account, 100)
    far.heard("near", 1, near.totals(), age=0.0)
    assert far.take(account, 600) > 0.0


def test_restarted_instance_begins_a_new_total(clock, account):
    usage = SharedUsage(clock)
    usage.take(account, 0)
    usage.heard("other", 1, {"club": 900}, age=5.0)
    usage.heard("other", 2, {"club": 300}, age=0.1)
    assert usage.take(account, 701) > 0.0
    assert usage.take(account, 700) == 0.0


def test_call_larger_than_the_burst_is_admitted_by_a_full_bucket(clock):
    account = Account("club", frozenset(), rate=100.0, burst=50.0)
    usage = SharedUsage(clock)
    assert usage.take(account, 80) == 0.0
    assert usage.take(account, 80) == pytest.approx(0.8)


def test_lowered_limit_binds_at_once(clock, account):
    usage = SharedUsage(clock)
    usage.take(account, 0)
    lower = Account("club", frozenset(), rate=10.0, burst=10.0)
    clock.advance(1.0)
    usage.take(lower, 10)
    assert usage.take(lower, 10) == pytest.approx(1.0)


def test_units_given_back_can_be_taken_again(clock, account):
    usage = SharedUsage(clock)
    usage.take(account, 1000)
    assert usage.take(account, 100) > 0.0
    usage.give_back(account, 1000)
    assert usage.take(account, 1000) == 0.0
    assert usage.totals() == {"club": 1000}


def test_account_without_limit_is_never_refused(clock):
    account = Account("club", frozenset())
    usage = SharedUsage(clock)
    assert all(usage.take(account, 10**9) == 0.0 for _ in range(5))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2), st.integers(1, 400), st.integers(0, 200), st.booleans()
        ),
        max_size=80,
    )
)
def test_no_window_passes_the_limit_while_instances_hear_each_other(steps):
    clock = Clock()
    clock.advance(100.0)
    account = Account("club", frozenset(), rate=RATE, burst=BURST, counts_tokens=True)
    usages = {name: SharedUsage(clock) for name in "abc"}
    for usage in usages.values():
        usage.take(account, 0)
    admitted = 0
    started = clock.seconds()
    for index, cost, milliseconds, _ in steps:
        clock.advance(milliseconds / 1000)
        if usages["abc"[index]].take(account, cost) == 0.0:
            admitted += cost
        report(clock, usages)
        assert admitted <= BURST + RATE * (clock.seconds() - started) + 1e-6
