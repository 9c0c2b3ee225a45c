"""How long callers have waited already, as the time limits of their calls show."""

from collections import deque

MAX_ROUTES = 2_000
"""Limit on the routes that are kept; at it, all are cleared."""

RECENT_LIMITS = 64
SPREADS = (0.001, 0.02)
"""Relative spreads of the time limits of first attempts that are told apart."""

MIN_NEAR = 0.2
"""Fraction of the recent time limits that must be within a spread of the longest one to
show that those of first attempts are. In a burst, most calls are repeated ones."""


class TimeLimits:
    """Recognizes callers that come back on routes whose first attempts have one limit.

    ``CallState.waiting_since`` allows for limits that differ by 16%, which is longer
    than the objective of a plain call: one that came back soon would count as new.

    Examples
    --------
    >>> limits = TimeLimits()
    >>> for limit in (4.12, 4.1, 4.12, 3.9):
    ...     waited = limits.waited("lookups", limit)
    >>> round(waited, 3)
    0.22
    """

    def __init__(self) -> None:
        self._recent_by_route: dict[str, deque[float]] = {}

    def waited(self, route: str, limit: float) -> float:
        """Return the seconds that a caller with this time limit has waited, or 0."""
        recent = self._recent_by_route.get(route)
        if recent is None:
            if len(self._recent_by_route) >= MAX_ROUTES:
                self._recent_by_route.clear()
            recent = self._recent_by_route[route] = deque(maxlen=RECENT_LIMITS)
        recent.append(limit)
        longest = max(recent)
        missing = longest - limit
        for spread in SPREADS:
            near = sum(each >= (1 - spread) * longest for each in recent)
            if near >= MIN_NEAR * len(recent):
                return missing if missing >= 2 * spread * longest else 0.0
        return 0.0
