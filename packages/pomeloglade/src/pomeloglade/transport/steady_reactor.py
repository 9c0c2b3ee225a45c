"""A reactor whose timers follow a clock that never jumps and counts sleep."""

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return seconds since the machine's start, with the time it slept.

    Twisted's reactors read the time of day, which operators and daemons set.
    """
    return time.clock_gettime(_CLOCK)


class SteadyReactor(EPollReactor):
    """Twisted's reactor on a clock that is not the time of day."""

    def seconds(self) -> float:
        """Return the instant that timers are compared with."""
        return steady_seconds()


def install() -> SteadyReactor:
    """Make this process use a ``SteadyReactor``; call it before other imports."""
    reactor = SteadyReactor()
    installReactor(reactor)
    return reactor
