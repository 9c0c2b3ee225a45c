"""Tests of rate shares in a small simulated fleet, in virtual time."""

from datetime import timedelta
from pathlib import Path

import pytest
from bench.budget_model import DETECTION_SECONDS, Fleet, run_until

import pomeloglade_coordination
from pomeloglade_coordination.bucket import Limit
from pomeloglade_coordination.refusals import Reason
from pomeloglade_coordination.share_owners import FixedOwners
from pomeloglade_coordination.shares import Grant, ShareEvent, Shares

TIMEOUT = timedelta(seconds=1)
ZONES = {"za": ("a1", "a2"), "zb": ("b1", "b2"), "zc": ("c1", "c2")}
LIMITS = {"large": Limit(6000, 60_000), "small": Limit(60, 600)}
WARM_UP_SECONDS = 20.0


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
        """Advance the virtual time."""
        run_until(self.fleet.clock, self.fleet.clock.seconds() + seconds)

    def acquire(self, instance, account, tokens, seconds=1.0):
        """Return the grant or refusal, after advancing by ``seconds``."""
        results = []
        shares = self.fleet.instances_by_name[instance].shares
        shares.acquire(account, tokens, TIMEOUT).addCallback(results.append)
        self.wait(seconds)
        assert results, "no answer within the timeout"
        return results[0]

    def shares(self, instance):
        """Return the shares of an instance's current run."""
        return self.fleet.instances_by_name[instance].shares


@pytest.fixture
def driver():
    driver = Driver(Fleet(build, ZONES, LIMITS))
    driver.wait(WARM_UP_SECONDS)
    return driver


def test_request_above_one_share_can_borrow_the_whole_burst(driver):
    grant = driver.acquire("a1", "large", 60_000)
    assert isinstance(grant, Grant)
    assert driver.shares("a1").confirm(grant)


def test_local_request_needs_no_message(driver):
    before = driver.fleet.sent_messages["a1"]
    assert isinstance(driver.acquire("a1", "large", 5_000, seconds=0.0), Grant)
    assert driver.fleet.sent_messages["a1"] == before


def test_refusals_have_a_reason_and_retry_after(driver):
    assert driver.acquire("a1", "large", 60_001).reason is Reason.OVER_BURST
    shares = driver.shares("a1")
    assert shares.confirm(driver.acquire("a1", "large", 60_000, seconds=0.01))
    refusal = driver.acquire("b2", "large", 12_000, seconds=0.2)
    assert refusal.reason is Reason.OVER_RATE
    assert refusal.not_run
    assert refusal.retry_after.total_seconds() == pytest.approx(2.0, abs=0.1)


def test_weight_store_rate_is_shared_as_a_separate_account(driver):
    driver.fleet.configure({**LIMITS, "weight-store": Limit(300, 3000)})
    driver.wait(WARM_UP_SECONDS)
    granted = 0
    for instance in ("a1", "b1", "c1", "c2"):
        while isinstance(driver.acquire(instance, "weight-store", 100, 0.1), Grant):
            granted += 100
    seconds = driver.fleet.clock.seconds() - WARM_UP_SECONDS
    assert 3000 <= granted <= 3000 + 300 * seconds
    assert isinstance(driver.acquire("a1", "large", 5_000), Grant)


def spend_everything(driver, instance, account="large"):
    """Spend all that one instance can get, and return how many tokens that was."""
    spent = 0
    for tokens in (16_000, 4_000, 1_000):
        while isinstance(
            grant := driver.acquire(instance, account, tokens, 0.1), Grant
        ):
            assert driver.shares(instance).confirm(grant)
            spent += tokens
    return spent


def test_zone_restarted_without_state_does_not_get_a_second_burst(driver):
    start = driver.fleet.clock.seconds()
    spent = spend_everything(driver, "a1")
    for name in ZONES["zb"]:
        driver.fleet.kill(name)
        driver.fleet.start(name)
    driver.wait(DETECTION_SECONDS)
    spent += spend_everything(driver, "b1")
    seconds = driver.fleet.clock.seconds() - start
    assert spent <= 60_000 + 6000 * seconds


