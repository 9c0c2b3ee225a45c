"""A bucket of requests for a server, as one of the instances that share it sees it."""

import math

MAX_DEBT_SECONDS = 2.0
"""Time that requests in excess of a limit are made up for, at most."""

SPREAD_SECONDS = 0.15
"""Time until most instances know of a request that another one has sent: its report
passes two contacts, with their shortest intervals."""

MAX_OPENING_FACTOR = 1.25
"""Requests let through while a limit has room, relative to the limit."""

DEMAND_HALF_LIFE_SECONDS = 0.7
"""Half-life of the demand for a limited server, which averages it over a second."""

SETTLE_SECONDS = 0.5
"""Time after a limit became known in which the demand at others is not known yet."""

LAG_SECONDS = 0.2
"""Average age of the reported demand, which is reported less often than requests."""

SILENCE_SECONDS = 0.3
"""Time without reports after which the demand at others is unknown. While calls run,
each instance gets reports more often."""


class Demand:
    """How often something is asked for, averaged over about a second."""

    __slots__ = ("_at", "_sum")

    def __init__(self, now: float) -> None:
        self._sum = 0.0
        self._at = now

    def add(self, asks: int, now: float) -> None:
        """Add to the sum, in which each ask counts less as it ages."""
        self._sum *= 0.5 ** ((now - self._at) / DEMAND_HALF_LIFE_SECONDS)
        self._sum += asks
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the average number of asks a second."""
        self.add(0, now)
        return self._sum * math.log(2) / DEMAND_HALF_LIFE_SECONDS


class RequestBucket:
    """Requests that may be sent to a server, as far as this instance knows.

    Times are in seconds of the caller's clock, and rates in requests a second.

    Parameters
    ----------
    level : float
        Requests to begin with.

    Examples
    --------
    >>> bucket = RequestBucket(now=0.0, level=0.0)
    >>> bucket.fill(0.25, rate=4.0, burst=2.0), bucket.fill(9.0, rate=4.0, burst=2.0)
    (1.0, 2.0)
    >>> bucket.take(3, rate=4.0)
    >>> bucket.fill(9.5, rate=4.0, burst=2.0)
    1.0
    """

    __slots__ = (
        "_demand",
        "_filled_at",
        "_heard_at",
        "_known_since",
        "_own_demand",
        "asked_at",
        "level",
    )

    def __init__(self, now: float, level: float) -> None:
        self.level = level
        self.asked_at = float("-inf")
        self._filled_at = self._known_since = self._heard_at = now
        self._demand = Demand(now)
        self._own_demand = Demand(now)

    def fill(
        self, now: float, *, rate: float, burst: float, lapsing: bool = False
    ) -> float:
        """Fill the bucket at ``rate`` and return the requests in it.

        At most ``burst`` are saved up, or 1 if that is more. In a ``lapsing`` bucket
        a request is lost instead when the next would be saved up in excess of
        ``burst``. This is for instances that each have a small part of a limit: if
        all of them saved a request, they could send all of these at once.

        >>> bucket = RequestBucket(now=0.0, level=0.0)
        >>> bucket.fill(1.25, rate=1.0, burst=0.5, lapsing=True)
        1.25
        >>> bucket.fill(1.75, rate=1.0, burst=0.5, lapsing=True)
        0.75
        """
        self.level += rate * (now - self._filled_at)
        self._filled_at = now
        if lapsing and burst < 1.0:
            self.level -= max(0, math.ceil(self.level - (1.0 + burst) - 1e-9))
        else:
            self.level = min(self.level, max(1.0, burst))
        return self.level

    def empty(self, level: float) -> None:
        """Take out what exceeds ``level``."""
        self.level = min(self.level, level)

    def take(self, sends: int, rate: float) -> None:
        """Take requests that were sent; more than are left is made up for later."""
        self.level = max(self.level - sends, -1.0 - MAX_DEBT_SECONDS * rate)

    def add_own_ask(self, now: float) -> None:
        """Count that this instance asks to send a request."""
        self._demand.add(1, now)
        self._own_demand.add(1, now)

    def add_reported_asks(self, asks: int, now: float) -> None:
        """Count how often others asked, according to a report."""
        self._demand.add(asks, now)

    def record_report(self, now: float) -> None:
        """Record that a report was received, whether it counts requests or not."""
        self._heard_at = now

    def silent(self, now: float) -> bool:
        """Return whether no report was received for so long that some were lost."""
        return now - self._heard_at > SILENCE_SECONDS

    def demand(self, now: float) -> float:
        """Return how often the instances are known to ask, a second."""
        return self._demand.per_second(now)

    def chance(self, rate: float, instances: int, now: float) -> float:
        """Return the probability with which a request is let through.

        The instances together then send about ``MAX_OPENING_FACTOR`` times ``rate``.
        Until the demand at others is known, it is taken to be like this one's: when a
        server is seen as cold by all instances at once, or all reports are cut off,
        each would take itself to be the only one that asks.
        """
        demand = self._demand.per_second(now)
        age = now - self._known_since
        settling = age < SETTLE_SECONDS
        if not settling:
            # The average is over a time of which a part is before the limit.
            demand /= 1.0 - 0.5 ** ((age - LAG_SECONDS) / DEMAND_HALF_LIFE_SECONDS)
        if settling or self.silent(now):
            demand = max(demand, instances * self._own_demand.per_second(now))
        return opening_chance(rate, demand)


def opening_chance(rate: float, demand: float) -> float:
    """Return the fraction of asks to let through, for a limit and a known demand.

    >>> opening_chance(40.0, 50.0), opening_chance(40.0, 100.0)
    (1.0, 0.5)
    """
    wanted = max(1.0 / SPREAD_SECONDS, MAX_OPENING_FACTOR * rate)
    return 1.0 if demand <= wanted else wanted / demand
