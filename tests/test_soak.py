"""The fault soak: one short run with real processes, and tests of its checks."""

import os
import re
import subprocess
import sys
from types import SimpleNamespace

import pytest
from soak.callers import CRASHING_TARGET, SentRequest
from soak.fleet import KEYS_BY_ACCOUNT, PlannedStop, ServerCut
from soak.guarantees import find_violations
from soak.proxy import LinkMode

from pomeloglade_platform_standin.backend import (
    Evacuation,
    Ledger,
    NamedLimit,
    Run,
    StoreBreak,
    event_count,
    plain_answer,
    stream_event,
)
from pomeloglade_platform_standin.deployment import REVOKE_SECONDS

SHORT_RUN_SECONDS = 120


def run_soak(folder, *options):
    ended = subprocess.run(
        [sys.executable, "-m", "soak", "--folder", str(folder), *options],
        env=dict(os.environ),
        capture_output=True,
        text=True,
        timeout=SHORT_RUN_SECONDS,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr


def test_short_run_with_faults_violates_no_guarantee(tmp_path):
    run_soak(tmp_path, "--seed", "1", "--seconds", "6")


# Guards against repeats of a request under which servers end: BUDGET (inc1, issue 25).
def test_processes_keep_a_request_that_crashes_servers_from_them(tmp_path):
    fault = ("--fault", "crashing request", "--seconds", "3")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against requests with one part ending engine after engine: BUDGET (second1,
# issue 25).
def test_processes_keep_a_part_that_crashes_engines_from_them(tmp_path):
    fault = ("--fault", "crashing part", "--seconds", "3")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against requests that share their last part ending engine after engine: BUDGET
# (second1, issue 25).
def test_processes_keep_a_last_part_that_crashes_engines_from_them(tmp_path):
    fault = ("--fault", "crashing last part", "--seconds", "3")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against bodies and events without end filling the memory of the instances.
def test_processes_have_bounded_memory_while_servers_send_without_end(tmp_path):
    fault = ("--fault", "endless answers", "--seconds", "3")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against calls that a planned stop cuts without an answer: LOST.
def test_processes_answer_what_is_open_when_they_are_stopped(tmp_path):
    fault = ("--fault", "planned stop", "--seconds", "5")
    run_soak(tmp_path, "--seed", "2", "--instances", "3", *fault)


# Guards against answers that callers read slowly: cut on the way (LOST), or filling the
# memory of an instance (FAULT).
def test_processes_keep_answers_of_slow_readers_within_their_memory(tmp_path):
    fault = ("--fault", "slow readers", "--seconds", "1")
    run_soak(tmp_path, "--seed", "1", "--instances", "4", *fault)


# Guards against sending a server more requests than the limit that it names: LIMIT
# (inc1, issue 28).
def test_processes_keep_the_limits_that_servers_name(tmp_path):
    fault = ("--fault", "server limits", "--seconds", "8")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against joining two software versions after all instances were killed: ORDER.
def test_processes_do_not_join_streams_of_two_software_versions(tmp_path):
    fault = ("--fault", "releases and kills", "--seconds", "15")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against placing calls at servers that their last answer showed to be slow.
def test_processes_avoid_servers_while_they_report_to_be_slow(tmp_path):
    fault = ("--fault", "slow servers", "--seconds", "6")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)
    logs = (path.read_text() for path in (tmp_path / "1").glob("entry-*.log"))
    paces = [
        float(each) for log in logs for each in re.findall(r"pace (\d+\.\d+)", log)
    ]
    assert len(paces) > 50
    assert sum(pace > 1.25 for pace in paces) < 0.06 * len(paces)


# Guards against passing on what engines in trouble send instead of a stream's next
# events: ORDER, MIXED (first report of issue 46).
def test_processes_go_on_with_streams_only_with_their_next_events(tmp_path):
    fault = ("--fault", "streams go on wrongly", "--seconds", "3")
    run_soak(tmp_path, "--seed", "1", "--instances", "3", *fault)
    logs = (path.read_text() for path in (tmp_path / "1").glob("entry-*.log"))
    assert sum(len(re.findall(r'"\d+ wrong ', log)) for log in logs) > 2


# Guards against processes that end by themselves while they start: FAULT.
def test_processes_start_in_spite_of_signals_ports_in_use_and_cut_settings(tmp_path):
    fault = ("--fault", "starts", "--seconds", "5")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against sending a cold server more requests than it tolerates.
def test_processes_keep_the_rate_of_cold_servers(tmp_path):
    fault = ("--fault", "cold servers", "--seconds", "8")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


# Guards against refusing calls that other instances can serve: RECOVER (second1,
# issue 28).
@pytest.mark.parametrize("seed", ["1", "2", "4"], ids=["reset", "refuse", "silence"])
def test_processes_that_are_cut_from_all_servers_serve_through_others(tmp_path, seed):
    fault = ("--fault", "cut from servers", "--seconds", "8")
    run_soak(tmp_path, "--seed", seed, "--instances", "6", *fault)


# Guards against requests to a zone that the operator has emptied.
def test_processes_send_nothing_to_a_zone_out_of_use(tmp_path):
    fault = ("--fault", "zone out of use", "--seconds", "9")
    run_soak(tmp_path, "--seed", "1", "--instances", "6", *fault)


@pytest.fixture
def fleet(tmp_path):
    log = tmp_path / "entry-0.log"
    log.write_text('{"event":"started"}\n')
    instance = SimpleNamespace(name="entry-0", log=log, disturbed_at=[])
    return SimpleNamespace(
        instances=[instance],
        violations=[],
        ledger=Ledger(),
        cuts=[],
        planned_stops=[],
        revoked=[],
        keys_by_account=dict(KEYS_BY_ACCOUNT),
    )


def sent_request(fleet, attempt, route="bookings", *, at=10.0, tokens=0, **answer):
    """Return a request of the account ``club`` with these fields of its response."""
    sent = SentRequest(
        attempt=attempt,
        route=route,
        account="club",
        key=KEYS_BY_ACCOUNT["club"],
        instance=fleet.instances[0],
        sent_at=at,
        timeout=2.0,
        target=f"/{route}/1",
        tokens=tokens,
        ended_at=at + 0.1,
    )
    for name, value in answer.items():
        setattr(sent, name, value)
    return sent


def run_of(sent, server="i-1", **changes):
    fields = {
        "at": sent.sent_at,
        "service": "llm" if sent.tokens else "api",
        "server": server,
        "attempt": sent.attempt,
        "account": sent.account,
        "target": sent.target,
        "body": b"" if sent.route == "lookups" else sent.attempt.encode(),
        "tokens": sent.tokens,
    }
    return Run(**{**fields, **changes})


def violations(fleet, *sent):
    return find_violations(fleet, list(sent), healed_at=100.0)


def answered_request(fleet, attempt="a", route="bookings", **changes):
    sent = sent_request(fleet, attempt, route, status=200, sealed=True, complete=True)
    run = run_of(sent, **changes)
    fleet.ledger.runs.append(run)
    sent.body = plain_answer(run)
    return sent


def test_complete_response_of_one_run_is_no_violation(fleet):
    assert violations(fleet, answered_request(fleet)) == []


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
    assert any(
        text in line for line in violations(fleet, answered_request(fleet, **changes))
    )


def test_broken_off_stream_may_end_in_what_its_server_sent_without_end(fleet):
    sent = sent_request(fleet, "s", "digests", tokens=1000, status=200, sealed=True)
    fleet.ledger.runs.append(run_of(sent))
    sent.body = stream_event("s", 1) + b"data: xxxx"
    assert violations(fleet, sent) == []
    sent.body = stream_event("s", 1) + b"data: xxyx"
    assert violations(fleet, sent)
    sent.body = stream_event("s", 2) + b"data: xxxx"
    assert violations(fleet, sent)
    sent.body, sent.complete = stream_event("s", 1) + b"data: xxxx", True
    assert violations(fleet, sent)


def test_requests_that_still_crash_servers_are_found(fleet):
    crashing = [
        sent_request(fleet, f"c{n}", "lookups", at=10.0 + n, culprit=CRASHING_TARGET)
        for n in range(9)
    ]
    for each in crashing:
        fleet.ledger.arrivals.append((each.sent_at, "api", each.attempt))
        fleet.ledger.crashes.append((each.sent_at, CRASHING_TARGET))
    # The third crash is at 12, so those from 16 on are three: as many as allowed.
    assert violations(fleet, *crashing) == []
    fleet.ledger.arrivals.append((15.5, "api", "c8"))
    (text,) = violations(fleet, *crashing)
    assert text.startswith("4 requests with /lookups/crash reached servers after 15.00")
    fleet.instances[0].disturbed_at.append(14.0)
    assert violations(fleet, *crashing) == []


def test_unsafe_request_that_ran_twice_is_found(fleet):
    sent = answered_request(fleet)
    fleet.ledger.runs.append(run_of(sent, "i-2"))
    assert any("ran 2 times" in line for line in violations(fleet, sent))


def test_refused_request_that_ran_is_found(fleet):
    sent = sent_request(fleet, "a", status=503, complete=True)
    fleet.ledger.runs.append(run_of(sent))
    assert any("answered 503, but has run" in line for line in violations(fleet, sent))


def test_response_of_another_request_or_without_a_seal_is_found(fleet):
    mixed, unsealed = answered_request(fleet, "a"), answered_request(fleet, "b")
    mixed.body, unsealed.sealed = unsealed.body, False
    lines = violations(fleet, mixed, unsealed)
    assert any(line.startswith("a ") and "got" in line for line in lines)
    assert any("without a seal" in line for line in lines)


def test_run_without_a_request_is_found(fleet):
    answered_request(fleet)
    assert any("belongs to no request" in line for line in violations(fleet))


def test_stream_with_a_gap_or_an_early_end_is_found(fleet):
    count = event_count(500)
    whole = b"".join(stream_event("a", number + 1) for number in range(count))
    answer = {"tokens": 500, "status": 200, "sealed": True, "complete": True}
    good = sent_request(fleet, "a", "digests", body=whole, **answer)
    truncated = sent_request(fleet, "a", "digests", body=whole[:-20], **answer)
    aborted = sent_request(
        fleet, "a", "digests", body=whole[:-20], **{**answer, "complete": False}
    )
    fleet.ledger.runs.append(run_of(good))
    assert violations(fleet, good) == violations(fleet, aborted) == []
    assert any("events" in line for line in violations(fleet, truncated))


def test_revoked_key_that_still_works_is_found(fleet):
    sent = answered_request(fleet)
    fleet.revoked.append(("club", sent.sent_at - REVOKE_SECONDS + 0.1, sent.key))
    assert violations(fleet, sent) == []
    fleet.revoked[0] = ("club", sent.sent_at - REVOKE_SECONDS - 0.1, sent.key)
    assert any("key was withdrawn" in line for line in violations(fleet, sent))


def test_overdue_request_is_found_unless_its_instance_was_disturbed(fleet):
    sent = sent_request(fleet, "a", ended_at=13.0)
    assert any("held" in line for line in violations(fleet, sent))
    fleet.instances[0].disturbed_at.append(14.0)
    assert any("held" in line for line in violations(fleet, sent))
    fleet.instances[0].disturbed_at.append(9.0)
    assert violations(fleet, sent) == []


def test_account_over_its_quota_is_found(fleet):
    sent = [
        sent_request(fleet, f"{number}", "digests", tokens=9000) for number in range(12)
    ]
    for each in sent:
        each.account = "hot"
        fleet.ledger.runs.append(run_of(each))
    assert any("account hot used" in line for line in violations(fleet, *sent))


def test_request_that_ran_twice_counts_once_for_the_quota(fleet):
    sent = [
        sent_request(fleet, f"{number}", "reports", tokens=9000) for number in range(8)
    ]
    for each in sent:
        each.account = "hot"
        fleet.ledger.runs += [run_of(each), run_of(each, "i-2")]
    assert not any("account hot" in line for line in violations(fleet, *sent))
    one_more = sent_request(fleet, "8", "reports", tokens=9000, account="hot")
    fleet.ledger.runs.append(run_of(one_more))
    assert any("account hot" in line for line in violations(fleet, *sent, one_more))


def test_retries_over_the_budget_are_found(fleet):
    sent = sent_request(fleet, "a", "lookups")
    fleet.ledger.arrivals = [(10.0 + n / 100, "api", "a") for n in range(80)]
    assert any("repeated sendings to api" in line for line in violations(fleet, sent))


def test_server_that_gets_more_than_its_limit_is_found(fleet):
    fleet.ledger.limits.append(NamedLimit("i-1", 2.5, 10.0, 20.0))
    fleet.ledger.arrivals_by_server["i-1"] = [(13.1 + n / 6, "") for n in range(20)]
    assert violations(fleet) == []
    fleet.ledger.arrivals_by_server["i-1"].append((13.2, ""))
    assert any("named a limit of 2.5" in line for line in violations(fleet))


@pytest.mark.parametrize(("status", "found"), [(200, False), (503, True)])
def test_instances_that_serve_nothing_while_cut_off_are_found(fleet, status, found):
    (cut_off,) = fleet.instances
    other = SimpleNamespace(name="entry-1", disturbed_at=[])
    fleet.cuts.append(ServerCut((cut_off,), LinkMode.RESET, 10.0))
    sent = [answered_request(fleet, f"{cut_off.name}-{n}") for n in range(12)]
    others = [answered_request(fleet, f"{other.name}-{n}") for n in range(12)]
    for each in (*sent, *others):
        each.sent_at = 14.0
    for each in sent:
        each.status = status
    for each in others:
        each.instance = other
    lines = violations(fleet, *sent, *others)
    assert any("cut instances served" in line for line in lines) is found


def test_request_to_a_zone_out_of_use_is_found(fleet):
    sent = sent_request(fleet, "a", at=16.0, status=200, complete=True)
    fleet.ledger.zone_by_server["i-1"] = "zone-a"
    fleet.ledger.evacuations.append(Evacuation("zone-a", 10.0, 20.0))
    for at in (9.0, 14.9, 20.1):
        fleet.ledger.arrivals_by_server["i-1"].append((at, "a"))
    fleet.ledger.arrivals_by_server["i-1"].append((16.0, "probe"))
    assert not any("out of use" in line for line in violations(fleet, sent))
    fleet.ledger.arrivals_by_server["i-1"].append((16.0, "a"))
    assert any("reached i-1" in line for line in violations(fleet, sent))
    fleet.ledger.store_breaks.append(StoreBreak(12.0, 13.0, "entry-0"))
    assert not any("reached i-1" in line for line in violations(fleet, sent))
    fleet.ledger.fetches_by_server["i-1"].append((17.5, "a"))
    assert any("reached i-1" in line for line in violations(fleet, sent))


@pytest.mark.parametrize(("faults", "found"), [([], True), ([8.0], False)])
def test_refusals_while_a_zone_is_out_of_use_are_found(fleet, faults, found):
    fleet.ledger.faults += faults
    fleet.ledger.evacuations.append(Evacuation("zone-a", 10.0, 20.0))
    sent = sent_request(fleet, "a", at=16.0, status=503, complete=True)
    lines = violations(fleet, sent)
    assert any("0 of 1 plain requests" in line for line in lines) is found


def test_missing_recovery_after_the_faults_is_found(fleet):
    sent = sent_request(fleet, "a", at=101.0, status=503, complete=True)
    assert any("served after the faults" in line for line in violations(fleet, sent))


def test_error_in_a_log_is_found(fleet):
    fleet.instances[0].log.write_text("Unhandled error in Deferred\n")
    assert any("logged" in line for line in violations(fleet))
    fleet.instances[0].log.write_text('{"event":"unforeseen_error"}\n')
    assert any("logged" in line for line in violations(fleet))


@pytest.mark.parametrize(("version", "found"), [("v1", False), ("v2", True)])
def test_stream_that_goes_on_at_another_software_version_is_found(
    fleet, version, found
):
    first = sent_request(fleet, "a", "reports", tokens=400, status=200, sealed=True)
    again = sent_request(
        fleet, "b", "reports", tokens=400, first_attempt="a", resumed_after=1
    )
    fleet.ledger.runs += [
        run_of(first, software_version="v1"),
        run_of(again, "i-2", software_version=version, resumed_after=1),
    ]
    lines = violations(fleet, first, again)
    assert any("went on at i-2 of v2" in line for line in lines) is found


def test_stream_that_is_taken_up_must_go_on_after_its_last_event(fleet):
    again = sent_request(
        fleet,
        "b",
        "reports",
        tokens=300,
        first_attempt="a",
        resumed_after=1,
        status=200,
        sealed=True,
        complete=True,
    )
    again.body = stream_event("b", 2) + stream_event("b", 3)
    assert violations(fleet, again) == []
    again.body = stream_event("b", 1) + again.body
    assert violations(fleet, again) != []


def cut_in_planned_stop(fleet, **changes):
    """Return a request that has arrived at a server and has no answer."""
    stop = PlannedStop(fleet.instances[0], 9.0)
    fleet.planned_stops.append(stop)
    fleet.ledger.faults.append(stop.at)
    sent = sent_request(fleet, "a", **changes)
    fleet.ledger.arrivals.append((sent.sent_at, "api", sent.attempt))
    return sent


def test_request_that_a_planned_stop_cuts_is_a_violation(fleet):
    sent = cut_in_planned_stop(fleet)
    (line,) = violations(fleet, sent)
    assert "sent 1.00 s after the SIGTERM of entry-0, was cut 1.10 s after it" in line
    sent.ended_at = 9.0 + 3.5
    sent.timeout = 5.0
    assert len(violations(fleet, sent)) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"disconnected": True},
        {"status": 502, "complete": True},
        {"ended_at": 12.0},
        {"at": 8.9},
        {"at": 14.1},
        {"route": "digests", "status": 200, "sealed": True, "ended_at": 12.1}
        | {"timeout": 5.0, "tokens": 1000},
    ],
    ids=["left", "answered", "timeout", "before", "after", "begun"],
)
def test_other_requests_around_a_planned_stop_are_no_violation(fleet, changes):
    assert violations(fleet, cut_in_planned_stop(fleet, **changes)) == []


def test_requests_cut_beside_other_faults_are_not_counted(fleet):
    sent = cut_in_planned_stop(fleet)
    fleet.ledger.faults.append(8.0)
    assert violations(fleet, sent) == []


def test_request_that_did_not_arrive_at_a_server_is_not_cut(fleet):
    sent = cut_in_planned_stop(fleet)
    fleet.ledger.arrivals.clear()
    assert violations(fleet, sent) == []
