"""The promises that a soak checks from what callers and backend servers saw."""

import json
from collections import Counter, defaultdict

from pomeloglade_platform_standin.backend import Run, event, events_of, plain_answer
from pomeloglade_platform_standin.deployment import (
    BUDGET_RATIO,
    BUDGET_SLACK,
    BUDGET_WINDOW_SECONDS,
    HOT_BURST,
    HOT_RATE,
    REVOKE_SECONDS,
    USAGE_SLACK,
    USAGE_WINDOW_SECONDS,
)

from .callers import Sent
from .fleet import Fleet

NOT_RUN = frozenset((408, 421, 429, 503))
USAGE_OVERRUN = 0.1
HELD_SECONDS = 0.6
"""How long after its limit a request may end: the platform's half second, and what a
busy machine with all these processes adds."""

CALM_SECONDS = 3.0
"""Time without a disturbance after which the platform's bounds hold again."""

SERVED_PART = 0.9
"""Part of the requests with valid keys that must be served once the faults are over."""

SERVICE_BY_ROUTE = {
    "lookups": "api",
    "bookings": "api",
    "digests": "llm",
    "reports": "llm",
}


def broken_promises(fleet: Fleet, sent: list[Sent], healed_at: float) -> list[str]:
    """Return a line for each promise that was broken."""
    runs_by_attempt: dict[str, list[Run]] = defaultdict(list)
    for run in fleet.ledger.runs:
        runs_by_attempt[run.attempt].append(run)
    broken = [*fleet.broken, *fleet.ledger.mixed_up]
    known = {each.attempt for each in sent}
    broken += [
        f"{run} was asked by nobody"
        for run in fleet.ledger.runs
        if run.attempt not in known
    ]
    for each in sent:
        runs = runs_by_attempt[each.attempt]
        broken += [
            f"{_name(each)}: {text}"
            for text in (*_answer(each, runs), *_runs(each, runs, fleet))
        ]
        held = _held(each)
        if held:
            broken.append(held)
    broken += _usage(fleet.ledger.runs)
    broken += _budget(fleet, sent)
    broken += _recovery(fleet, sent, healed_at)
    broken += _errors(fleet)
    return broken


def _name(sent: Sent) -> str:
    return f"{sent.attempt} on {sent.route} at {sent.at:.2f} by {sent.instance.name}"


def _answer(sent: Sent, runs: list[Run]) -> list[str]:
    """Check that an answer is the whole answer of a run of this very request."""
    found = []
    if sent.status in NOT_RUN and runs:
        found.append(f"answered {sent.status}, but has run at {runs[0].server}")
    if sent.status is None or not 200 <= sent.status < 300:
        return found
    if not sent.sealed:
        found.append(f"answered {sent.status} without a seal")
    if sent.tokens:
        count = events_of(sent.tokens)
        whole = b"".join(event(sent.attempt, number + 1) for number in range(count))
        good = sent.body == whole if sent.complete else whole.startswith(sent.body)
        if not good:
            found.append(f"got {sent.body[:80]!r} ... of {count} events")
    elif sent.complete and sent.body not in [plain_answer(run) for run in runs]:
        found.append(f"got {sent.body!r}")
    return found


def _runs(sent: Sent, runs: list[Run], fleet: Fleet) -> list[str]:
    """Check that a request ran as it was sent, and no more often than it may."""
    found = []
    if len(runs) > (1 if sent.route in ("bookings", "digests") else 2):
        found.append(f"ran {len(runs)} times")
    for run in runs:
        body = b"" if sent.route == "lookups" else sent.attempt.encode()
        if (run.target, run.body) != (sent.target, body):
            found.append(f"ran as {run.target} with {run.body!r}")
        if run.account != sent.account:
            found.append(f"ran for account {run.account!r}, not {sent.account!r}")
        if run.service != SERVICE_BY_ROUTE[sent.route]:
            found.append(f"ran at {run.server} of {run.service}")
        for _, at, key in fleet.revoked:
            if key == sent.key and sent.at > at + REVOKE_SECONDS:
                found.append(f"ran {sent.at - at:.2f} s after its key was withdrawn")
    return found


def _held(sent: Sent) -> str | None:
    """Check that an undisturbed instance has answered by the request's limit."""
    end = sent.ended_at or sent.at + 2 * sent.limit
    late = end - sent.at - sent.limit
    if sent.left or late <= HELD_SECONDS:
        return None
    if any(sent.at - CALM_SECONDS < at < end for at in sent.instance.disturbed_at):
        return None
    return f"{_name(sent)} was held {late:.2f} s too long"


def _usage(runs: list[Run]) -> list[str]:
    """Check the limit of the hot account in every window."""
    used = [(run.at, run.tokens or 200) for run in runs if run.account == "hot"]
    bound = (HOT_RATE * USAGE_WINDOW_SECONDS + HOT_BURST) * (1 + USAGE_OVERRUN)
    first, total = 0, 0
    for at, units in used:
        total += units
        while used[first][0] < at - USAGE_WINDOW_SECONDS:
            total -= used[first][1]
            first += 1
        if total > bound + USAGE_SLACK:
            return [f"account hot used {total} units in the window up to {at:.2f}"]
    return []


def _budget(fleet: Fleet, sent: list[Sent]) -> list[str]:
    """Check the repeated sendings to each service in every window."""
    asked = [(each.at, SERVICE_BY_ROUTE[each.route]) for each in sent]
    seen: Counter[str] = Counter()
    repeats: dict[str, list[float]] = defaultdict(list)
    allowance = {each.attempt: 1 + (each.tokens > 0) for each in sent}
    for at, service, attempt in fleet.ledger.arrivals:
        seen[attempt] += 1
        if seen[attempt] > allowance.get(attempt, 1):
            repeats[service].append(at)
    for service, instants in repeats.items():
        for end in instants:
            begin = end - BUDGET_WINDOW_SECONDS
            many = sum(begin <= at <= end for at in instants)
            calls = sum(
                begin - 5 <= at <= end and name == service for at, name in asked
            )
            if many > BUDGET_RATIO * calls + BUDGET_SLACK:
                return [f"{many} repeated sendings to {service} up to {end:.2f}"]
    return []


def _recovery(fleet: Fleet, sent: list[Sent], healed_at: float) -> list[str]:
    """Check that valid keys are served again after all faults ended."""
    valid = {fleet.keys_by_account[name] for name in ("club", "league")}
    after = [
        each
        for each in sent
        if each.at > healed_at and each.key in valid and not each.left
    ]
    served = sum(each.complete and each.status in (200, 500) for each in after)
    if served < SERVED_PART * len(after):
        counts = Counter(each.status for each in after)
        return [f"{served} of {len(after)} served after the faults: {counts}"]
    return []


def _errors(fleet: Fleet) -> list[str]:
    """Report errors of the programs' own that their logs tell."""
    found = []
    for instance in fleet.instances:
        for line in instance.log.read_text(errors="replace").splitlines():
            event_name = None
            if line.startswith("{"):
                try:
                    event_name = json.loads(line).get("event")
                except json.JSONDecodeError:
                    # A process that was killed may have left half a line.
                    continue
            if event_name in ("internal_error", "task_failed") or (
                "Unhandled" in line or "Traceback" in line
            ):
                found.append(f"{instance.name} logged {line[:300]}")
    return found
