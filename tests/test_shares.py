"""Tests of shares over a small fleet in virtual time."""

from datetime import timedelta

import pytest
from bench.budget_model import Fleet, run_until

from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.refusals import Reason
from pomeloglade_coordination.share_owners import FixedOwners
from pomeloglade_coordination.shares import Grant, Shares

TIMEOUT = timedelta(seconds=1)
ZONES = {"za": ("a1", "a2"), "zb": ("b1", "b2"), "zc": ("c1", "c2")}
LIMITS = {"large": Limit(6000, 60_000), "small": Limit(60, 600)}
WARM_SECONDS = 20.0


def build(parts):
    return Shares(
        clock=parts.clock,
        members=parts.members,
        sender=parts.sender,
        owners=FixedOwners(ZONES),
    )


class Driver:
    """Sends requests to a fleet and keeps their results."""

    def __init__(self, fleet):
        self.fleet = fleet

    def wait(self, seconds):
        """Let time pass."""
        run_until(self.fleet.clock, self.fleet.clock.seconds() + seconds)

    def acquire(self, instance, account, tokens, seconds=1.0):
        """Return a grant or refusal, and let ``seconds`` pass."""
        results = []
        shares = self.fleet.instances_by_name[instance].shares
        shares.acquire(account, tokens, TIMEOUT).addCallback(results.append)
        self.wait(seconds)
        assert results, "no answer within the timeout"
        return results[0]

    def shares(self, instance):
        """Return the shares of an instance's present run."""
        return self.fleet.instances_by_name[instance].shares


@pytest.fixture
def driver():
    driver = Driver(Fleet(build, ZONES, LIMITS))
    driver.wait(WARM_SECONDS)
    return driver


def test_request_above_one_even_share_gathers_the_whole_burst(driver):
    grant = driver.acquire("a1", "large", 60_000)
    assert isinstance(grant, Grant)
    assert driver.shares("a1").confirm(grant)


def test_local_request_needs_no_message(driver):
    before = driver.fleet.sent_messages["a1"]
    assert isinstance(driver.acquire("a1", "large", 5_000, seconds=0.1), Grant)
    assert driver.fleet.sent_messages["a1"] == before


def test_refusals_tell_why_and_when_to_come_back(driver):
    assert driver.acquire("a1", "large", 60_001).reason is Reason.OVER_BURST
    shares = driver.shares("a1")
    assert shares.confirm(driver.acquire("a1", "large", 60_000, seconds=0.01))
    refusal = driver.acquire("b2", "large", 12_000, seconds=0.2)
    assert refusal.reason is Reason.OVER_RATE
    assert refusal.not_run
    assert refusal.retry_after.total_seconds() == pytest.approx(2.0, abs=0.1)


def test_weight_store_rate_is_shared_as_an_account_of_its_own(driver):
    driver.fleet.configure({**LIMITS, "weight-store": Limit(300, 3000)})
    driver.wait(WARM_SECONDS)
    taken = 0
    for instance in ("a1", "b1", "c1", "c2"):
        while isinstance(driver.acquire(instance, "weight-store", 100, 0.1), Grant):
            taken += 100
    seconds = driver.fleet.clock.seconds() - WARM_SECONDS
    assert 3000 <= taken <= 3000 + 300 * seconds
    assert isinstance(driver.acquire("a1", "large", 5_000), Grant)
