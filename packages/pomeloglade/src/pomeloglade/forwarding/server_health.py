"""Passive signs of backend servers that fail, are slow, or are silent."""

from twisted.internet.interfaces import IReactorTime

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in a server's failure rate: about five outcomes."""

FAILURE_HALF_LIFE_SECONDS = 4.0
"""Time in which a failure rate halves, so that a server is tried again."""

AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 4.0
"""A server that could not be reached is left alone for a second, doubling up to
this; engines are back some seconds after a crash."""

REJECTION_AVOID_SECONDS = 0.3
MAX_REJECTION_AVOID_SECONDS = 2.0
"""A server that rejects a call has no room or changes its stage; both last longer
than the next call's arrival, and each further rejection costs the budget."""

FAILURE_PENALTY = 8.0


class ServerHealth:
    """Remembers how calls to each backend server ended.

    >>> from twisted.internet.task import Clock
    >>> health = ServerHealth(Clock())
    >>> health.record_unreachable("a")
    >>> health.avoided("a"), health.avoided("b")
    (True, False)
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._rates_by_server: dict[str, tuple[float, float]] = {}
        self._avoid_until_by_server: dict[str, float] = {}
        self._connect_failures_by_server: dict[str, int] = {}
        self._rejections_by_server: dict[str, int] = {}

    def record_success(self, server: str) -> None:
        """Note an answer."""
        self._record_outcome(server, 0.0)
        self._connect_failures_by_server.pop(server, None)
        self._rejections_by_server.pop(server, None)
        self._avoid_until_by_server.pop(server, None)

    def record_failure(self, server: str) -> None:
        """Note an answer that was broken, wrong or too late."""
        self._record_outcome(server, 1.0)

    def record_unreachable(self, server: str) -> None:
        """Note that no connection could be made, or that one broke unanswered."""
        self._record_outcome(server, 1.0)
        misses = self._connect_failures_by_server.get(server, 0) + 1
        self._connect_failures_by_server[server] = misses
        self.avoid(server, min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2 ** (misses - 1)))

    def record_rejection(self, server: str) -> None:
        """Note that a server has not run a call that it should have had room for."""
        rejections = self._rejections_by_server.get(server, 0) + 1
        self._rejections_by_server[server] = rejections
        pause = REJECTION_AVOID_SECONDS * 2 ** (rejections - 1)
        self.avoid(server, min(MAX_REJECTION_AVOID_SECONDS, pause))

    def avoid(self, server: str, seconds: float) -> None:
        """Give a server no calls for some time, if others can be had."""
        until = self._clock.seconds() + seconds
        known = self._avoid_until_by_server.get(server, 0.0)
        self._avoid_until_by_server[server] = max(known, until)

    def avoided_for(self, server: str) -> float:
        """Return the seconds for which a server will get no calls."""
        until = self._avoid_until_by_server.get(server, 0.0)
        return max(0.0, until - self._clock.seconds())

    def avoided(self, server: str) -> bool:
        """Whether a server should get calls only if there is no other."""
        return self.avoided_for(server) > 0

    def failure_rate(self, server: str) -> float:
        """Return the share of recent calls that failed, fading with time."""
        rate, noted_at = self._rates_by_server.get(server, (0.0, 0.0))
        return rate * 0.5 ** (
            (self._clock.seconds() - noted_at) / FAILURE_HALF_LIFE_SECONDS
        )

    def penalty(self, server: str) -> float:
        """Return a factor on a server's load: 1 for one that never fails."""
        return 1.0 + FAILURE_PENALTY * self.failure_rate(server)

    def remove(self, server: str) -> None:
        """Drop what is known of a server that is gone."""
        self._rates_by_server.pop(server, None)
        self._avoid_until_by_server.pop(server, None)
        self._connect_failures_by_server.pop(server, None)
        self._rejections_by_server.pop(server, None)

    def _record_outcome(self, server: str, outcome: float) -> None:
        rate = self.failure_rate(server)
        rate += FAILURE_WEIGHT * (outcome - rate)
        self._rates_by_server[server] = (rate, self._clock.seconds())
