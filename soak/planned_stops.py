"""Checks that instances cut no request when they are stopped without other faults."""

from pomeloglade_platform_standin.deployment import GRACE_SECONDS

from .callers import SentRequest
from .fleet import Fleet, PlannedStop

CALM_SECONDS = 3.0
"""Time without other faults before a stop, and before a request."""

EXIT_SECONDS = 1.0
"""Time after the grace period up to which requests belong to the stop."""

LAST_SECONDS = 1.0
"""End of the grace period in which an answer that has begun may be broken off."""

MAX_BROKEN_OFF_SENT_SECONDS = 3.0
"""Time after the stop up to which a request may be sent whose answer is broken off."""

TIMEOUT_SLACK_SECONDS = 0.05


def find_cut_requests(fleet: Fleet, requests: list[SentRequest]) -> list[str]:
    """Return a line for each request that a planned stop has cut.

    Counted are requests that arrived at a server and have no complete answer, though
    their caller stayed and their time was not up.
    """
    arrived = {attempt for _, _, attempt in fleet.ledger.arrivals}
    violations = []
    for stop in fleet.planned_stops:
        if not _calm(fleet, stop):
            continue
        violations += [
            f"{each.attempt} on {each.route}, sent {each.sent_at - stop.at:.2f} s after"
            f" the SIGTERM of {stop.instance.name}, was cut"
            f" {each.ended_at - stop.at:.2f} s after it"
            for each in requests
            if _belongs_to(stop, each)
            and each.attempt in arrived
            and _was_cut(each)
            and not _may_break_off(stop, each)
        ]
    return violations


def _calm(fleet: Fleet, stop: PlannedStop) -> bool:
    begin, end = stop.at - CALM_SECONDS, stop.at + GRACE_SECONDS + EXIT_SECONDS
    return all(at == stop.at or not begin < at < end for at in fleet.ledger.faults)


def _was_cut(request: SentRequest) -> bool:
    if request.complete or request.disconnected or request.ended_at is None:
        return False
    seconds = request.ended_at - request.sent_at
    return seconds < request.timeout - TIMEOUT_SLACK_SECONDS


def _belongs_to(stop: PlannedStop, request: SentRequest) -> bool:
    end = stop.at + GRACE_SECONDS + EXIT_SECONDS
    return request.instance is stop.instance and stop.at <= request.sent_at <= end


def _may_break_off(stop: PlannedStop, request: SentRequest) -> bool:
    """Return whether an answer that has begun may be cut: its server works on."""
    return (
        request.status is not None
        and request.sent_at <= stop.at + MAX_BROKEN_OFF_SENT_SECONDS
        and request.ended_at >= stop.at + GRACE_SECONDS - LAST_SECONDS
    )
