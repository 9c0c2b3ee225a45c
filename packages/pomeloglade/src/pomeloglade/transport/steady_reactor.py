"""A reactor on a monotonic clock that includes the time spent suspended."""

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return the seconds since boot, including the time spent suspended.

    Twisted's reactors use the wall clock, which operators and daemons may set.
    """
    return time.clock_gettime(_CLOCK)


class SteadyReactor(EPollReactor):
    """Epoll reactor whose timers are independent of the wall clock."""

    def seconds(self) -> float:
        """Return the current time of the timers."""
        return steady_seconds()


def install() -> SteadyReactor:
    """Install a ``SteadyReactor``; call before any import of Twisted's reactor."""
    reactor = SteadyReactor()
    installReactor(reactor)
    return reactor
