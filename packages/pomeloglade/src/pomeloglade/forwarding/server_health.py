"""Passive health checks of backend servers, by the outcome of their calls."""

from collections.abc import Mapping, Sequence

from twisted.internet.interfaces import IReactorTime

from .tally import Tally, add_tallies

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in a server's failure rate, which thus averages about
five outcomes."""

FAILURE_HALF_LIFE_SECONDS = 4.0
"""Half-life of a failure rate without new outcomes, so that the server is retried."""

AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 4.0
"""An unreachable server is avoided for one second, doubled on each failure up to this
limit; engines are back some seconds after a crash."""

REJECTION_AVOID_SECONDS = 0.3
MAX_REJECTION_AVOID_SECONDS = 2.0
"""A server that rejects a call is full or changes its stage. Either lasts longer than
the time to the next call, and each further rejection uses up the retry budget."""

FAULTY_EXCESS_RATE = 0.25
"""A server is faulty if its failure rate exceeds the others' average by more."""

FAILURE_PENALTY = 8.0

SUSPECT_FAILURES = 3
"""Failures without a success between them, at all instances, after which a server is
suspected."""

SUSPECT_SECONDS = 4.0
"""Time without a further outcome after which it is tried again."""


class ServerHealth:
    """Tracks the outcomes of calls to each backend server.

    Outcomes of the other instances' calls count like the own ones, as each instance of
    a large fleet sends too few calls to notice a failing server. Whether a server is
    avoided depends on the own calls alone.

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
        self._unreported_by_server: dict[str, Tally] = {}
        self._streaks_by_server: dict[str, tuple[int, float]] = {}

    def record_success(self, server: str) -> None:
        """Record an answer, and stop avoiding the server."""
        self._record_outcome(server, 0.0)
        self._connect_failures_by_server.pop(server, None)
        self._rejections_by_server.pop(server, None)
        self._avoid_until_by_server.pop(server, None)

    def record_failure(self, server: str) -> None:
        """Record an answer that was an error, broken or too late."""
        self._record_outcome(server, 1.0)

    def record_unreachable(self, server: str) -> None:
        """Record a failed connection, or one that broke before the answer's end."""
        self._record_outcome(server, 1.0)
        failures = self._connect_failures_by_server.get(server, 0) + 1
        self._connect_failures_by_server[server] = failures
        self.avoid(server, min(MAX_AVOID_SECONDS, AVOID_SECONDS * 2 ** (failures - 1)))

    def record_rejection(self, server: str) -> None:
        """Record that a server rejected a call without running it."""
        rejections = self._rejections_by_server.get(server, 0) + 1
        self._rejections_by_server[server] = rejections
        pause = REJECTION_AVOID_SECONDS * 2 ** (rejections - 1)
        self.avoid(server, min(MAX_REJECTION_AVOID_SECONDS, pause))

    def avoid(self, server: str, seconds: float) -> None:
        """Avoid a server for at least ``seconds`` from now on."""
        until = self._clock.seconds() + seconds
        known = self._avoid_until_by_server.get(server, 0.0)
        self._avoid_until_by_server[server] = max(known, until)

    def avoided_for(self, server: str) -> float:
        """Return the seconds for which a server will still be avoided."""
        until = self._avoid_until_by_server.get(server, 0.0)
        return max(0.0, until - self._clock.seconds())

    def avoided(self, server: str) -> bool:
        """Return whether a server is avoided at present."""
        return self.avoided_for(server) > 0

    def failure_rate(self, server: str) -> float:
        """Return the average rate of recent failures, which decays with time."""
        rate, recorded_at = self._rates_by_server.get(server, (0.0, 0.0))
        return rate * 0.5 ** (
            (self._clock.seconds() - recorded_at) / FAILURE_HALF_LIFE_SECONDS
        )

    def suspected(self, server: str) -> bool:
        """Return whether the last calls to a server have all failed.

        >>> from twisted.internet.task import Clock
        >>> health = ServerHealth(Clock())
        >>> health.apply_outcomes({"a": Tally(3, 3), "b": Tally(3, 4)})
        >>> health.suspected("a"), health.suspected("b")
        (True, False)
        """
        failures, failed_at = self._streaks_by_server.get(server, (0, 0.0))
        age = self._clock.seconds() - failed_at
        return failures >= SUSPECT_FAILURES and age <= SUSPECT_SECONDS

    def fails_more_than(self, server: str, others: Sequence[str]) -> bool:
        """Return whether a server fails clearly more often than ``others`` do."""
        if not others:
            return False
        average = sum(map(self.failure_rate, others)) / len(others)
        return self.failure_rate(server) > average + FAULTY_EXCESS_RATE

    def penalty(self, server: str) -> float:
        """Return the factor on a server's load in comparisons; 1 if it never fails."""
        return 1.0 + FAILURE_PENALTY * self.failure_rate(server)

    def remove(self, server: str) -> None:
        """Drop the records of a server."""
        self._rates_by_server.pop(server, None)
        self._avoid_until_by_server.pop(server, None)
        self._connect_failures_by_server.pop(server, None)
        self._rejections_by_server.pop(server, None)
        self._streaks_by_server.pop(server, None)

    def take_unreported(self) -> dict[str, Tally]:
        """Return this instance's failures among its calls since the last such call.

        A call without an answer is a failure too.
        """
        unreported, self._unreported_by_server = self._unreported_by_server, {}
        return unreported

    def apply_outcomes(self, failures_by_server: Mapping[str, Tally]) -> None:
        """Add the outcomes of calls that other instances have sent.

        Tallies without calls, which no instance sends, are ignored.
        """
        for server, failures in failures_by_server.items():
            if failures.calls > 0:
                self._add(server, failures)

    def _record_outcome(self, server: str, outcome: float) -> None:
        tally = Tally(int(outcome), 1)
        self._add(server, tally)
        add_tallies(self._unreported_by_server, {server: tally})

    def _add(self, server: str, failures: Tally) -> None:
        known, _ = self._streaks_by_server.get(server, (0, 0.0))
        streak = known + failures.events if failures.events == failures.calls else 0
        self._streaks_by_server[server] = (streak, self._clock.seconds())
        mean = failures.events / failures.calls
        kept = (1.0 - FAILURE_WEIGHT) ** failures.calls
        rate = mean + (self.failure_rate(server) - mean) * kept
        self._rates_by_server[server] = (rate, self._clock.seconds())
