"""The clock interface of the package, and a conversion to durations.

Every clock is an ``IReactorTime``: the reactor in a daemon, a
``twisted.internet.task.Clock`` in tests and models. Points in time are float seconds
of that monotonic clock; durations in settings and interfaces are
``datetime.timedelta``.
"""

from datetime import timedelta

from twisted.internet.interfaces import IReactorTime

Clock = IReactorTime


def nonnegative_timedelta(seconds: float) -> timedelta:
    """Return ``seconds`` as a duration, zero if negative."""
    return timedelta(seconds=max(0.0, seconds))
