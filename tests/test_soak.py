"""The fault soak: one short run of real processes, and what its checks find."""

import os
import subprocess
import sys
from types import SimpleNamespace

import pytest
from soak.callers import Sent
from soak.fleet import KEYS_BY_ACCOUNT
from soak.promises import broken_promises

from pomeloglade_platform_standin.backend import (
    Ledger,
    Run,
    event,
    events_of,
    plain_answer,
)
from pomeloglade_platform_standin.deployment import REVOKE_SECONDS

SHORT_RUN_SECONDS = 120


def test_short_run_with_faults_keeps_all_promises(tmp_path):
    command = ["--seed", "1", "--seconds", "6", "--folder", str(tmp_path)]
    ended = subprocess.run(
        [sys.executable, "-m", "soak", *command],
        env=dict(os.environ),
        capture_output=True,
        text=True,
        timeout=SHORT_RUN_SECONDS,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr


@pytest.fixture
def fleet(tmp_path):
    log = tmp_path / "entry-0.log"
    log.write_text('{"event":"started"}\n')
    instance = SimpleNamespace(name="entry-0", log=log, disturbed_at=[])
    return SimpleNamespace(
        instances=[instance],
        broken=[],
        ledger=Ledger(),
        revoked=[],
        keys_by_account=dict(KEYS_BY_ACCOUNT),
    )


def ask(fleet, attempt, route="bookings", *, at=10.0, tokens=0, **answer):
    """Return an attempt of the account club, and its run if it were asked to run."""
    sent = Sent(
        attempt=attempt,
        route=route,
        account="club",
        key=KEYS_BY_ACCOUNT["club"],
        instance=fleet.instances[0],
        at=at,
        limit=2.0,
        target=f"/{route}/1",
        tokens=tokens,
        ended_at=at + 0.1,
    )
    for name, value in answer.items():
        setattr(sent, name, value)
    return sent


def run(sent, server="i-1", **changes):
    fields = {
        "at": sent.at,
        "service": "llm" if sent.tokens else "api",
        "server": server,
        "attempt": sent.attempt,
        "account": sent.account,
        "target": sent.target,
        "body": b"" if sent.route == "lookups" else sent.attempt.encode(),
        "tokens": sent.tokens,
    }
    return Run(**{**fields, **changes})


def found(fleet, *sent):
    return broken_promises(fleet, list(sent), healed_at=100.0)


def answered(fleet, attempt="a", route="bookings", **changes):
    sent = ask(fleet, attempt, route, status=200, sealed=True, complete=True)
    ran = run(sent, **changes)
    fleet.ledger.runs.append(ran)
    sent.body = plain_answer(ran)
    return sent


def test_whole_answer_of_one_run_is_fine(fleet):
    assert found(fleet, answered(fleet)) == []


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"account": "somebody-else"}, "for account 'somebody-else'"),
        ({"target": "/bookings/2"}, "ran as /bookings/2"),
        ({"body": b"other"}, "ran as /bookings/1 with b'other'"),
        ({"service": "llm"}, "of llm"),
    ],
)
def test_run_that_differs_from_what_was_sent_is_found(fleet, changes, text):
    assert any(text in line for line in found(fleet, answered(fleet, **changes)))


def test_unsafe_request_that_ran_twice_is_found(fleet):
    sent = answered(fleet)
    fleet.ledger.runs.append(run(sent, "i-2"))
    assert any("ran 2 times" in line for line in found(fleet, sent))


def test_refused_request_that_ran_is_found(fleet):
    sent = ask(fleet, "a", status=503, complete=True)
    fleet.ledger.runs.append(run(sent))
    assert any("answered 503, but has run" in line for line in found(fleet, sent))


def test_answer_of_another_request_or_without_a_seal_is_found(fleet):
    mixed, bare = answered(fleet, "a"), answered(fleet, "b")
    mixed.body, bare.sealed = bare.body, False
    lines = found(fleet, mixed, bare)
    assert any(line.startswith("a ") and "got" in line for line in lines)
    assert any("without a seal" in line for line in lines)


def test_run_that_nobody_asked_for_is_found(fleet):
    answered(fleet)
    assert any("asked by nobody" in line for line in found(fleet))


def test_stream_with_a_gap_or_an_early_end_is_found(fleet):
    count = events_of(500)
    whole = b"".join(event("a", number + 1) for number in range(count))
    answer = {"tokens": 500, "status": 200, "sealed": True, "complete": True}
    good = ask(fleet, "a", "digests", body=whole, **answer)
    cut = ask(fleet, "a", "digests", body=whole[:-20], **answer)
    torn = ask(fleet, "a", "digests", body=whole[:-20], **{**answer, "complete": False})
    fleet.ledger.runs.append(run(good))
    assert found(fleet, good) == found(fleet, torn) == []
    assert any("events" in line for line in found(fleet, cut))


def test_withdrawn_key_that_still_works_is_found(fleet):
    sent = answered(fleet)
    fleet.revoked.append(("club", sent.at - REVOKE_SECONDS + 0.1, sent.key))
    assert found(fleet, sent) == []
    fleet.revoked[0] = ("club", sent.at - REVOKE_SECONDS - 0.1, sent.key)
    assert any("key was withdrawn" in line for line in found(fleet, sent))


def test_request_held_beyond_its_limit_is_found_unless_its_instance_was_disturbed(
    fleet,
):
    sent = ask(fleet, "a", ended_at=13.0)
    assert any("held" in line for line in found(fleet, sent))
    fleet.instances[0].disturbed_at.append(14.0)
    assert any("held" in line for line in found(fleet, sent))
    fleet.instances[0].disturbed_at.append(9.0)
    assert found(fleet, sent) == []


def test_account_beyond_its_limit_is_found(fleet):
    sent = [ask(fleet, f"{number}", "digests", tokens=9000) for number in range(12)]
    for each in sent:
        each.account = "hot"
        fleet.ledger.runs.append(run(each))
    assert any("account hot used" in line for line in found(fleet, *sent))


def test_repeated_sendings_beyond_the_budget_are_found(fleet):
    sent = ask(fleet, "a", "lookups")
    fleet.ledger.arrivals = [(10.0 + n / 100, "api", "a") for n in range(80)]
    assert any("repeated sendings to api" in line for line in found(fleet, sent))


def test_accounts_that_are_not_served_after_the_faults_are_found(fleet):
    sent = ask(fleet, "a", at=101.0, status=503, complete=True)
    assert any("served after the faults" in line for line in found(fleet, sent))


def test_error_in_a_log_is_found(fleet):
    fleet.instances[0].log.write_text("Unhandled error in Deferred\n")
    assert any("logged" in line for line in found(fleet))
