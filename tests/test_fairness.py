"""Tests of weighted fair queueing."""

from collections import Counter

import pytest

from pomeloglade_coordination.fairness import FairQueue, FairShares


def _serve(queue, count):
    served = Counter()
    for _ in range(count):
        queued = next(queue.in_order())
        queue.take(queued.request_id)
        served[queued.account] += queued.cost
    return served


def test_tokens_follow_weights_regardless_of_request_sizes():
    queue = FairQueue()
    for number in range(300):
        queue.push(f"a{number}", "large", cost=100)
        queue.push(f"b{number}", "small", cost=10)
        queue.push(f"c{number}", "heavy", cost=100, weight=3)
    served = _serve(queue, 130)
    assert served["heavy"] == pytest.approx(3 * served["large"], rel=0.1)
    assert served["small"] == pytest.approx(served["large"], rel=0.1)


def test_idle_account_earns_no_credit():
    queue = FairQueue()
    for number in range(100):
        queue.push(f"a{number}", "busy", cost=10)
    _serve(queue, 50)
    for number in range(100):
        queue.push(f"b{number}", "idle", cost=10)
    served = _serve(queue, 40)
    assert served["busy"] == pytest.approx(served["idle"], abs=10)


def test_patient_requests_get_their_share_behind_interactive_ones():
    queue = FairQueue()
    for number in range(400):
        queue.push(f"i{number}", "interactive", cost=10)
        queue.push(f"p{number}", "patient", cost=10, patient=True)
    served = _serve(queue, 400)
    assert served["patient"] == pytest.approx(200, abs=20)


def test_account_over_its_share_is_detected_in_overload(clock):
    shares = FairShares(clock)
    for account, requested, served in (
        ("a", 1000, 700),
        ("b", 300, 200),
        ("c", 50, 50),
    ):
        shares.record_requested(account, 1, requested)
        shares.record_served(account, served)
    over = [account for account in "abc" if shares.exceeds_fair_share(account)]
    assert (shares.overloaded(), over) == (True, ["a"])


def test_past_overload_decays(clock):
    shares = FairShares(clock)
    shares.record_requested("a", 1, 1000)
    assert shares.overloaded()
    clock.advance(200.0)
    assert not shares.overloaded()
