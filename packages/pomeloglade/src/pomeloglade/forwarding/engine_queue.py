"""Who waits for a decode engine, who is refused, and where work goes."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from .backends import Backends, BackendServer
from .calls import Refused
from .deployment import EnginePool
from .loads import Loads
from .server_choice import ServerChoice
from .server_health import ServerHealth
from .waiting_elsewhere import Queued, Standing, WaitingElsewhere

PATIENCE_OBJECTIVES = 0.75
"""Part of the objective that a call may wait for an engine; the rest is for reading
its prompt. Beyond it another call that can still be on time needs the engine more,
and the refused one is told when to come back."""

LATE_PATIENCE_OBJECTIVES = 1.5
"""The same for a call that is late already: only callers' own patience counts."""

CACHED_PATIENCE_SECONDS = 0.4
"""The same for a call whose prompt is read: as long as its KV cache lasts."""

READ_PART_OF_PAUSE = 0.75
"""Part of the longest pause that a decode engine may spend on one prompt of its own
reading while it has other streams; the rest is the usual time between events."""

FEW_STREAMS = 2
"""Streams that may be delayed by a long prompt: fewer than the calls it helps."""

ACCOUNT_STEPS = 4
"""Steps of an account's limit by which calls are ordered: an account that uses a
quarter more of its limit than others goes behind them."""

BLOCK_TOKENS = 16
"""Engines hand out KV memory in blocks of this many tokens."""

MEMORY_PART = 0.92
"""Part of an engine's KV memory that is given out. Outputs are guessed, and a call
that is preempted has its whole prompt read again."""

USUAL_DECODE_SECONDS = 3.0
"""Duration assumed until the first calls have ended."""

DURATION_WEIGHT = 0.1
PUMP_SECONDS = 0.05

TURN_SECONDS = 0.008
"""Time that each instance whose first call goes before this one's has to take what
has become free. A report and the answer to it take some 6 ms."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a call needs of a decode engine.

    ``tokens`` are held in KV memory. If no prefill engine can be had, the engine
    reads ``prompt_tokens`` itself, during which its streams pause; they bear
    ``longest_pause`` seconds. Engines in ``without`` have refused the call. A
    call whose prompt is read already goes first, as its KV cache lapses soon.
    """

    tokens: int
    prompt_tokens: int = 0
    longest_pause: float = 1.0
    without: frozenset[str] = frozenset()
    cached: bool = False


@dataclass(order=True)
class Waiter:
    """A call that waits; the least goes first."""

    uncached: bool
    standing: Standing
    order: int
    need: "Need" = field(compare=False)
    due: float = field(compare=False)
    placed: "Deferred[BackendServer]" = field(compare=False)


