"""The queues of all plain services of an instance."""

from collections.abc import Callable
from random import Random

from twisted.internet.interfaces import IReactorTime

from .account_shares import AccountShares
from .backends import Backends, BackendServer
from .call_state import CallState
from .fleet_news import FleetNews
from .forwarding_metrics import ForwardingMetrics
from .loads import Loads
from .plain_queue import Choose, Pace, PlainQueue, QueuedCall
from .remote_queues import QueueSummary, RemoteQueues
from .return_times import ReturnTimes
from .server_health import ServerHealth
from .server_limits import ServerLimits
from .time_limits import TimeLimits


def _choose_none(servers: object) -> BackendServer | None:
    """Return no server; ``PlainCalls`` replaces this by its own choice."""
    return None


class PlainQueues:
    """Makes the queue of each plain service, with what the queues have in common.

    Attributes
    ----------
    choose : callable
        Chooses one of several servers with room, see ``PlainQueue``.
    pace : callable
        Returns how long work takes at a run of a server, relative to normal.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        random: Random,
        backends: Backends,
        loads: Loads,
        health: ServerHealth,
        limits: ServerLimits,
        remote_queues: RemoteQueues,
        news: FleetNews,
        instance: str,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._random = random
        self._backends = backends
        self._loads = loads
        self._health = health
        self._limits = limits
        self._remote_queues = remote_queues
        self._returns = ReturnTimes(clock, random, news, instance)
        self._shares = AccountShares(clock)
        self._time_limits = TimeLimits()
        self._on_change = on_change
        self._queues_by_service: dict[str, PlainQueue] = {}
        self.choose: Choose = _choose_none
        self.pace: Pace = lambda run: 1.0

    def __len__(self) -> int:
        return sum(map(len, self._queues_by_service.values()))

    def for_service(self, service: str) -> PlainQueue:
        """Return the queue of a service, made on first use."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = PlainQueue(
                service,
                clock=self._clock,
                random=self._random,
                backends=self._backends,
                loads=self._loads,
                health=self._health,
                limits=self._limits,
                remote_queues=self._remote_queues,
                returns=self._returns,
                shares=self._shares,
                choose=lambda servers: self.choose(servers),
                on_change=self._on_change,
                pace=lambda run: self.pace(run),
            )
        return queue

    def queued_call(self, state: CallState, excluded: set[str]) -> QueuedCall:
        """Return what the order of a call depends on.

        The age that its time limit shows counts only up to the longest time for which
        callers were told to wait, as callers may send any time limit.
        """
        route, account = state.resolved.route, state.resolved.account
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        service, arrived = state.service(), state.call.arrived
        waited = arrived - state.waiting_since()
        # The limit of a call that was passed on lacks the time that this took.
        if state.call.time_limit is not None and not state.passed_on:
            shown = self._time_limits.waited(route.name, state.call.time_limit)
            waited = max(waited, shown)
        waited = min(waited, self._returns.longest(service))
        # No caller is told to come back sooner than a call takes.
        hasty = 0 < waited < self.for_service(service).duration
        return QueuedCall(
            account=state.account_name or "",
            priority=priority,
            since=arrived if hasty else arrived - waited,
            objective=route.objective.total_seconds(),
            deadline=state.deadline(),
            returned=waited > 0 or state.send_count > 0,
            hasty=hasty,
            excluded=frozenset(excluded),
            zones=state.resolved.zones,
            repeatable=route.idempotent,
        )

    def summaries(self) -> dict[str, QueueSummary]:
        """Return the summaries of all queues by service for the other instances."""
        summaries: dict[str, QueueSummary] = {}
        for queue in self._queues_by_service.values():
            summaries |= queue.summaries()
        return summaries

    def place_waiting(self) -> None:
        """Place waiting calls, as servers may have room again."""
        for queue in self._queues_by_service.values():
            queue.place_waiting()

    def add_gauges(self, metrics: ForwardingMetrics) -> None:
        """Add the gauges of the waiting calls and of the callers expected back."""
        metrics.gauge("plain_calls_waiting", lambda: len(self))
        metrics.gauge("return_times_promised", self._returns.count)
