"""Checks of the platform's guarantees against what callers and backend servers saw."""

import json
from collections import Counter, defaultdict

from pomeloglade_platform_standin.backend import (
    Run,
    event_count,
    plain_answer,
    stream_event,
)
from pomeloglade_platform_standin.deployment import (
    COLD_OVERRUN,
    COLD_PER_SECOND,
    COLD_SLACK,
    HOT_BURST,
    HOT_RATE,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_SLACK,
    RETRY_BUDGET_WINDOW_SECONDS,
    REVOKE_SECONDS,
    USAGE_SLACK,
    USAGE_WINDOW_SECONDS,
)
from pomeloglade_platform_standin.flood import is_flood

from .callers import (
    CRASHING_LAST_PART,
    CRASHING_PART,
    CRASHING_TARGET,
    EVENT_END,
    SentRequest,
)
from .fleet import Fleet
from .planned_stops import find_cut_requests

ERROR_EVENTS = frozenset(
    ("internal_error", "unforeseen_error", "entry_failed", "store_not_applied")
)
"""Log lines of errors that the program does not foresee."""

NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that no backend server has run the request."""

USAGE_OVERRUN_FRACTION = 0.1
"""Fraction by which the platform lets an account exceed its quota."""

MAX_OVERDUE_SECONDS = 0.6
"""How long after its timeout a request may end: the half second that the platform
allows, and an allowance for a machine busy with all these processes."""

SETTLE_SECONDS = 3.0
"""Time after a disturbance of an instance until the platform's bounds apply again."""

MIN_SERVED_FRACTION = 0.9
"""Fraction of requests with valid keys that must be served after the last fault."""

CRASHES_BY_CULPRIT = {CRASHING_TARGET: 3, CRASHING_PART: 5, CRASHING_LAST_PART: 3}
"""Crashes after which no more requests with their cause may be sent to servers."""

MAX_SENT_AFTER_CRASHES = 3
"""Requests that may still reach servers ``SETTLE_SECONDS`` after these crashes."""

LIMIT_WINDOW_SECONDS = 4.0
LIMIT_OVERRUN = 1.5
LIMIT_SLACK = 5
"""Span and tolerance of the limits that servers name."""

CUT_SERVED_FRACTION = 2 / 3
CUT_SLACK, CUT_SLACK_FRACTION = 10, 1 / 50
"""How often instances that are cut from all servers must serve, relative to the others,
and how many of all requests may fail there in any case."""

EVACUATE_SECONDS = 5.0
"""Time after the operator's key within which requests to the zone must end."""

CONTACT_SECONDS = 4.0
"""Time without a break in the contact with the store that an instance needs for it."""

QUIET_SECONDS = 12.0
"""Time without other faults, before and while a zone is out of use, after which plain
requests must be served as without any fault."""

PLAIN_ROUTES = ("lookups", "bookings")
SERVICE_BY_ROUTE = {
    "lookups": "api",
    "bookings": "api",
    "digests": "llm",
    "reports": "llm",
}


