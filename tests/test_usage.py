"""Rate limits over all instances: hot accounts, partitions, restarts, lost reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from pomeloglade.forwarding.deployment import Account
from pomeloglade.forwarding.usage import PEER_SILENCE_SECONDS, SharedUsage

RATE, BURST = 1000.0, 1000.0


@pytest.fixture
def clock():
    clock = Clock()
    clock.advance(100.0)
    return clock


@pytest.fixture
def account():
    return Account("club", frozenset(), rate=RATE, burst=BURST, counts_tokens=True)


WINDOW = 8.0


def most_in_a_window(admitted):
    """Return the largest sum of units in any window, given (time, units) pairs."""
    return max(
        sum(units for at, units in admitted if start <= at < start + WINDOW)
        for start, _ in admitted
    )


def report(clock, usages):
    """Deliver every instance's report to all the others."""
    for name, usage in usages.items():
        for other, peer in usages.items():
            if other != name:
                peer.apply_report(name, 1, usage.totals(), age=0.0)


def test_calls_within_the_limit_are_admitted_over_all_instances(clock, account):
    usages = {name: SharedUsage(clock) for name in "ab"}
    admitted = 0
    for step in range(100):
        clock.advance(0.1)
        admitted += usages["ab"[step % 2]].admit(account, 90) == 0.0
        report(clock, usages)
    assert admitted == 100


def test_hot_account_gets_its_limit_in_every_window_and_no_more(clock, account):
    usages = {name: SharedUsage(clock, window=WINDOW) for name in "abc"}
    admitted = []
    for _ in range(400):
        clock.advance(0.05)
        for usage in usages.values():
            if usage.admit(account, 100) == 0.0:
                admitted.append((clock.seconds(), 100))
        report(clock, usages)
    # Between two reports each instance may admit one call over the limit.
    limit = WINDOW * RATE + BURST
    assert 0.95 * limit <= most_in_a_window(admitted) <= limit + 200


def test_partitioned_instances_keep_the_limit_together(clock, account):
    usages = {name: SharedUsage(clock, window=WINDOW) for name in "abcd"}
    admitted = []

    def run_for(seconds, *, cut):
        for _ in range(round(seconds / 0.05)):
            clock.advance(0.05)
            for usage in usages.values():
                if usage.admit(account, 50) == 0.0:
                    admitted.append((clock.seconds(), 50))
            if not cut:
                report(clock, usages)

    run_for(1.0, cut=False)
    before = len(admitted)
    run_for(20.0, cut=True)
    limit = WINDOW * RATE + BURST
    admitted_unnoticed = PEER_SILENCE_SECONDS * 3 * 50 / 0.05
    assert most_in_a_window(admitted) <= limit + admitted_unnoticed
    assert 50 * (len(admitted) - before) >= 0.9 * 20 * RATE


def test_use_of_a_silent_instance_still_counts(clock, account):
    usages = {name: SharedUsage(clock, window=WINDOW) for name in "abc"}
    for usage in usages.values():
        usage.admit(account, 1)
    report(clock, usages)
    clock.advance(WINDOW)
    report(clock, usages)
    hot = usages["a"]
    while hot.admit(account, 100) == 0.0:
        pass
    report(clock, usages)
    clock.advance(PEER_SILENCE_SECONDS * 2)
    usages["b"].apply_report("c", 1, usages["c"].totals(), age=0.0)
    # The window is exhausted, whether or not the hot instance still reports.
    assert usages["b"].admit(account, int(2 * PEER_SILENCE_SECONDS * RATE) + 500) > 0.0


def test_next_report_makes_up_for_lost_ones(clock, account):
    near, far = SharedUsage(clock), SharedUsage(clock)
    near.admit(account, 10)
    far.apply_report("near", 1, near.totals(), age=0.0)
    far.admit(account, 1)
    for _ in range(5):
        near.admit(account, 100)
    far.apply_report("near", 1, near.totals(), age=0.0)
    assert far.admit(account, 600) > 0.0


