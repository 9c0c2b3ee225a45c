"""The queue of calls that wait for a decode engine, with admission and placement."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from .allowed_regions import NO_SERVER_IN_REGION, REGION_RETRY_SECONDS
from .backends import (
    ZONE_OUT_OF_USE,
    ZONE_RETRY_SECONDS,
    Backends,
    BackendServer,
)
from .calls import Refused
from .deployment import EnginePool
from .engine_costs import EngineCosts
from .engine_rate import EngineRate
from .engine_waiters import EngineRequirements, Waiter
from .loads import Loads
from .remote_queues import QueueRank, QueueSummary, RemoteQueues
from .server_choice import ServerChoice, choose_for_call, choose_within_limits
from .server_health import ServerHealth
from .server_limits import ServerLimits
from .server_pace import ServerPace

MAX_WAIT_OBJECTIVES = 0.75
"""Fraction of the objective for which a call may wait for an engine; the rest is for
the prefill. A call that waits longer would be late, so it is refused with a retry
delay and the engine is left to calls that can still be on time."""

MAX_LATE_WAIT_OBJECTIVES = 1.5
"""The same for a call that is already late, which is limited only because its caller
gives up in the end."""

MAX_CACHED_WAIT_SECONDS = 0.4
"""Longest wait of a prefilled call, whose KV cache expires soon after."""

MAX_PREFILL_PAUSE_FRACTION = 0.75
"""Fraction of a stream's longest pause that a local prefill may take on a decode
engine with other streams; the rest is the usual time between two events."""

MAX_DELAYED_STREAMS = 2
"""An engine with at most this many streams may prefill a prompt of any length: that
delays fewer calls than it helps."""

ACCOUNT_USAGE_STEPS = 4
"""Steps to which an account's use of its limit is rounded down for the order of calls:
an account that uses a quarter more of its limit than another goes after it."""

BLOCK_TOKENS = 16
"""Engines allocate KV memory in blocks of this many tokens."""

MEMORY_FRACTION = 0.92
"""Fraction of an engine's KV memory that is allocated to calls. Output lengths are
estimates, and a preempted call must prefill its whole prompt again."""

RETRY_INTERVAL_SECONDS = 0.05
NO_ENGINE_RETRY_AFTER_SECONDS = 1.0
"""Retry delay without any engine: those that crash or restart are away for seconds."""


YIELD_SECONDS = 0.008
"""Time left to each instance with an earlier call to take a free slot first. A report
and the reply to it take about 6 ms."""


MAX_YIELD_SECONDS = 0.04
"""With many instances ahead, a longer pause would leave the slot free."""


class EngineQueue:
    """Allocates the slots and KV memory of one service's decode engines.

    Calls that can still meet their objective go before those that can't; then calls
    are ordered by priority, by how much of its limit their account uses, and by age.
    A call whose expected wait is too long is refused on arrival.

    Parameters
    ----------
    service : str
        The service whose engines are allocated.
    remote_queues : RemoteQueues
        The other instances' queues. This instance yields to those with an earlier
        call, so that two instances don't allocate the same slot.
    on_change : callable
        Called when a call joins the queue, to report it to the other instances.
    pace : ServerPace, optional
        How long work takes at each engine.
    random : random.Random, optional
        Chooses between engines that would complete a call at nearly the same time.
    """

    def __init__(
        self,
        service: str,
        *,
        clock: IReactorTime,
        backends: Backends,
        loads: Loads,
        health: ServerHealth,
        limits: ServerLimits,
        availability_zone: str,
        server_choice: ServerChoice,
        remote_queues: RemoteQueues,
        on_change: Callable[[], None],
        pace: ServerPace | None = None,
        random: Random | None = None,
    ) -> None:
        self._service = service
        self._clock = clock
        self._backends = backends
        self._loads = loads
        self._health = health
        self._limits = limits
        self._server_choice = server_choice
        self._remote_queues = remote_queues
        self._on_change = on_change
        self._waiters: list[Waiter] = []
        self._last_sequence = 0
        self._retry_scheduled = False
        self._yielding = False
        self._rate = EngineRate()
        costs = EngineCosts(
            backends=backends,
            loads=loads,
            health=health,
            limits=limits,
            pace=pace or ServerPace(clock),
            random=random or Random(),
            availability_zone=availability_zone,
        )
        self._cost = lambda server: costs.cost(
            server, min(server.slots, self.pool.slots), self._rate.duration
        )
        self.pool = EnginePool(1, 1)
        self.prefill_available: Callable[[], bool] = lambda: True
        self.prefill_available_in: Callable[[frozenset[str]], bool] = lambda zones: True
        self.local_prefill_rate: Callable[[], float] = lambda: float("inf")
        self.prefill_too_long: Callable[[int], bool] = lambda tokens: False
        self.recorded: Callable[[BackendServer], bool] = lambda server: True

    def __len__(self) -> int:
        return len(self._waiters)

    def place(
        self,
        *,
        requirements: EngineRequirements,
        priority: int,
        arrived: float,
        objective: float,
        account_usage: float = 0.0,
    ) -> "Deferred[BackendServer]":
        """Allocate a slot and KV memory at an engine, and return the engine.

        ``account_usage`` is the fraction of its limit that the call's account uses.
        ``arrived`` is when the caller began to wait, maybe with an earlier attempt.
        Fails with ``Refused`` if there is no engine or the wait is too long.
        Cancel the result to leave the queue.
        """
        now = self._clock.seconds()
        if not requirements.cached:
            self._rate.record_call(requirements.tokens)
        placed: Deferred[BackendServer] = Deferred(self._remove_cancelled)
        if not self._candidates(requirements):
            placed.errback(self._no_engine_refusal(requirements))
            return placed
        late = now > arrived + objective
        rank = QueueRank(
            late, priority, int(account_usage * ACCOUNT_USAGE_STEPS), arrived
        )
        first = not self._waiters and not self._remote_queues.instances_ahead(
            self._service, rank
        )
        if requirements.cached or first:
            server = self._choose(requirements)
            if server is not None:
                self._loads.begin(server.id, requirements.tokens)
                placed.callback(server)
                return placed
        fraction = MAX_LATE_WAIT_OBJECTIVES if late else MAX_WAIT_OBJECTIVES
        max_wait = fraction * objective - (0.0 if late else now - arrived)
        candidates = self._candidates(requirements)
        avoided_for = min(map(self._unavailable_for, candidates))
        self._last_sequence += 1
        waiter = Waiter(
            uncached=not requirements.cached,
            rank=rank,
            sequence=self._last_sequence,
            requirements=requirements,
            due=arrived + objective,
            placed=placed,
        )
        wait = max(avoided_for, self.expected_wait(waiter))
        if requirements.cached:
            max_wait = MAX_CACHED_WAIT_SECONDS
        elif wait > max_wait:
            inputs = {"expected_wait": round(wait, 3), "patience": round(max_wait, 3)}
            placed.errback(self._too_long_refusal("engines_full", wait, inputs))
            return placed
        self._waiters.append(waiter)
        self._clock.callLater(max(0.0, max_wait), self._time_out, waiter)
        self._on_change()
        self.place_waiting()
        self._schedule_retry()
        return placed

    def summary(self) -> QueueSummary | None:
        """Return the summary of this queue for the other instances."""
        if not self._waiters:
            return None
        return QueueSummary(len(self._waiters), min(self._waiters).rank)

    def record_duration(self, seconds: float) -> None:
        """Record the time for which a call held its slot."""
        self._rate.record_duration(seconds)

    def expected_wait(self, waiter: Waiter | None = None) -> float:
        """Return the expected seconds until ``waiter``, or a new call, is placed.

        Of the calls in this queue, those that sort before ``waiter`` count as ahead
        of it, each by its KV memory. Of those at other instances, all do that are on
        time, or all if ``waiter`` is late itself.
        """
        zones = waiter.requirements.zones if waiter is not None else None
        rate = sum(map(self._calls_a_second, self._engines(zones)))
        waiting = [each for each in self._waiters if waiter is None or each < waiter]
        tokens = [each.requirements.tokens for each in waiting]
        tokens.append(waiter.requirements.tokens if waiter is not None else 0)
        late = waiter is None or waiter.rank.late
        ahead = self._remote_queues.count(self._service, late=late)
        ahead += sum(map(self._rate.size, tokens))
        return ahead / rate if rate else ahead * self._rate.duration

    def _calls_a_second(self, server: BackendServer) -> float:
        """Return how many calls of the average KV memory an engine begins a second."""
        slots = min(server.slots, self.pool.slots)
        rate = self._rate.calls_a_second(slots, self._memory())
        return min(rate, self._limits.rate(server.run))

    def _memory(self) -> float:
        """Return the tokens of KV memory of an engine that are allocated to calls."""
        return MEMORY_FRACTION * self.pool.kv_capacity

    def place_waiting(self) -> None:
        """Place waiting calls while engines have room, yielding to other instances."""
        self._refuse_stranded()
        self._sort()
        while self._waiters and not self._yielding:
            first = self._waiters[0].rank
            ahead = self._remote_queues.instances_ahead(self._service, first)
            if ahead:
                self._yielding = True
                pause = min(ahead * YIELD_SECONDS, MAX_YIELD_SECONDS)
                self._clock.callLater(pause, self._end_yield)
            elif not self._place_next():
                return

    def _end_yield(self) -> None:
        self._yielding = False
        self._sort()
        if self._waiters and self._place_next():
            self.place_waiting()

    def _sort(self) -> None:
        now = self._clock.seconds()
        for waiter in self._waiters:
            if now > waiter.due and not waiter.rank.late:
                waiter.rank = replace(waiter.rank, late=True)
        self._waiters.sort()

    def _place_next(self) -> bool:
        """Place the first waiting call; return ``False`` if no engine has room.

        A call that waits for one software version, or for engines of some zones, does
        not hold up those behind it.
        """
        for waiter in self._waiters:
            server = self._choose(waiter.requirements)
            if server is not None:
                self._waiters.remove(waiter)
                self._loads.begin(server.id, waiter.requirements.tokens)
                waiter.placed.callback(server)
                return True
            if not waiter.requirements.restricted:
                return False
        return False

    def _refuse_stranded(self) -> None:
        """Refuse the waiting calls for which there is no engine any more.

        Without any engine, calls that could go to several wait for one to register,
        unless the operator has taken all zones with engines out of use, or none is in
        the zones that they may be sent to.
        """
        unavailable_by_zones = {
            zones: self._unavailable_reason(zones)
            for zones in {each.requirements.zones for each in self._waiters}
        }
        for waiter in list(self._waiters):
            requirements = waiter.requirements
            unavailable = unavailable_by_zones[requirements.zones]
            may_wait = requirements.software_version is None and unavailable is None
            if may_wait or self._candidates(requirements):
                continue
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                waiter.placed.errback(self._no_engine_refusal(requirements))

    def _unavailable_reason(self, zones: frozenset[str] | None) -> str | None:
        """Return why no engine in ``zones`` may be used at all, or ``None``."""
        if self._engines(zones):
            return None
        reasons = [
            self._backends.unavailable_reason(self._service, stage, zones)
            for stage in ("decode", "")
        ]
        if ZONE_OUT_OF_USE in reasons:
            return ZONE_OUT_OF_USE
        return reasons[0] or reasons[1]

    def _no_engine_refusal(self, requirements: EngineRequirements) -> Refused:
        zones = requirements.zones
        unavailable = self._unavailable_reason(zones)
        if unavailable == NO_SERVER_IN_REGION:
            return Refused(503, unavailable, retry_after=REGION_RETRY_SECONDS)
        if unavailable is not None:
            return Refused(503, unavailable, retry_after=ZONE_RETRY_SECONDS)
        reason = "no_engine_of_version" if self._engines(zones) else "no_engine"
        return Refused(503, reason, retry_after=NO_ENGINE_RETRY_AFTER_SECONDS)

    def _too_long_refusal(
        self, reason: str, wait: float, inputs: dict[str, object]
    ) -> Refused:
        """Return the refusal of a call whose wait is too long.

        The wait at cold engines that have free slots is for their rate.
        """
        engines = self._engines()
        runs = [each.run for each in engines]
        if all(map(self._limits.cold, runs)) and any(
            self.has_room(each, 0) for each in engines
        ):
            wait = max(wait, self._limits.retry_after(runs))
            reason = "servers_cold"
        return Refused(503, reason, retry_after=wait, inputs=inputs)

    def _schedule_retry(self) -> None:
        """Retry periodically while calls wait.

        No event signals the time at which an engine stops being avoided.
        """
        if self._waiters and not self._retry_scheduled:
            self._retry_scheduled = True
            self._clock.callLater(RETRY_INTERVAL_SECONDS, self._retry)

    def _retry(self) -> None:
        self._retry_scheduled = False
        try:
            self.place_waiting()
        finally:
            self._schedule_retry()

    def has_room(self, server: BackendServer, tokens: int) -> bool:
        """Return whether an engine has a free slot and KV memory for ``tokens`` more.

        An idle engine has room for a call of any size.
        """
        server_calls = self._loads.engine_calls(server.id)
        blocks = -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
        return server_calls.calls < min(server.slots, self.pool.slots) and (
            server_calls.tokens + blocks <= self._memory() or not server_calls.calls
        )

    def should_move(
        self, server: BackendServer, requirements: EngineRequirements
    ) -> bool:
        """Return whether a call that was placed at an engine should go elsewhere.

        Instances may place calls at one engine before they hear of each other's. It
        should if all of these are more than the engine's KV memory holds, and another
        engine has room.
        """
        if self._loads.engine_calls(server.id).tokens <= self.pool.kv_capacity:
            return False
        return any(
            each.id not in {server.id, *requirements.excluded}
            and not self._unavailable_for(each)
            and self.has_room(each, requirements.tokens)
            for each in self._candidates(requirements)
        )

    def _engines(self, zones: frozenset[str] | None = None) -> list[BackendServer]:
        """Return the decode engines, or those without a stage if there are none.

        Engines that asked for a pause are among them.
        """
        return self._backends.registered(self._service, "decode", zones) or (
            self._backends.registered(self._service, "", zones)
        )

    def _candidates(self, requirements: EngineRequirements) -> list[BackendServer]:
        """Return the engines that a call may be placed at, now or later.

        A call that needs a software version is not kept waiting for engines that are
        excluded, as those of other versions can't take it instead. A stream that may be
        resumed begins at a version that is recorded in the store, so that it is not
        joined with another version's even if all instances end meanwhile.
        """
        version = requirements.software_version
        if version is None:
            engines = self._engines(requirements.zones)
            if not requirements.repeatable:
                return engines
            return [each for each in engines if self.recorded(each)] or engines
        return [
            each
            for each in self._engines(requirements.zones)
            if each.software_version == version and each.id not in requirements.excluded
        ]

    def _unavailable_for(self, server: BackendServer) -> float:
        """Return the seconds for which an engine is avoided or asked for a pause."""
        return max(
            self._health.avoided_for(server.id), self._backends.paused_for(server)
        )

    def _choose(self, requirements: EngineRequirements) -> BackendServer | None:
        free = [
            server
            for server in self._candidates(requirements)
            if server.id not in requirements.excluded
            and not self._unavailable_for(server)
            and self.has_room(server, requirements.tokens)
        ]
        free = choose_for_call(free, self._health, repeatable=requirements.repeatable)
        needs_prefill = requirements.prompt_tokens and not requirements.cached
        if needs_prefill and not self._prefill_available(requirements.zones):
            free = [
                server for server in free if self._can_prefill(server, requirements)
            ]
        return choose_within_limits(free, self._server_choice, self._cost, self._limits)

    def _prefill_available(self, zones: frozenset[str] | None) -> bool:
        if zones is None:
            return self.prefill_available()
        return self.prefill_available_in(zones)

    def _can_prefill(
        self, server: BackendServer, requirements: EngineRequirements
    ) -> bool:
        """Return whether a decode engine may prefill a prompt itself.

        It prefills one prompt at a time, and its streams must not pause too long. A
        prompt that takes less than the pause that they allow never is too long.
        """
        if self._loads.local_prefills(server.id).calls:
            return False
        if self._loads.engine_calls(server.id).calls <= MAX_DELAYED_STREAMS:
            return True
        seconds = requirements.prompt_tokens / self.local_prefill_rate()
        if seconds <= MAX_PREFILL_PAUSE_FRACTION * requirements.longest_pause:
            return True
        return not self.prefill_too_long(requirements.prompt_tokens)

    def _time_out(self, waiter: Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            wait = self.expected_wait()
            inputs = {"expected_wait": round(wait, 3), "waiting": len(self._waiters)}
            refused = self._too_long_refusal("waited_in_vain", wait, inputs)
            waiter.placed.errback(refused)

    def _remove_cancelled(self, placed: object) -> None:
        self._waiters = [each for each in self._waiters if each.placed is not placed]