class EngineQueue:
    """Gives out the slots and KV memory of one service's decode engines.

    A call that can still meet its objective goes before those that can't; among
    equals the more urgent goes first, then that of the account which uses less of
    its limit, then the older. A call that would wait
    longer than its patience is refused at its arrival.

    Parameters
    ----------
    service : str
        The service whose engines are given out.
    elsewhere : WaitingElsewhere
        The other instances' queues. An instance lets those go first that have an
        earlier call, so that two don't take the same place.
    changed : callable
        Called when the others should hear of this queue.
    """

    def __init__(
        self,
        service: str,
        *,
        clock: IReactorTime,
        backends: Backends,
        loads: Loads,
        health: ServerHealth,
        availability_zone: str,
        server_choice: ServerChoice,
        elsewhere: WaitingElsewhere,
        changed: Callable[[], None],
    ) -> None:
        self._service = service
        self._clock = clock
        self._backends = backends
        self._loads = loads
        self._health = health
        self._availability_zone = availability_zone
        self._server_choice = server_choice
        self._elsewhere = elsewhere
        self._changed = changed
        self._waiters: list[Waiter] = []
        self._order = 0
        self._pumping = False
        self._turn_awaited = False
        self._duration = USUAL_DECODE_SECONDS
        self.pool = EnginePool(1, 1)
        self.prefill_free: Callable[[], bool] = lambda: True
        self.read_rate: Callable[[], float] = lambda: float("inf")

    def __len__(self) -> int:
        return len(self._waiters)

    def place(
        self,
        *,
        need: Need,
        priority: int,
        arrived: float,
        objective: float,
        account_part: float = 0.0,
    ) -> "Deferred[BackendServer]":
        """Return the engine for a call, with its slot and tokens taken.

        ``account_part`` is the part of its limit that the call's account uses.
        ``arrived`` is when the caller began to wait, maybe with an earlier call.
        Fails with ``Refused`` when there is no engine or the wait is too long.
        Cancelling the result leaves the queue.
        """
        now = self._clock.seconds()
        placed: Deferred[BackendServer] = Deferred(self._forget)
        if not self._engines():
            placed.errback(Refused(503, "no_engine", retry_after=1.0))
            return placed
        late = now > arrived + objective
        standing = Standing(late, priority, int(account_part * ACCOUNT_STEPS), arrived)
        first = not self._waiters and not self._elsewhere.ahead(self._service, standing)
        if need.cached or first:
            server = self._choose(need)
            if server is not None:
                self._loads.begin(server.id, need.tokens)
                placed.callback(server)
                return placed
        objectives = LATE_PATIENCE_OBJECTIVES if late else PATIENCE_OBJECTIVES
        patience = objectives * objective - (0.0 if late else now - arrived)
        soonest = min(self._health.avoided_for(s.id) for s in self._engines())
        self._order += 1
        waiter = Waiter(
            uncached=not need.cached,
            standing=standing,
            order=self._order,
            need=need,
            due=arrived + objective,
            placed=placed,
        )
        wait = max(soonest, self.expected_wait(waiter))
        if need.cached:
            patience = CACHED_PATIENCE_SECONDS
        elif wait > patience:
            inputs = {"expected_wait": round(wait, 3), "patience": round(patience, 3)}
            refused = Refused(503, "engines_full", retry_after=wait, inputs=inputs)
            placed.errback(refused)
            return placed
        self._waiters.append(waiter)
        self._clock.callLater(max(0.0, patience), self._give_up, waiter)
        self._changed()
        self.pump()
        self._keep_pumping()
        return placed

    def queued(self) -> Queued | None:
        """Return what the other instances should know of this queue."""
        if not self._waiters:
            return None
        return Queued(len(self._waiters), min(self._waiters).standing)

    def finished(self, seconds: float) -> None:
        """Learn how long a call held its slot."""
        self._duration += DURATION_WEIGHT * (seconds - self._duration)

    def expected_wait(self, waiter: Waiter | None = None) -> float:
        """Return the seconds until one more call would be placed.

        Those that wait here are ahead of ``waiter`` as they sort before it, those
        that wait at other instances all are.
        """
        slots = sum(min(s.slots, self.pool.slots) for s in self._engines())
        waiting = [each for each in self._waiters if waiter is None or each < waiter]
        ahead = len(waiting) + self._elsewhere.count(self._service) + 1
        return ahead * self._duration / max(1, slots)

    def pump(self) -> None:
        """Place those that wait, as far as there is room and it is their turn."""
        self._sort()
        while self._waiters and not self._turn_awaited:
            first = self._waiters[0].standing
            ahead = self._elsewhere.ahead(self._service, first)
            if ahead:
                self._turn_awaited = True
                self._clock.callLater(ahead * TURN_SECONDS, self._turn_came)
            elif not self._place_first():
                return

    def _turn_came(self) -> None:
        self._turn_awaited = False
        self._sort()
        if self._waiters and self._place_first():
            self.pump()

    def _sort(self) -> None:
        now = self._clock.seconds()
        for waiter in self._waiters:
            if now > waiter.due and not waiter.standing.late:
                waiter.standing = replace(waiter.standing, late=True)
        self._waiters.sort()

    def _place_first(self) -> bool:
        """Place the first of those that wait; ``False`` if there is no room."""
        waiter = self._waiters[0]
        server = self._choose(waiter.need)
        if server is None:
            return False
        self._waiters.remove(waiter)
        self._loads.begin(server.id, waiter.need.tokens)
        waiter.placed.callback(server)
        return True

    def _keep_pumping(self) -> None:
        """Look for room while calls wait: servers come back without a sign."""
        if self._waiters and not self._pumping:
            self._pumping = True
            self._clock.callLater(PUMP_SECONDS, self._pump_again)

    def _pump_again(self) -> None:
        self._pumping = False
        self.pump()
        self._keep_pumping()

    def has_room(self, server: BackendServer, tokens: int) -> bool:
        """Whether an engine has a slot and memory for ``tokens`` more."""
        work = self._loads.work(server.id)
        blocks = -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS
        memory = MEMORY_PART * self.pool.kv_capacity
        return work.calls < min(server.slots, self.pool.slots) and (
            work.tokens + blocks <= memory or not work.calls
        )

    def _engines(self) -> list[BackendServer]:
        """Return the decode engines, or any where a service has no stages."""
        return self._backends.serving(self._service, "decode") or (
            self._backends.serving(self._service, "")
        )

    def _choose(self, need: Need) -> BackendServer | None:
        free = [
            server
            for server in self._engines()
            if server.id not in need.without
            and not self._health.avoided(server.id)
            and self.has_room(server, need.tokens)
        ]
        reads = need.prompt_tokens and not need.cached
        if reads and not self.prefill_free():
            free = [server for server in free if self._may_read(server, need)]
        return self._server_choice(free, self._cost) if free else None

    def _may_read(self, server: BackendServer, need: Need) -> bool:
        """Whether a decode engine can read a prompt without harm to its streams."""
        if self._loads.reading(server.id).calls:
            return False
        if self._loads.work(server.id).calls <= FEW_STREAMS:
            return True
        seconds = need.prompt_tokens / self.read_rate()
        return seconds <= READ_PART_OF_PAUSE * need.longest_pause

    def _cost(self, server: BackendServer) -> tuple[float, int, str]:
        work = self._loads.work(server.id)
        calls = (work.calls + 1) * self._health.penalty(server.id)
        far = server.availability_zone != self._availability_zone
        return calls + (0.5 if far else 0.0), work.tokens, server.id

    def _give_up(self, waiter: Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            wait = self.expected_wait()
            inputs = {"expected_wait": round(wait, 3), "waiting": len(self._waiters)}
            refused = Refused(503, "waited_in_vain", retry_after=wait, inputs=inputs)
            waiter.placed.errback(refused)

    def _forget(self, placed: object) -> None:
        self._waiters = [each for each in self._waiters if each.placed is not placed]
