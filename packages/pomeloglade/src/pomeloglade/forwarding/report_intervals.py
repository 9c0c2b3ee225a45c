"""Intervals of the reports between instances, and when one counts as silent."""

from .instance_groups import MAX_DIRECT_INSTANCES
from .instance_reports import ReportKind
from .report_scope import ReportScope

REPORT_DELAY_SECONDS = 0.002
"""Delay of a report after a change, so that several changes share one report."""

MIN_INTERVAL_SECONDS_BY_KIND = {
    ReportKind.MEMBER: 0.01,
    ReportKind.GROUP: 0.04,
    ReportKind.DIGEST: 0.08,
}
"""Shortest intervals of reports in groups of more than one instance. In groups of one
there is nothing to merge."""

BUSY_INTERVAL_SECONDS = 0.25
"""Interval of reports while there are running calls, so that a lost report is replaced
soon."""

ORIGINS_BY_KIND = {
    ReportKind.MEMBER: (2.0, ReportScope.OWN),
    ReportKind.GROUP: (2.0, ReportScope.GROUP),
    ReportKind.DIGEST: (0.75, ReportScope.FLEET),
}
"""For how many seconds each kind of report repeats the origin of a stream, and whose.
Datagrams may be lost, and a contact that dies is replaced within 1.5 s. Digests are
many and come from one contact, whose successor has the origins from the reports."""

RETURN_SECONDS = 0.75
"""Silence after which an instance may have missed origins, and the time for which it is
then sent all of them."""

STARTED_SECONDS = 6.0
"""Age up to which an instance is told what was used before it heard of the others. It
reads the store first, which may take seconds on a slow machine."""

IDLE_INTERVAL_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 0.1

CONTACT_SILENCE_SECONDS = 0.7
"""Silence after which a contact is replaced. It is longer than the interval of idle
reports."""

MEMBER_SILENCE_SECONDS = 1.2
"""Silence after which a member's calls are no longer counted by its contact."""

TAKEOVER_STEP_SECONDS = 0.15
"""Time that each candidate waits longer than the one before it, whose digest it would
receive within that time."""

MAX_TAKEOVER_STEPS = 5
TAKEOVER_PAUSE_SECONDS = 0.3
"""Time in which a new contact gets its members' reports, before it reports their sum in
place of the former contact's."""

CANDIDATES_PER_GROUP = 2
"""Candidates of a group that get reports while its contact is not known."""


def propagation_seconds(instances: int) -> float:
    """Return how long it takes until all instances know of a change, without losses.

    >>> propagation_seconds(8) < propagation_seconds(100)
    True
    """
    if instances <= MAX_DIRECT_INSTANCES:
        return REPORT_DELAY_SECONDS
    return sum(MIN_INTERVAL_SECONDS_BY_KIND.values())
