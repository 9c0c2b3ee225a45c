"""The requests that a cold server gets, from what the service and platform allow."""

from dataclasses import dataclass

from .named_limits import MIN_RATE

RATE_FRACTION = 0.75
"""Highest rate, relative to what a cold server may get in a second. The rest is for
requests that instances send before they know of each other's."""

BURST_FRACTION = 0.25
"""Requests saved up, relative to what may be sent in a second beyond the rate. A burst
also begins with requests that are not yet known to all, which need most of it."""

MIN_BURST = 3.0
MAX_BURST_FRACTION = 0.4
"""Requests saved up at low rates, and their limit, relative as above. Instances are let
through some time after there is room, in which a bucket of one request overflows."""


@dataclass(frozen=True, slots=True)
class ColdBound:
    """What all instances together may send to a cold server in any second.

    >>> ColdBound(overrun=1.5, slack=5.0).allowed(40.0)
    65.0
    """

    overrun: float = 1.5
    slack: float = 5.0

    def allowed(self, per_second: float) -> float:
        """Return the requests allowed in a second for a rate in requests a second."""
        return self.overrun * per_second + self.slack

    def rate(self, per_second: float) -> float:
        """Return the requests a second to send to such a server.

        >>> ColdBound().rate(40.0), ColdBound(overrun=1.0, slack=0.0).rate(40.0)
        (40.0, 30.0)
        """
        return max(MIN_RATE, min(per_second, RATE_FRACTION * self.allowed(per_second)))

    def burst(self, per_second: float) -> float:
        """Return how many unused requests may be saved up for such a server.

        >>> ColdBound().burst(40.0)
        6.25
        """
        beyond = self.allowed(per_second) - self.rate(per_second)
        beyond = max(0.0, beyond)
        return min(max(MIN_BURST, BURST_FRACTION * beyond), MAX_BURST_FRACTION * beyond)


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """The limit of a cold server, which ends at ``until`` on this instance's clock.

    ``rate`` is in requests a second, ``burst`` the number that may be saved up.
    """

    rate: float
    burst: float
    until: float