def test_restarted_owner_refills_only_after_earlier_loans_expired(driver):
    driver.fleet.kill("a1")
    driver.fleet.start("a1")
    driver.fleet.isolate_zone("za")
    driver.fleet.kill("a2")
    driver.wait(3.9)
    assert not isinstance(driver.acquire("a1", "large", 1, 0.1), Grant)
    driver.wait(1.0)
    assert isinstance(driver.acquire("a1", "large", 100, 0.1), Grant)


def test_grant_on_loans_is_void_after_a_pause_beyond_the_lease(driver):
    shares = driver.shares("a1")
    grant = driver.acquire("a1", "large", 60_000, seconds=0.01)
    driver.fleet.freeze("a1")
    driver.wait(5.0)
    dispatched = []
    process = driver.fleet.instances_by_name["a1"].process
    process.run(lambda: dispatched.append(shares.confirm(grant)))
    driver.fleet.wake("a1")
    assert dispatched == [False]
    assert shares.counters()[ShareEvent.LEASE_LAPSED] == 1


def test_lower_limit_voids_earlier_grants_and_loans(driver):
    grant = driver.acquire("a1", "large", 60_000, seconds=0.01)
    driver.fleet.configure({**LIMITS, "large": Limit(600, 6_000)})
    start = driver.fleet.clock.seconds()
    assert not driver.shares("a1").confirm(grant)
    spent = 0
    for instance in ("a1", "b2"):
        spent += spend_everything(driver, instance)
    assert spent <= 6_000 + 600 * (driver.fleet.clock.seconds() - start)


def test_grant_is_refunded_once_and_nothing_arrives_after_the_refund(driver):
    shares = driver.shares("a1")
    grant = driver.acquire("a1", "large", 5_000, seconds=0.0)
    assert shares.confirm(grant)
    spend_everything(driver, "a1")
    before = driver.fleet.sent_messages["a1"]
    shares.refund(grant, 4_000)
    shares.refund(grant, 4_000)
    assert driver.fleet.sent_messages["a1"] == before
    assert shares.counters()[ShareEvent.REFUNDED] == 1
    assert isinstance(driver.acquire("a1", "large", 4_000, 0.0), Grant)


def test_isolated_zone_keeps_serving_its_own_part(driver):
    spend_everything(driver, "a1")
    driver.fleet.isolate_zone("za")
    driver.wait(10.0)
    zone_tokens = 6000 // 3 * 10
    grant = driver.acquire("a1", "large", int(zone_tokens * 0.9), seconds=0.2)
    assert isinstance(grant, Grant)
    assert not isinstance(driver.acquire("a2", "large", zone_tokens, 0.2), Grant)


def test_readme_example_runs():
    readme = Path(pomeloglade_coordination.__file__).parents[2] / "README.md"
    example = readme.read_text().split("```python\n")[1].split("```")[0]
    assert "pomeloglade." not in example
    exec(compile(example, str(readme), "exec"), {})


def test_return_loans_returns_tokens_to_their_owners(driver):
    grant = driver.acquire("a1", "large", 60_000, seconds=0.01)
    shares = driver.shares("a1")
    shares.refund(grant, 0)
    shares.return_loans()
    driver.wait(0.01)
    driver.fleet.kill("a1")
    assert isinstance(driver.acquire("b1", "large", 50_000), Grant)


def test_loans_whose_report_is_lost_count_as_spent(driver):
    start = driver.fleet.clock.seconds()
    grant = driver.acquire("a1", "large", 60_000, seconds=0.01)
    assert driver.shares("a1").confirm(grant)
    driver.fleet.kill("a1")
    driver.wait(4.5)
    spent = 60_000 + spend_everything(driver, "b1")
    assert spent <= 60_000 + 6000 * (driver.fleet.clock.seconds() - start)


def test_negative_tokens_raise_value_error(driver):
    with pytest.raises(ValueError, match="got -1"):
        driver.shares("a1").acquire("large", -1, TIMEOUT)
