"""Tests of the claim log without the exchange between instances."""

import random
from datetime import timedelta

from twisted.internet.task import Clock

from pomeloglade_coordination.claim_log import ClaimLog
from pomeloglade_coordination.claim_records import ClaimRecord, ClaimState, digest
from pomeloglade_coordination.errors import KeyValueUnavailableError
from pomeloglade_coordination.key_value import MemoryKeyValueStore

MAX_RECORDS = 5
RETENTION_SECONDS = 10.0


def claim(name):
    return ClaimRecord(digest(name), b"body", f"i1.1.{name}", ClaimState.CLAIMED)


def test_full_log_accepts_claims_again_once_its_records_have_expired(monkeypatch):
    monkeypatch.setattr("pomeloglade_coordination.claim_log.MAX_RECORDS", MAX_RECORDS)
    clock = Clock()
    log = ClaimLog(
        clock=clock,
        store=MemoryKeyValueStore(clock),
        prefix="claims/0/",
        random=random.Random(1),
        retention=timedelta(seconds=RETENTION_SECONDS),
        outcome_retention=timedelta(seconds=RETENTION_SECONDS),
    )

    def propose(name):
        results = []
        log.propose(claim(name)).addBoth(results.append)
        clock.pump([0.01] * 20)
        return results[0]

    for number in range(MAX_RECORDS):
        assert propose(str(number)) == claim(str(number))
    assert propose("while full").check(KeyValueUnavailableError)
    clock.advance(RETENTION_SECONDS + 1)
    assert propose("later") == claim("later")
