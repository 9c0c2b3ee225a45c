"""What the reports of one scope have had of a list that grows, and what is left."""

from dataclasses import dataclass

REPEAT_SECONDS = 0.5
"""Interval in which all recent items are due again, as datagrams may be lost."""


@dataclass(slots=True)
class ReportProgress:
    """Which items are due for the next report of a scope.

    An item has a serial number, which grows. Each item is due once, and each half
    second all recent ones are due again; ``left`` is how many more may be reported
    until then.

    >>> progress = ReportProgress()
    >>> progress.begin(now=10.0, last_serial=3, limit=100)
    0
    >>> progress.begin(now=10.1, last_serial=5, limit=100)
    3
    >>> progress.begin(now=10.5, last_serial=5, limit=100)
    0
    """

    left: int = 0
    _all_due_at: float = float("-inf")
    _reported_serial: int = 0

    def begin(self, *, now: float, last_serial: int, limit: int) -> int:
        """Return the serial number after which items are due for a report now."""
        after, self._reported_serial = self._reported_serial, last_serial
        if now - self._all_due_at >= REPEAT_SECONDS:
            self._all_due_at = now
            self.left = limit
            return 0
        return after
