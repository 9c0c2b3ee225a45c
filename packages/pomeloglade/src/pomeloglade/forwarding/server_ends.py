"""Which lost connections are ends of servers, and which show a cut of the network."""

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IReactorTime

from .backends import Backends, BackendServer
from .crash_quarantine import CrashQuarantine, ServerRun
from .event_log import EventLog
from .fleet_news import FleetNews, NewsTopic
from .server_reach import ServerReach

CUT_SECONDS = 3.0
"""Time before a cut is recognized in which lost connections belong to it. It takes
several servers, some calls and a probe until a service is found to be out of reach."""

CUT_SERVICES = 2
"""Services that must be out of reach for a cut. A request that ends all servers of its
service leaves the others in reach."""

BURST_SECONDS = 0.1
BURST_RUNS = 3
"""Servers whose connections are lost within this time by a cut or an outage. A call
that is sent again ends one server after the other, and is in the calls of each."""

PENDING_SECONDS = 10.0
"""Time for which losses of a supposed cut count again if their servers have ended.
Registrations of ended servers lapse sooner."""

MAX_LOSSES = 1_000
"""Limit on the losses that are kept. More within 3 s come from a cut only."""

TOPIC = NewsTopic("server_ends", max_age=3.0, max_rows=500, max_reported=50)
"""What is known of runs of servers that may not have ended."""