def find_violations(
    fleet: Fleet, requests: list[SentRequest], healed_at: float
) -> list[str]:
    """Return a line for each violation of a guarantee."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in fleet.ledger.runs:
        runs_by_attempt[run.attempt].append(run)
    violations = [*fleet.violations, *fleet.ledger.mixed_up]
    known = {each.attempt for each in requests}
    violations += [
        f"{run} belongs to no request"
        for run in fleet.ledger.runs
        if run.attempt not in known
    ]
    for each in requests:
        runs = runs_by_attempt[each.attempt]
        violations += [
            f"{_describe(each)}: {text}"
            for text in (*_check_response(each, runs), *_check_runs(each, runs, fleet))
        ]
        overdue = _check_timeout(each)
        if overdue:
            violations.append(overdue)
    violations += _check_versions(requests, runs_by_attempt)
    violations += _check_usage(fleet.ledger.runs)
    violations += _check_retry_budget(fleet, requests)
    violations += _check_crashes(fleet, requests)
    violations += _check_limits(fleet, requests)
    violations += _check_cold_servers(fleet, requests)
    violations += _check_cuts(fleet, requests)
    violations += _check_evacuations(fleet, requests)
    violations += find_cut_requests(fleet, requests)
    violations += _check_recovery(fleet, requests, healed_at)
    violations += _check_logs(fleet)
    return violations


def _describe(request: SentRequest) -> str:
    return (
        f"{request.attempt} on {request.route} at {request.sent_at:.2f} "
        f"by {request.instance.name}"
    )


def _check_response(request: SentRequest, runs: list[Run]) -> list[str]:
    """Check that a response is the complete output of a run of the same request."""
    violations = []
    if request.status in NOT_RUN and runs:
        violations.append(f"answered {request.status}, but has run at {runs[0].server}")
    if request.status is None or not 200 <= request.status < 300:
        return violations
    if not request.sealed:
        violations.append(f"answered {request.status} without a seal")
    if request.tokens:
        count = event_count(request.tokens)
        expected = b"".join(
            stream_event(request.attempt, number + 1)
            for number in range(request.resumed_after, count)
        )
        events, end, rest = request.body.rpartition(EVENT_END)
        matches = (
            request.body == expected
            if request.complete
            else expected.startswith(request.body)
            or (expected.startswith(events + end) and is_flood(rest))
        )
        if not matches:
            violations.append(f"got {request.body[:80]!r} ... of {count} events")
    elif request.complete and request.body not in [plain_answer(run) for run in runs]:
        violations.append(f"got {request.body!r}")
    return violations


def _check_runs(request: SentRequest, runs: list[Run], fleet: Fleet) -> list[str]:
    """Check that a request ran unchanged, and no more often than its route allows."""
    violations = []
    if len(runs) > (1 if request.route in ("bookings", "digests") else 2):
        violations.append(f"ran {len(runs)} times")
    for run in runs:
        body = b"" if request.route == "lookups" else request.attempt.encode()
        if (run.target, run.body) != (request.target, body):
            violations.append(f"ran as {run.target} with {run.body!r}")
        if run.account != request.account:
            violations.append(
                f"ran for account {run.account!r}, not {request.account!r}"
            )
        if run.service != SERVICE_BY_ROUTE[request.route]:
            violations.append(f"ran at {run.server} of {run.service}")
        for _, at, key in fleet.revoked:
            if key == request.key and request.sent_at > at + REVOKE_SECONDS:
                violations.append(
                    f"ran {request.sent_at - at:.2f} s after its key was withdrawn"
                )
    return violations


def _check_versions(
    requests: list[SentRequest], runs_by_attempt: dict[str, list[Run]]
) -> list[str]:
    """Check that streams go on only at the software version that began them."""
    violations = []
    for request in requests:
        first_attempt = request.first_attempt or request.attempt
        begun = [
            run for run in runs_by_attempt[first_attempt] if run.resumed_after is None
        ]
        for run in runs_by_attempt[request.attempt]:
            if run.resumed_after is None:
                continue
            if run.software_version != begun[-1].software_version:
                violations.append(
                    f"{_describe(request)}: began at {begun[-1].server} of"
                    f" {begun[-1].software_version} and went on at {run.server} of"
                    f" {run.software_version}"
                )
    return violations


def _check_timeout(request: SentRequest) -> str | None:
    """Check that an undisturbed instance answered within the request's timeout."""
    end = request.ended_at or request.sent_at + 2 * request.timeout
    overdue = end - request.sent_at - request.timeout
    if request.disconnected or overdue <= MAX_OVERDUE_SECONDS:
        return None
    if any(
        request.sent_at - SETTLE_SECONDS < at < end
        for at in request.instance.disturbed_at
    ):
        return None
    return f"{_describe(request)} was held {overdue:.2f} s too long"


def _check_usage(runs: list[Run]) -> list[str]:
    """Check the quota of the account ``hot`` in every window.

    It is one on requests: one that is sent again, or resumed at another server within
    its response, counts once.
    """
    first_runs: dict[str, Run] = {}
    for run in runs:
        first_runs.setdefault(run.attempt, run)
    used = [
        (run.at, run.tokens or 200)
        for run in first_runs.values()
        if run.account == "hot"
    ]
    bound = (HOT_RATE * USAGE_WINDOW_SECONDS + HOT_BURST) * (1 + USAGE_OVERRUN_FRACTION)
    first, total = 0, 0
    for at, units in used:
        total += units
        while used[first][0] < at - USAGE_WINDOW_SECONDS:
            total -= used[first][1]
            first += 1
        if total > bound + USAGE_SLACK:
            return [f"account hot used {total} units in the window up to {at:.2f}"]
    return []


