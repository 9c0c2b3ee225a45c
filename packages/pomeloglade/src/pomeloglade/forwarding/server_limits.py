"""Limits on requests that backend servers in need name in their answers."""

from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .event_log import EventLog

MAX_LIMITS = 1_000
"""Limit on the server runs whose limits are kept."""

ServerRun = tuple[str, int]
"""The id of a backend server and the start of its run."""


@dataclass(slots=True)
class _Limit:
    """A server's limit in requests a second, and when an answer named it last."""

    rate: float
    named_at: float


class ServerLimits:
    """The limits in force, by server run."""

    def __init__(self, clock: IReactorTime, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._limits_by_run: dict[ServerRun, _Limit] = {}

    def record_answer(self, run: ServerRun, rate: float | None, sent_at: float) -> None:
        """Record the limit in an answer to a request sent at ``sent_at``, if any.

        A limit ends with the first answer without one to a request that was sent after
        it was named last: answers on different connections may overtake each other.
        """
        now = self._clock.seconds()
        known = self._limits_by_run.get(run)
        if rate is None:
            if known is not None and sent_at > known.named_at:
                del self._limits_by_run[run]
                self._log.event("server_limit_ended", server=run[0])
            return
        if known is None or known.rate != rate:
            self._log.event("server_limit", server=run[0], rate=rate, source="answer")
        if known is None and len(self._limits_by_run) >= MAX_LIMITS:
            del self._limits_by_run[next(iter(self._limits_by_run))]
        self._limits_by_run[run] = _Limit(rate, now)
