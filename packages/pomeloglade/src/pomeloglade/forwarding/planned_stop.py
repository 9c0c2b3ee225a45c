"""The planned stop of an instance: its open calls are finished or answered."""

from collections.abc import Sequence

from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from ..transport.http_site import HttpSite
from .forwarder import Forwarder
from .listeners import Listeners

READINESS_PROPAGATION_SECONDS = 2.5
"""Time until the load balancer sends no new connections to an instance that is not
ready: two readiness probes, one second apart, and their transit."""

EXIT_MARGIN_SECONDS = 0.7
"""Time at the end of the shutdown grace period left for answering the calls that are
still open, and for closing connections."""

FLUSH_SECONDS = 0.25
"""The part of ``EXIT_MARGIN_SECONDS`` in which the last answers are sent."""

POLL_SECONDS = 0.05


class PlannedStop:
    """Takes calls until the load balancer has noticed the stop, and finishes them.

    Calls that are still open when the time is up are answered with an error: their
    callers learn at once which of them have not run.

    Parameters
    ----------
    sites : sequence of HttpSite
        Those whose connections carry calls.
    grace : float
        Seconds from the request to stop until the process is killed.
    """

    def __init__(
        self,
        clock: IReactorTime,
        *,
        forwarder: Forwarder,
        listeners: Listeners,
        sites: Sequence[HttpSite],
        grace: float,
    ) -> None:
        self._clock = clock
        self._forwarder = forwarder
        self._listeners = listeners
        self._sites = sites
        self._grace = grace

    async def run(self) -> None:
        """Return once all calls are answered and all connections are closed."""
        started = self._clock.seconds()
        until = started + self._grace - EXIT_MARGIN_SECONDS
        self._forwarder.begin_drain(
            last_long_call_at=started + READINESS_PROPAGATION_SECONDS, stops_at=until
        )
        await deferLater(self._clock, READINESS_PROPAGATION_SECONDS)
        await self._listeners.close()
        if not await self._finished(until):
            self._forwarder.end_open_calls()
            await self._finished(self._clock.seconds() + FLUSH_SECONDS)

    async def _finished(self, until: float) -> bool:
        """Wait for the open calls and connections; return whether none is left."""
        while self._clock.seconds() < until:
            for site in self._sites:
                site.close_idle()
            if not self._forwarder.open_calls and not any(
                site.connections for site in self._sites
            ):
                return True
            await deferLater(self._clock, POLL_SECONDS)
        return False