def _check_retry_budget(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Check the number of retries to each service in every window."""
    calls = [(each.sent_at, SERVICE_BY_ROUTE[each.route]) for each in requests]
    arrivals: Counter[str] = Counter()
    retries: dict[str, list[float]] = defaultdict(list)
    allowance = {each.attempt: 1 + (each.tokens > 0) for each in requests}
    for at, service, attempt in fleet.ledger.arrivals:
        arrivals[attempt] += 1
        if arrivals[attempt] > allowance.get(attempt, 1):
            retries[service].append(at)
    for service, times in retries.items():
        for end in times:
            begin = end - RETRY_BUDGET_WINDOW_SECONDS
            retry_count = sum(begin <= at <= end for at in times)
            # A call may be retried until its timeout, at most 5 s after it was sent.
            call_count = sum(
                begin - 5 <= at <= end and name == service for at, name in calls
            )
            if retry_count > RETRY_BUDGET_RATIO * call_count + RETRY_BUDGET_SLACK:
                return [f"{retry_count} repeated sendings to {service} up to {end:.2f}"]
    return []


def _check_crashes(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Check that requests that crash servers are kept from them after some crashes."""
    violations = []
    for culprit, limit in CRASHES_BY_CULPRIT.items():
        crashes = [at for at, each in fleet.ledger.crashes if each == culprit]
        if len(crashes) < limit:
            continue
        settled_at = crashes[limit - 1] + SETTLE_SECONDS
        sent_by_attempt = {
            each.attempt: each for each in requests if each.culprit == culprit
        }
        late = [
            at
            for at, _, attempt in fleet.ledger.arrivals
            if at > settled_at
            and attempt in sent_by_attempt
            and not _disturbed(sent_by_attempt[attempt], at)
        ]
        if len(late) > MAX_SENT_AFTER_CRASHES:
            violations.append(
                f"{len(late)} requests with {culprit} reached servers after"
                f" {settled_at:.2f}, first at {late[0]:.2f}; {len(crashes)} crashes"
            )
    return violations


def _check_limits(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Check that servers get no more than they take while they name a limit."""
    violations = []
    sent_by_attempt = {each.attempt: each for each in requests}
    for limit in fleet.ledger.limits:
        times = [
            at
            for at, attempt in fleet.ledger.arrivals_by_server[limit.server]
            if limit.begin + SETTLE_SECONDS <= at <= limit.end
            and not (
                attempt in sent_by_attempt and _disturbed(sent_by_attempt[attempt], at)
            )
        ]
        allowed = LIMIT_OVERRUN * limit.rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        most = max(
            (
                sum(begin <= at < begin + LIMIT_WINDOW_SECONDS for at in times)
                for begin in times
            ),
            default=0,
        )
        if most > allowed:
            violations.append(
                f"{limit.server} named a limit of {limit.rate:g} a second at"
                f" {limit.begin:.2f} and got {most} requests in"
                f" {LIMIT_WINDOW_SECONDS:g} s; {allowed:g} allowed"
            )
    return violations


def _check_cold_servers(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Check that cold servers get no more in any second than they may."""
    violations = []
    sent_by_attempt = {each.attempt: each for each in requests}
    allowed = COLD_OVERRUN * COLD_PER_SECOND + COLD_SLACK
    for cold in fleet.ledger.cold_times:
        # No instance sends to a server that starts before it knows of it.
        begins = cold.begin + (0.0 if cold.at_start else SETTLE_SECONDS)
        times = [
            at
            for at, attempt in fleet.ledger.arrivals_by_server[cold.server]
            if begins <= at <= cold.end
            and not (
                attempt in sent_by_attempt and _disturbed(sent_by_attempt[attempt], at)
            )
        ]
        most = max(
            (sum(begin <= at < begin + 1.0 for at in times) for begin in times),
            default=0,
        )
        if most > allowed:
            violations.append(
                f"{cold.server} was cold from {cold.begin:.2f} to {cold.end:.2f} and"
                f" got {most} requests in a second; {allowed:g} allowed"
            )
    return violations


def _check_cuts(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Check that instances that are cut from all servers serve like the others."""
    violations = []
    valid = {fleet.keys_by_account[name] for name in ("club", "league")}
    for cut in fleet.cuts:
        served_by_side: dict[bool, list[bool]] = {True: [], False: []}
        for each in requests:
            if (
                cut.begin + SETTLE_SECONDS <= each.sent_at <= cut.end
                and each.key in valid
                and not each.disconnected
                and not each.culprit
                and not _disturbed(each, each.ended_at or each.sent_at)
            ):
                served = each.complete and each.status == 200
                served_by_side[each.instance in cut.instances].append(served)
        inside, outside = served_by_side[True], served_by_side[False]
        failed = inside.count(False)
        if not inside or not outside or not outside.count(True):
            continue
        if failed <= CUT_SLACK + CUT_SLACK_FRACTION * len(inside + outside):
            continue
        rate = inside.count(True) / len(inside)
        if rate < CUT_SERVED_FRACTION * outside.count(True) / len(outside):
            violations.append(
                f"cut instances served {inside.count(True)} of {len(inside)} from"
                f" {cut.begin:.2f} on ({cut.mode.value}), the others"
                f" {outside.count(True)} of {len(outside)}"
            )
    return violations


def _check_evacuations(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Check that no request reaches a zone out of use, and that others serve."""
    violations = []
    ledger = fleet.ledger
    sent_by_attempt = {each.attempt: each for each in requests}
    for evacuation in ledger.evacuations:
        settled_at = evacuation.begin + EVACUATE_SECONDS
        for server, zone in ledger.zone_by_server.items():
            if zone != evacuation.zone:
                continue
            reached = ledger.arrivals_by_server[server]
            fetched = ledger.fetches_by_server[server]
            violations += [
                f"{_describe(sent_by_attempt[attempt])}: reached {server} at {at:.2f},"
                f" {at - evacuation.begin:.2f} s after {zone} was taken out of use"
                for at, attempt in (*reached, *fetched)
                if settled_at < at < evacuation.end
                and attempt in sent_by_attempt
                and not _without_store(fleet, sent_by_attempt[attempt], at)
            ]
        violations += _check_served(fleet, requests, settled_at, evacuation.end)
    return violations


def _without_store(fleet: Fleet, request: SentRequest, at: float) -> bool:
    """Return whether the instance that sent a request to a server lacked the store.

    An instance that is cut from the servers passes requests on to any other.
    """
    cut = any(
        request.instance in each.instances and each.begin <= at <= each.end + 1.0
        for each in fleet.cuts
    )
    instances = fleet.instances if cut else [request.instance]
    names = {each.name for each in instances}
    return any(
        each.begin <= at
        and each.end > at - CONTACT_SECONDS
        and (not each.instance or each.instance in names)
        for each in fleet.ledger.store_breaks
    ) or any(
        at - CONTACT_SECONDS < disturbed <= at
        for instance in instances
        for disturbed in instance.disturbed_at
    )


def _check_served(
    fleet: Fleet, requests: list[SentRequest], begin: float, end: float
) -> list[str]:
    """Check that plain requests are served in a time without other faults."""
    earliest = begin - EVACUATE_SECONDS - QUIET_SECONDS
    if any(earliest < at < end for at in fleet.ledger.faults):
        return []
    valid = {fleet.keys_by_account[name] for name in ("club", "league")}
    plain = [
        each
        for each in requests
        if begin <= each.sent_at <= end
        and each.route in PLAIN_ROUTES
        and each.key in valid
        and not each.disconnected
        and not each.culprit
    ]
    served = sum(each.complete and each.status == 200 for each in plain)
    if served < MIN_SERVED_FRACTION * len(plain):
        counts = Counter(each.status for each in plain)
        return [
            f"{served} of {len(plain)} plain requests served from {begin:.2f} on, while"
            f" a zone was out of use: {counts}"
        ]
    return []


def _disturbed(request: SentRequest, at: float) -> bool:
    """Return whether a request's instance was disturbed shortly before ``at``."""
    return any(
        at - SETTLE_SECONDS < disturbed <= at
        for disturbed in request.instance.disturbed_at
    )


def _check_recovery(
    fleet: Fleet, requests: list[SentRequest], healed_at: float
) -> list[str]:
    """Check that requests with valid keys are served again after all faults ended."""
    valid = {fleet.keys_by_account[name] for name in ("club", "league")}
    after = [
        each
        for each in requests
        if each.sent_at > healed_at
        and each.key in valid
        and not each.disconnected
        and not each.culprit
    ]
    served = sum(each.complete and each.status in (200, 500) for each in after)
    if served < MIN_SERVED_FRACTION * len(after):
        counts = Counter(each.status for each in after)
        return [f"{served} of {len(after)} served after the faults: {counts}"]
    return []


def _check_logs(fleet: Fleet) -> list[str]:
    """Check the logs of the instances for internal errors."""
    violations = []
    for instance in fleet.instances:
        for line in instance.log.read_text(errors="replace").splitlines():
            event_name = None
            if line.startswith("{"):
                try:
                    event_name = json.loads(line).get("event")
                except json.JSONDecodeError:
                    # A killed process may have left an incomplete line.
                    continue
            if event_name in ERROR_EVENTS or (
                "Unhandled" in line or "Traceback" in line
            ):
                violations.append(f"{instance.name} logged {line[:300]}")
    return violations
