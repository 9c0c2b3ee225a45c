"""Sums over the reports of several instances, for the report of a contact."""

from collections.abc import Iterable

from .instance_reports import Report, ReportKind
from .loads import ServerCalls
from .remote_queues import QueueSummary
from .report_scope import ReportScope


def work_from(calls_by_server: dict[str, ServerCalls]) -> dict[str, tuple[int, int]]:
    """Return calls by backend server as a report contains them."""
    return {
        server: (calls.calls, calls.tokens) for server, calls in calls_by_server.items()
    }


def queues_of(
    queues: dict[str, dict[str, QueueSummary]], names: Iterable[str]
) -> list[dict[str, QueueSummary]]:
    """Return the queues of some instances, which need not be known."""
    return [queues[name] for name in names if name in queues]


def changing_in(reports: Iterable[Report]) -> set[str]:
    """Return the engines that the reports tell to be changing their stage."""
    return {server for report in reports for server in report.changing}


def scope_of(kind: int) -> ReportScope:
    """Return whose news a report of a kind has for its receiver."""
    return ReportScope.GROUP if kind == ReportKind.MEMBER else ReportScope.FLEET
