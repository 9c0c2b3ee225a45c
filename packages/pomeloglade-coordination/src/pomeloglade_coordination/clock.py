"""The clock interface that every part takes, and conversions to it.

All parts take an ``IReactorTime``: the reactor in a daemon, a
``twisted.internet.task.Clock`` in tests and models. Instants are float seconds
of that monotonic clock; durations in settings and interfaces are
``datetime.timedelta``.
"""

from datetime import timedelta

from twisted.internet.interfaces import IReactorTime

Clock = IReactorTime


def delay(seconds: float) -> timedelta:
    """Return ``seconds`` as a duration that is never negative."""
    return timedelta(seconds=max(0.0, seconds))
