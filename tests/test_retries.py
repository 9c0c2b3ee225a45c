"""Tests of the retry budget."""

from random import Random

import pytest

from pomeloglade_coordination.retries import RetryBudget


@pytest.fixture
def budget(clock):
    return RetryBudget(clock=clock, random=Random(1))


def test_retries_stay_within_ratio_while_half_of_the_calls_fail(clock, budget):
    successes = retries = 0
    for number in range(1000):
        clock.advance(0.01)
        if number % 2:
            budget.record_success()
            successes += 1
        elif budget.try_withdraw():
            retries += 1
    assert 0 < retries <= successes // 10


def test_total_failure_gets_at_most_one_second_of_earned_retries(clock, budget):
    for _ in range(1000):
        clock.advance(0.02)
        budget.record_success()
    retries = 0
    for _ in range(1000):
        clock.advance(0.02)
        retries += budget.try_withdraw()
    assert 1 <= retries <= 5


def test_successes_outside_the_window_allow_no_retry(clock, budget):
    for _ in range(100):
        budget.record_success()
    clock.advance(12.0)
    assert not budget.try_withdraw()
    assert budget.counters() == {"refused": 1}


def test_backoff_grows_and_is_jittered(budget):
    delays = [budget.backoff(attempt).total_seconds() for attempt in (1, 2, 3, 9)]
    assert 0.025 <= delays[0] <= 0.05
    assert 0.1 <= delays[2] <= 0.2
    assert 1.0 <= delays[3] <= 2.0
    assert budget.backoff(1) != budget.backoff(1)
