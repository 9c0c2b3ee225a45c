"""Shares of client accounts: heavy accounts, lone accounts, bounded state."""

import doctest

from twisted.internet.task import Clock

from pomeloglade.forwarding import account_shares
from pomeloglade.forwarding.account_shares import MAX_ACCOUNTS, AccountShares


def test_examples_in_the_docstrings_hold():
    assert doctest.testmod(account_shares).failed == 0


# Guards against putting an account behind others that no longer send anything.
def test_account_that_is_alone_is_never_above_its_share():
    clock = Clock()
    shares = AccountShares(clock)
    shares.record("api", "former")
    clock.advance(30.0)
    for _ in range(50):
        shares.record("api", "club")
    assert shares.step("api", "club") == 0


def test_account_is_within_its_share_again_after_its_burst():
    clock = Clock()
    shares = AccountShares(clock)
    for number in range(12):
        shares.record("api", f"account-{number}")
    for _ in range(12):
        shares.record("api", "heavy")
    assert shares.step("api", "heavy") == 3
    assert shares.step("api", "account-3") == 0
    clock.advance(12.0)
    assert shares.step("api", "heavy") == 0


# Guards against unbounded memory if callers use many accounts.
def test_accounts_of_a_service_are_bounded():
    shares = AccountShares(Clock())
    for number in range(MAX_ACCOUNTS + 50):
        shares.record("api", f"account-{number}")
    assert len(shares._uses_by_service["api"]) == MAX_ACCOUNTS
