"""The queue of calls that wait for a server of a plain service."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from .account_shares import AccountShares
from .admission import (
    ONTIME_PLACEMENTS,
    CallTimes,
    ServiceCapacity,
    WorkAhead,
    calls_ahead,
    decide,
    expected_wait,
    extra_calls,
    is_hopeless,
    is_late,
    release_chance,
    running_seconds,
    wait_allowance,
    yielding_chance,
)
from .backends import Backends, BackendServer
from .calls import Refused
from .loads import Loads
from .remote_queues import QueueRank, QueueSummary, RemoteQueues
from .return_times import ReturnTimes
from .server_choice import choose_for_call
from .server_health import ServerHealth
from .server_limits import ServerLimits

LATE_PREFIX = "late/"
"""Prefix of the service under which late calls are reported. The number of calls that
can still be on time decides on new ones, and a report has one number for each name."""

REPORTED_LOAD_MAX_AGE_SECONDS = 0.2
MARGIN_OBJECTIVES = 0.15
"""Part of the objective by which an answer is planned to be early, for calls that take
longer than the mean, and for loads that have changed since."""

TICK_SECONDS = 0.01
"""Interval in which waiting calls are looked at. It is short against the duration of
the shortest calls, 20 ms."""

DURATION_WEIGHT = 0.1
MIN_DURATION_SECONDS = 0.0005
ESTIMATE_WEIGHT = 0.02
"""Weight of the duration of a call that waited at its server, which is an estimate."""

URGENCY_SECONDS = 10.0
"""How long the priority of a call is remembered as one of its service."""

Pace = Callable[[tuple[str, int]], float]
Choose = Callable[[Sequence[BackendServer]], BackendServer | None]


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """What the order and the admission of a call depend on.

    ``since`` is when the caller began to wait, maybe with an earlier attempt, and
    ``deadline`` when it leaves. A call that ``returned`` after a refusal, or is tried
    at another server, may be late; a ``hasty`` one came back before it can have been
    told to, and counts as late. Servers in ``excluded`` are not chosen, nor those
    outside ``zones`` if there are any. One that is not ``repeatable`` avoids servers
    whose last calls have all failed.
    """

    account: str
    priority: int
    since: float
    objective: float
    deadline: float
    returned: bool = False
    hasty: bool = False
    excluded: frozenset[str] = frozenset()
    zones: frozenset[str] | None = None
    repeatable: bool = True

    @property
    def may_go_anywhere(self) -> bool:
        """Whether the call takes any server with room."""
        return not self.excluded and self.zones is None and self.repeatable

    def times(self, now: float) -> CallTimes:
        """Return by when the answer is planned."""
        margin = MARGIN_OBJECTIVES * self.objective
        due = self.since + self.objective - margin
        return CallTimes(now, due, self.deadline - margin, self.returned)


@dataclass(order=True, slots=True)
class Waiter:
    """A waiting call; waiters sort in the order in which they are placed."""

    rank: QueueRank
    sequence: int
    call: QueuedCall = field(compare=False)
    placed: "Deferred[BackendServer | None]" = field(compare=False)


class PlainQueue:
    """Admits calls to one plain service, and orders those that wait for a server.

    Calls that can still be on time go first, but one of four placements is of a late
    call; then calls are ordered by priority, by the use of their accounts and by age.
    Servers get as many calls as keep their slots busy while reports travel. If calls
    wait at several instances, each sends its part of what the servers finish.

    Parameters
    ----------
    choose : callable
        Returns one of several servers with room, or ``None`` if their limits have none.
    pace : callable
        Returns how long work takes at a run of a server, relative to normal.
    on_change : callable
        Called when the queue has changed, to report it to the other instances.
    """

    def __init__(
        self,
        service: str,
        *,
        clock: IReactorTime,
        random: Random,
        backends: Backends,
        loads: Loads,
        health: ServerHealth,
        limits: ServerLimits,
        remote_queues: RemoteQueues,
        returns: ReturnTimes,
        shares: AccountShares,
        choose: Choose,
        on_change: Callable[[], None],
        pace: Pace = lambda run: 1.0,
    ) -> None:
        self._service = service
        self._clock = clock
        self._random = random
        self._backends = backends
        self._loads = loads
        self._health = health
        self._limits = limits
        self._remote_queues = remote_queues
        self._returns = returns
        self._shares = shares
        self._choose_among = choose
        self._on_change = on_change
        self._pace = pace
        self._waiters: list[Waiter] = []
        self._last_sequence = 0
        self._since_late = 0
        self._tick_scheduled = False
        self._ticked_at = 0.0
        self._duration: float | None = None
        self._seen_at_by_priority: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def applies(self) -> bool:
        """Return whether the service's servers report their load and their pace.

        Services that do not are served without a queue, as before it.
        """
        if self._duration is None:
            return False
        servers = self._backends.serving(self._service)
        return any(self._loads.reports_pace(each.id) for each in servers)

    @property
    def duration(self) -> float:
        """The mean seconds that a call runs, at normal pace; 0 if it is not known."""
        return self._duration or 0.0

    def record_duration(
        self, server: BackendServer, seconds: float, calls_before: int
    ) -> None:
        """Update the mean duration with a response that took ``seconds``.

        ``calls_before`` is the number of calls at the server when it was sent, or at
        its response, if there were more: reports may be older than the call.
        """
        seconds = running_seconds(seconds, server.slots, calls_before)
        seconds = max(MIN_DURATION_SECONDS, seconds / self._pace(server.run))
        if self._duration is None:
            self._duration = seconds
        waited = calls_before >= server.slots
        weight = ESTIMATE_WEIGHT if waited else DURATION_WEIGHT
        self._duration += weight * (seconds - self._duration)

    def place(self, call: QueuedCall) -> "Deferred[BackendServer | None]":
        """Return the server to which the call is to be sent at once.

        The result is ``None`` if no server is left or all are limited. It fails with
        ``Refused`` if the call can't be answered in time. Cancel it to leave the queue.
        """
        now = self._clock.seconds()
        self._seen_at_by_priority[call.priority] = now
        placed: Deferred[BackendServer | None] = Deferred(self._remove_cancelled)
        servers = self._servers(call)
        if not any(self._limits.has_room(each.run) for each in servers):
            placed.callback(None)
            return placed
        capacity = self._capacity()
        step = self._shares.step(self._service, call.account)
        late = call.hasty or is_late(call.times(now), capacity.duration)
        rank = QueueRank(late, call.priority, 0 if late else step, call.since)
        work = self._work_ahead(rank)
        allowance = wait_allowance(self._less_urgent_steps(call.priority), step)
        admission = decide(capacity, work, call.times(now), allowance)
        if not admission.admitted:
            retry_after = self._returns.promise(
                self._service, admission.retry_after, capacity.rate
            )
            placed.errback(self._refusal(retry_after, admission.wait))
            return placed
        self._last_sequence += 1
        waiter = Waiter(rank, self._last_sequence, call, placed)
        self._waiters.append(waiter)
        self._release(0.0)
        if waiter in self._waiters:
            self._on_change()
            self._schedule_tick()
        return placed

    def place_waiting(self) -> None:
        """Place calls, as a server may have a free slot again.

        While all slots are taken, waiting calls are looked at by the tick only.
        """
        if self._waiters and any(map(self._free_slots, self._servers())):
            self._release(0.0)

    def summaries(self) -> dict[str, QueueSummary]:
        """Return the summaries of this queue for the other instances.

        Late calls are listed under another name, see ``LATE_PREFIX``.
        """
        summaries = {}
        for late, name in ((False, self._service), (True, self._late_name)):
            waiters = [each for each in self._waiters if each.rank.late is late]
            if waiters:
                summaries[name] = QueueSummary(len(waiters), min(waiters).rank)
        return summaries

    def response_seconds(self, server: BackendServer) -> float:
        """Return the expected time until a call is answered that is sent now."""
        calls = self._loads.calls(server.id, REPORTED_LOAD_MAX_AGE_SECONDS)
        duration = self._duration_at(server)
        return duration * (1 + max(0, calls - server.slots) / server.slots)

    @property
    def _late_name(self) -> str:
        return LATE_PREFIX + self._service

    def _duration_at(self, server: BackendServer) -> float:
        return self.duration * self._pace(server.run)

    def _servers(self, call: QueuedCall | None = None) -> list[BackendServer]:
        """Return the servers for a call, or all, preferring those not avoided."""
        zones = call.zones if call is not None else None
        servers = self._backends.serving(self._service, zones=zones)
        if call is not None:
            servers = [each for each in servers if each.id not in call.excluded]
            servers = choose_for_call(servers, self._health, repeatable=call.repeatable)
        return [each for each in servers if not self._health.avoided(each.id)] or (
            servers
        )

    def _capacity(self) -> ServiceCapacity:
        servers = self._servers()
        slots = sum(each.slots for each in servers)
        rate = sum(
            min(each.slots / self._duration_at(each), self._limits.rate(each.run))
            for each in servers
        )
        mean = sum(each.slots * self._duration_at(each) for each in servers)
        return ServiceCapacity(slots, rate, mean / slots if slots else 0.0)

    def _work_ahead(self, rank: QueueRank) -> WorkAhead:
        """Return the work that counts before a call; calls elsewhere all do."""
        on_time = self._remote_queues.count(self._service)
        late = self._remote_queues.count(self._late_name)
        waiting = on_time + late + len(self._waiters)
        for each in self._waiters:
            if each.rank.late and (each.rank <= rank or not rank.late):
                late += 1
            elif each.rank <= rank:
                on_time += 1
        at_servers = sum(map(self._calls, self._servers()))
        return WorkAhead(at_servers, calls_ahead(rank.late, on_time, late), waiting)

    def _calls(self, server: BackendServer) -> int:
        return self._loads.calls(server.id, REPORTED_LOAD_MAX_AGE_SECONDS)

    def _room(self, server: BackendServer, objective: float) -> int:
        """Return how many more calls a server may be sent."""
        extra = self._extra(server, objective)
        return max(0, server.slots + extra - self._calls(server))

    def _extra(self, server: BackendServer, objective: float) -> int:
        return extra_calls(server.slots, self._duration_at(server), objective)

    def _less_urgent_steps(self, priority: int) -> int:
        """Return how many more urgent priorities the service's calls had lately."""
        oldest = self._clock.seconds() - URGENCY_SECONDS
        seen = self._seen_at_by_priority
        for each in [each for each, seen_at in seen.items() if seen_at < oldest]:
            del seen[each]
        return sum(each < priority for each in seen)

    def _refusal(self, retry_after: float, wait: float) -> Refused:
        inputs = {"expected_wait": round(wait, 3), "waiting": len(self._waiters)}
        return Refused(503, "servers_busy", retry_after=retry_after, inputs=inputs)

    def _release(self, seconds: float) -> None:
        """Send the waiting calls that are due to the servers with room.

        Calls that go before all others are sent at once; of the others, this
        instance's part for the last ``seconds``.
        """
        while self._waiters:
            waiter = self._next()
            if not self._leads(waiter) or not self._draw_leading(waiter):
                break
            if not self._send_first(waiter):
                return
        for late in (False, True) if seconds and self._waiters else ():
            for _ in range(self._draw(late, seconds)):
                waiters = [each for each in self._waiters if each.rank.late is late]
                if not waiters or not self._send_first(min(waiters)):
                    break

    def _next(self) -> Waiter:
        """Return the call to place next: the first one, or a late one in its turn."""
        self._waiters.sort()
        if self._since_late >= ONTIME_PLACEMENTS and self._waiters[-1].rank.late:
            return next(each for each in self._waiters if each.rank.late)
        return self._waiters[0]

    def _leads(self, waiter: Waiter) -> bool:
        """Return whether no call at another instance is known to go first."""
        names = (self._service, self._late_name)
        firsts = (self._remote_queues.first(each) for each in names)
        return all(first is None or waiter.rank < first for first in firsts)

    def _draw_leading(self, waiter: Waiter) -> bool:
        """Return whether a call that goes before all others is sent at once.

        Others may have sent calls since they reported, more so in a burst.
        """
        servers = self._servers(waiter.call)
        if not servers or any(map(self._free_slots, servers)):
            return True
        objective = waiter.call.objective
        room = sum(self._room(each, objective) for each in servers)
        extra = sum(self._extra(each, objective) for each in servers)
        return self._random.random() < room / extra

    def _free_slots(self, server: BackendServer) -> int:
        return max(0, server.slots - self._calls(server))

    def _draw(self, late: bool, seconds: float) -> int:
        """Return how many late, or other, calls are this instance's part of the room.

        The part is drawn at random, so that instances do not act at the same time.
        """
        waiters = [each for each in self._waiters if each.rank.late is late]
        if not waiters:
            return 0
        name, other = self._service, self._late_name
        if late:
            name, other = other, name
        first = min(waiters)
        objective = first.call.objective
        servers = self._servers()
        room = sum(self._room(each, objective) for each in servers)
        elsewhere = self._remote_queues.count(name)
        rate = self._capacity().rate
        chance = release_chance(seconds, rate, room, len(waiters), elsewhere)
        if self._remote_queues.count(other) or len(waiters) < len(self._waiters):
            share = 1 if late else ONTIME_PLACEMENTS
            chance *= share / (1 + ONTIME_PLACEMENTS)
        best = self._remote_queues.first(name)
        if best is not None and replace(best, arrived=0.0) < replace(
            first.rank, arrived=0.0
        ):
            extra = sum(self._extra(each, objective) for each in servers)
            chance = yielding_chance(chance, room, extra)
        whole = int(chance)
        return whole + (self._random.random() < chance - whole)

    def _send_first(self, waiter: Waiter) -> bool:
        """Send a call, or the first behind it that a server has room for.

        A call that must not go to some servers does not hold up the others.
        """
        for each in (waiter, *self._waiters):
            server = self._choose(each.call)
            if server is not None:
                self._waiters.remove(each)
                self._since_late = 0 if each.rank.late else self._since_late + 1
                self._shares.record(self._service, each.call.account)
                each.placed.callback(server)
                return True
            if each.call.may_go_anywhere:
                return False
        return False

    def _choose(self, call: QueuedCall) -> BackendServer | None:
        """Choose a server with room for a call.

        If the slots of all of them are taken, one is drawn by its room: the reports of
        the instances are of the same age, and they would all choose the same server.
        """
        servers = self._servers(call)
        rooms = [self._room(each, call.objective) for each in servers]
        candidates = [each for each, room in zip(servers, rooms, strict=True) if room]
        if not candidates:
            return None
        if all(self._calls(each) >= each.slots for each in candidates):
            drawn = self._random.choices(servers, rooms)
            server = self._choose_among(drawn)
            if server is not None:
                return server
        return self._choose_among(candidates)

    def _schedule_tick(self) -> None:
        if self._waiters and not self._tick_scheduled:
            self._tick_scheduled = True
            self._ticked_at = self._clock.seconds()
            self._clock.callLater(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        try:
            if self._waiters:
                self._update()
                self._release(self._clock.seconds() - self._ticked_at)
        finally:
            self._schedule_tick()

    def _update(self) -> None:
        """Put late calls behind the others, and refuse those without enough time."""
        now = self._clock.seconds()
        capacity = self._capacity()
        at_servers = sum(map(self._calls, self._servers()))
        wait = expected_wait(capacity, WorkAhead(at_servers))
        for waiter in list(self._waiters):
            if not self._servers(waiter.call):
                self._waiters.remove(waiter)
                waiter.placed.callback(None)
                self._on_change()
                continue
            times = waiter.call.times(now)
            if is_hopeless(times, capacity.duration, wait):
                self._waiters.remove(waiter)
                retry_after = max(capacity.duration, wait)
                waiter.placed.errback(self._refusal(retry_after, wait))
                self._on_change()
            elif not waiter.rank.late and is_late(times, capacity.duration, wait):
                rank = replace(waiter.rank, late=True, account_usage_step=0)
                waiter.rank = rank
                # Without this report, others refuse calls that could be on time.
                self._on_change()

    def _remove_cancelled(self, placed: object) -> None:
        self._waiters = [each for each in self._waiters if each.placed is not placed]
        self._on_change()
