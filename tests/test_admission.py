"""Admission of calls to plain services: bursts, drained queues, late calls."""

import doctest

import pytest

from pomeloglade.forwarding import admission
from pomeloglade.forwarding.admission import (
    CallTimes,
    ServiceCapacity,
    WorkAhead,
    decide,
    extra_calls,
    release_chance,
    wait_allowance,
)

CAPACITY = ServiceCapacity(slots=18, rate=272.0, duration=0.066)
NEW = CallTimes(now=10.0, due=10.31, deadline=14.1)


def test_examples_in_the_docstrings_hold():
    assert doctest.testmod(admission).failed == 0


# Guards against queues in which every call is answered late.
def test_call_that_a_burst_would_make_late_is_refused_until_the_queue_has_drained():
    refused = decide(CAPACITY, WorkAhead(50, 60, 60), NEW)
    assert not refused.admitted
    assert 0.1 < refused.retry_after < refused.wait
    finished = round(CAPACITY.rate * refused.retry_after)
    assert decide(CAPACITY, WorkAhead(50, 60 - finished, 60 - finished), NEW).admitted


# Guards against refusals by an estimate that is too long while servers are idle.
@pytest.mark.parametrize("duration", [0.066, 5.0])
def test_nothing_is_refused_while_half_of_the_slots_are_free(duration):
    slow = ServiceCapacity(18, 18 / duration, duration)
    assert decide(slow, WorkAhead(8), NEW).admitted
    assert decide(slow, WorkAhead(8), CallTimes(10.0, 9.0, 10.001)).admitted


# Guards against refusing calls again and again that can still be answered late.
@pytest.mark.parametrize(
    "times", [CallTimes(10.0, 9.9, 13.0), CallTimes(10.0, 10.31, 13.0, returned=True)]
)
def test_call_that_is_late_or_came_back_waits_while_its_time_limit_can_be_met(times):
    assert decide(CAPACITY, WorkAhead(50, 300, 300), times).admitted
    assert not decide(CAPACITY, WorkAhead(50, 900, 900), times).admitted


# Guards against holding a call until its time limit and then answering nothing.
def test_call_whose_time_limit_is_shorter_than_its_work_is_refused_at_once():
    times = CallTimes(now=10.0, due=9.8, deadline=10.05)
    assert not decide(CAPACITY, WorkAhead(18, 0, 0), times).admitted


# Guards against serving less urgent calls more often than urgent ones in a burst.
def test_less_urgent_calls_and_heavy_accounts_are_refused_at_shorter_queues():
    work = WorkAhead(50, 24, 24)
    assert decide(CAPACITY, work, NEW).admitted
    assert not decide(CAPACITY, work, NEW, wait_allowance(1, 0)).admitted
    assert not decide(CAPACITY, work, NEW, wait_allowance(0, 1)).admitted
    assert decide(CAPACITY, WorkAhead(17), NEW, wait_allowance(2, 3)).admitted


# Guards against calls that are sent to a server on time and answered late.
@pytest.mark.parametrize(("duration", "objective"), [(0.066, 0.31), (0.0225, 0.155)])
def test_call_behind_the_extra_calls_of_a_server_is_on_time(duration, objective):
    calls = 6 + extra_calls(6, duration, objective)
    assert calls / 6 * duration + duration < objective


# Guards against servers that get the same free slot's call from every instance.
def test_all_instances_together_send_what_the_servers_finish():
    chances = [release_chance(0.01, 272.0, 1, 2, 122) for _ in range(62)]
    assert sum(chances) == pytest.approx(2.72 + 1 / 15)