class Finding(enum.IntEnum):
    """What an instance tells the others about a server's supposed end."""

    WITHDRAWN = 0
    """It had counted lost connections as the end, and has found that it is cut off."""

    ANSWERED = 1
    """The run has answered after its supposed end."""

    CONFIRMED = 2
    """An instance with a way to the servers has seen the end itself."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """A call that was lost with its connection to a server."""

    at: float
    server: BackendServer
    keys: tuple[int, ...]
    last_part: int | None

    @property
    def run(self) -> ServerRun:
        return self.server.run


class ServerEnds:
    """Passes lost connections on to the quarantine as ends, unless they show a cut.

    A server that ends loses all its connections, and so does one that an instance is
    cut from. Many servers at once, or servers of several services without one that can
    be reached, are a cut or an outage: those losses are no evidence against the
    requests that were lost, and what other instances were told about them is withdrawn.
    If servers of several services were out of reach because they have ended, which
    shows when they are removed or replaced, their losses count then.
    An instance with a way to the servers keeps what it has seen itself, and confirms it
    to the others.

    Attributes
    ----------
    on_loss : callable
        Called with the server of each loss that counts as its end.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> log = EventLog(clock, 2)
    >>> quarantine = CrashQuarantine(clock, log)
    >>> backends = Backends(clock, lambda _: None)
    >>> reach = ServerReach(clock, backends, log)
    >>> ends = ServerEnds(clock, quarantine, reach, log, backends)
    >>> for number, name in enumerate(("a", "b")):
    ...     server = BackendServer(name, "llm", "", "zone-a", 1)
    ...     ends.record_loss((number, 17), server)
    >>> quarantine.count_ends(17)
    2
    >>> ends.record_loss((2, 17), BackendServer("c", "llm", "", "zone-a", 1))
    >>> quarantine.count_ends(17)
    0
    """

    def __init__(
        self,
        clock: IReactorTime,
        quarantine: CrashQuarantine,
        reach: ServerReach,
        log: EventLog,
        backends: Backends,
    ) -> None:
        self._clock = clock
        self._backends = backends
        self._quarantine = quarantine
        self._reach = reach
        self._log = log
        self._losses: list[_Loss] = []
        self._pending: list[_Loss] = []
        self._news: FleetNews | None = None
        self._on_news: Callable[[], None] = lambda: None
        self.on_loss: Callable[[BackendServer], None] = lambda server: None
        quarantine.on_not_ended = lambda run: self._tell(run, Finding.ANSWERED)

    def share(self, news: FleetNews, on_news: Callable[[], None]) -> None:
        """Exchange with other instances which servers have not ended."""
        self._news = news
        self._on_news = on_news
        news.add_topic(TOPIC, self._apply)

    def record_loss(
        self, keys: Sequence[int], server: BackendServer, last_part: int | None = None
    ) -> None:
        """Record that a call was lost with its connection; its request's key is first.

        The loss counts as the server's end, unless it shows a cut. ``last_part`` is
        the key of the last part of its prompt.
        """
        now = self._clock.seconds()
        loss = _Loss(now, server, tuple(keys), last_part)
        if self._cut_off() and self._reach.out_of_reach(server.service):
            self._suspend([loss])
            return
        recent = [each for each in self._losses if now - each.at <= CUT_SECONDS]
        self._losses = [*recent[-MAX_LOSSES + 1 :], loss]
        self.on_loss(server)
        self._quarantine.record_crash(keys, server.run, last_part)
        burst = [each for each in self._losses if now - each.at <= BURST_SECONDS]
        if is_burst(burst):
            self._withdraw(burst, "burst")

    def review(self) -> None:
        """Withdraw what was lost shortly before this instance found that it is cut."""
        if not self._cut_off():
            return
        oldest = self._clock.seconds() - CUT_SECONDS
        out_of_reach = self._reach.services_out_of_reach()
        lost = [
            each
            for each in self._losses
            if each.at >= oldest and each.server.service in out_of_reach
        ]
        if lost:
            self._withdraw(lost, "out_of_reach")
            self._suspend(lost)

    def confirm_ended(self) -> None:
        """Count losses of a supposed cut whose servers have turned out to have ended.

        This must be called when the registered servers have changed, before calls are
        placed at new ones.
        """
        ended = [each for each in self._pending if self._has_ended(each.server)]
        if not ended:
            return
        self._pending = [each for each in self._pending if each not in ended]
        for each in ended:
            self._quarantine.believe(each.run)
            self._quarantine.record_crash(each.keys, each.run, each.last_part)
            self._tell(each.run, Finding.CONFIRMED)
        self._on_news()

    def _suspend(self, losses: list[_Loss]) -> None:
        oldest = self._clock.seconds() - PENDING_SECONDS
        recent = [each for each in self._pending if each.at >= oldest]
        self._pending = [*recent, *losses][-MAX_LOSSES:]

    def _has_ended(self, server: BackendServer) -> bool:
        """Return whether a run was removed, or another has its address now."""
        return self._backends.removed_recently(server) or any(
            each.address == server.address and each.run != server.run
            for each in self._backends.registered(server.service)
        )

    def _cut_off(self) -> bool:
        return len(self._reach.services_out_of_reach()) >= CUT_SERVICES

    def _withdraw(self, losses: list[_Loss], reason: str) -> None:
        runs = sorted({each.run for each in losses})
        self._losses = [each for each in self._losses if each not in losses]
        for run in runs:
            self._quarantine.withdraw(run)
            self._tell(run, Finding.WITHDRAWN)
        servers = [server for server, _ in runs]
        self._log.event("server_ends_withdrawn", servers=servers, reason=reason)

    def _tell(self, run: ServerRun, finding: Finding) -> None:
        if self._news is not None and self._news.put(
            TOPIC.name, _row_key(run, finding), int(finding)
        ):
            self._on_news()

    def _apply(self, key: str, value: Any, age: float) -> None:
        """Learn from another instance whether a server has ended."""
        _, _, rest = key.partition("/")
        started_ms, _, server = rest.partition("/")
        if not started_ms.isdecimal() or value not in tuple(Finding):
            return
        run = (server, int(started_ms))
        confirmed = _row_key(run, Finding.CONFIRMED) in self._news.rows(TOPIC.name)
        if value == Finding.CONFIRMED:
            self._quarantine.believe(run)
        elif value == Finding.ANSWERED:
            self._quarantine.withdraw(run, age)
        elif self._seen(run):
            self._quarantine.report_again(run)
            self._tell(run, Finding.CONFIRMED)
        elif not confirmed:
            self._quarantine.withdraw(run, age)

    def _seen(self, run: ServerRun) -> bool:
        """Return whether this instance saw a run end, with a way to the servers."""
        return not self._cut_off() and any(each.run == run for each in self._losses)


def _row_key(run: ServerRun, finding: Finding) -> str:
    """Return the key of a row; one finding does not replace another."""
    server, started_ms = run
    return f"{int(finding)}/{started_ms}/{server}"


def is_burst(losses: Sequence[_Loss]) -> bool:
    """Return whether so many servers were lost at once that none of them has crashed.

    It is not if one request was lost with all of them.
    """
    runs = {each.run for each in losses}
    if len(runs) < BURST_RUNS:
        return False
    runs_by_request: dict[int, set[ServerRun]] = {}
    for each in losses:
        runs_by_request.setdefault(each.keys[0], set()).add(each.run)
    return all(len(lost_with) < len(runs) for lost_with in runs_by_request.values())