def test_restarted_instance_starts_a_new_total(clock, account):
    usage = SharedUsage(clock)
    usage.admit(account, 0)
    usage.apply_report("other", 1, {"club": 900}, age=5.0)
    usage.apply_report("other", 2, {"club": 300}, age=0.1)
    assert usage.admit(account, 701) > 0.0
    assert usage.admit(account, 700) == 0.0


def test_call_larger_than_the_limit_is_admitted_if_the_limit_is_unused(clock):
    account = Account("club", frozenset(), rate=1.0, burst=50.0)
    usage = SharedUsage(clock, window=WINDOW)
    assert usage.admit(account, 80) == 0.0
    assert usage.admit(account, 1) > 0.0


def test_refused_call_is_admitted_after_the_returned_wait(clock, account):
    usage = SharedUsage(clock, window=WINDOW)
    for _ in range(30):
        clock.advance(0.4)
        while usage.admit(account, 100) == 0.0:
            pass
        wait = usage.admit(account, 300)
        assert 0.0 < wait <= WINDOW + 0.25
    clock.advance(wait)
    assert usage.admit(account, 300) == 0.0


def test_lowered_limit_takes_full_effect_one_window_later(clock, account):
    usage = SharedUsage(clock, window=WINDOW)
    usage.admit(account, 0)
    clock.advance(WINDOW)
    usage.admit(account, 0)
    lower = Account("club", frozenset(), rate=10.0, burst=10.0)
    clock.advance(0.1)
    admitted = 0
    while usage.admit(lower, 10) == 0.0:
        admitted += 10
    assert admitted <= WINDOW * RATE + BURST
    clock.advance(WINDOW + 0.5)
    usage.admit(lower, 0)
    admitted = 0
    while usage.admit(lower, 10) == 0.0:
        admitted += 10
    assert 80 <= admitted <= WINDOW * 10 + 10 + 2.5


def test_refunded_units_can_be_used_again(clock, account):
    usage = SharedUsage(clock)
    usage.admit(account, 1000)
    assert usage.admit(account, 100) > 0.0
    usage.refund(account, 1000)
    assert usage.admit(account, 1000) == 0.0
    assert usage.totals() == {"club": 1000}


def test_account_without_limit_is_never_refused(clock):
    account = Account("club", frozenset())
    usage = SharedUsage(clock)
    assert all(usage.admit(account, 10**9) == 0.0 for _ in range(5))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2), st.integers(1, 400), st.integers(0, 200), st.booleans()
        ),
        max_size=80,
    )
)
def test_use_stays_within_the_limit_while_reports_arrive(steps):
    clock = Clock()
    clock.advance(100.0)
    account = Account("club", frozenset(), rate=RATE, burst=BURST, counts_tokens=True)
    usages = {name: SharedUsage(clock) for name in "abc"}
    for usage in usages.values():
        usage.admit(account, 0)
    admitted = 0
    started = clock.seconds()
    for index, cost, milliseconds, _ in steps:
        clock.advance(milliseconds / 1000)
        if usages["abc"[index]].admit(account, cost) == 0.0:
            admitted += cost
        report(clock, usages)
        earned = min(WINDOW + 0.25, clock.seconds() - started) * RATE
        if clock.seconds() - started <= WINDOW:
            assert admitted <= BURST + earned + 1e-6


def test_refund_in_a_later_slot_leaves_no_use_in_the_window(clock, account):
    usage = SharedUsage(clock, window=WINDOW)
    other = SharedUsage(clock, window=WINDOW)
    for change in (+100, -100, +100):
        if change > 0:
            assert usage.admit(account, change) == 0.0
        else:
            usage.refund(account, -change)
        other.apply_report("a", 1, usage.totals(), age=0.0)
        clock.advance(1.0)
    for _ in range(10):
        clock.advance(1.0)
        other.apply_report("a", 1, usage.totals(), age=0.0)
        assert usage.used_fraction(account) >= 0.0
        assert other.used_fraction(account) >= 0.0
    assert usage.used_fraction(account) == other.used_fraction(account) == 0.0
