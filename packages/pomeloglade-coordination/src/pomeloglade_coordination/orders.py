"""Orders to engines from one lease holder a zone."""

import enum
import random
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.defer import Deferred, TimeoutError, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from .clock import Clock
from .errors import CoordinationError
from .key_value import KeyValueStore
from .lease import LEASE_TIME_TO_LIVE, LeaseHolder, LeaseObserver
from .members import Member

LONGEST_PAUSE = timedelta(seconds=30)
ENGINE_TIMEOUT = timedelta(seconds=10)
RETRY_DELAY = timedelta(seconds=1)
READ_BACK_INTERVAL = timedelta(seconds=15)


class OrderKind(enum.Enum):
    """What an order sets."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


class OrderResult(enum.Enum):
    """How an order ended at this instance."""

    APPLIED = "applied"
    NOT_HOLDER = "not_holder"
    SUPERSEDED = "superseded"


class OrderCounter(enum.Enum):
    """What orders count, beside their results."""

    SENT = "sent"
    ALREADY_APPLIED = "already_applied"
    FENCED_OFF = "fenced_off"
    LEASE_LAPSED = "lease_lapsed"
    READ_BACK_DIFFERS = "read_back_differs"
    ENGINE_FAILED = "engine_failed"


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The state that an engine is to have, whatever it has now.

    ``load_tokens`` is what reaching it costs of the weight store's rate; 0 when
    no weights are loaded.
    """

    kind: OrderKind
    value: str
    load_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Order:
    """One order on its way to an engine."""

    server: str
    state: DesiredState
    fencing_number: int


class OrderRefusedError(CoordinationError):
    """The engine has seen a higher fencing number."""


class OrderSender(Protocol):
    """Sends orders to engines and reads their state."""

    def send(self, order: Order) -> "Deferred[None]":
        """Send an order; ``OrderRefusedError`` when its number is too old."""

    def read(self, server: str, kind: OrderKind) -> "Deferred[str]":
        """Return what an engine has in force."""


@dataclass(slots=True)
class _Target:
    server: str
    state: DesiredState
    checks_fencing: bool
    waiting: "Deferred[OrderResult]" = field(default_factory=Deferred)


def _no_limit(_tokens: int) -> "Deferred[None]":
    return succeed(None)


class Orders:
    """Brings the engines of one zone to their desired states, if it is the holder.

    Every instance of the zone is told the desired states; only the holder of the
    zone's lease sends orders. They are absolute, so that repeating one changes
    nothing. Engines that ignore fencing numbers get none before every earlier
    holder's lease and the longest pause of a process have passed. What an engine
    has in force is read before and after an order, and again every
    ``READ_BACK_INTERVAL``.

    Parameters
    ----------
    availability_zone : str
        The zone whose engines are ordered.
    engines : OrderSender
        Reaches the engines.
    acquire : callable
        Takes tokens of the weight store's rate; its Deferred fires when they
        are granted.
    longest_pause : timedelta
        How long a process may be paused between its last check and the moment
        at which an order leaves.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        own: Member,
        availability_zone: str,
        engines: OrderSender,
        random: random.Random,
        acquire: Callable[[int], "Deferred[Any]"] = _no_limit,
        time_to_live: timedelta = LEASE_TIME_TO_LIVE,
        longest_pause: timedelta = LONGEST_PAUSE,
    ) -> None:
        self.counters: Counter[OrderCounter] = Counter()
        self.results: Counter[OrderResult] = Counter()
        self._clock = clock
        self._engines = engines
        self._acquire = acquire
        self._longest_pause = longest_pause.total_seconds()
        self._quiet_until = 0.0
        self._targets: dict[tuple[str, OrderKind], _Target] = {}
        self._busy: set[str] = set()
        self._calls_by_server: dict[str, Any] = {}
        self._lease = LeaseHolder(
            clock=clock,
            store=store,
            key=f"orders/{availability_zone}",
            holder=f"{own.instance}.{own.incarnation}",
            random=random,
            time_to_live=time_to_live,
            changed=self._lease_changed,
        )

    @property
    def lease(self) -> LeaseHolder:
        """The lease of the zone's order holder."""
        return self._lease

    def start(self) -> None:
        """Begin to compete for the lease."""
        self._lease.start()

    def stop(self) -> "Deferred[None]":
        """Release the lease; orders already sent may still take effect."""
        return self._lease.stop()

    def order(
        self, server: str, state: DesiredState, *, checks_fencing: bool
    ) -> "Deferred[OrderResult]":
        """Set the desired state of ``server``, superseding an earlier one.

        Fires with ``APPLIED`` once the state was read back, and at once with
        ``NOT_HOLDER`` at other instances, which keep it in case they become the
        holder.
        """
        target = _Target(server, state, checks_fencing)
        former = self._targets.get((server, state.kind))
        if former is not None:
            self._end(former, OrderResult.SUPERSEDED)
        self._targets[server, state.kind] = target
        self._work(server)
        return target.waiting

    def withdraw(self, server: str) -> None:
        """Forget the desired states of a backend server."""
        for key in [each for each in self._targets if each[0] == server]:
            self._end(self._targets.pop(key), OrderResult.SUPERSEDED)

    def _lease_changed(self) -> None:
        if self._lease.valid():
            former = LeaseObserver(
                clock=self._clock, time_to_live=self._lease.time_to_live
            )
            left = former.remaining().total_seconds() + self._longest_pause
            self._quiet_until = self._clock.seconds() + left
        for server in sorted({server for server, _kind in self._targets}):
            self._work(server)

    def _end(self, target: _Target, result: OrderResult) -> None:
        if not target.waiting.called:
            self.results[result] += 1
            target.waiting.callback(result)

    def _work(self, server: str) -> None:
        if server in self._busy:
            return
        self._busy.add(server)
        self._reconcile(server).addBoth(self._worked, server)

    def _worked(self, _result: object, server: str) -> None:
        self._busy.discard(server)
        targets = [t for t in self._targets.values() if t.server == server]
        held = self._lease.valid()
        for target in targets if not held else ():
            self._end(target, OrderResult.NOT_HOLDER)
        former = self._calls_by_server.pop(server, None)
        if former is not None and former.active():
            former.cancel()
        if targets:
            done = all(target.waiting.called for target in targets)
            pause = READ_BACK_INTERVAL if done else RETRY_DELAY
            self._calls_by_server[server] = self._clock.callLater(
                pause.total_seconds(), self._work, server
            )

    @inlineCallbacks
    def _reconcile(self, server: str) -> Generator[Any, Any, None]:
        for target in [t for t in self._targets.values() if t.server == server]:
            try:
                yield self._apply(target)
            except OrderRefusedError:
                self.counters[OrderCounter.FENCED_OFF] += 1
            except (CoordinationError, TimeoutError):
                self.counters[OrderCounter.ENGINE_FAILED] += 1

    @inlineCallbacks
    def _apply(self, target: _Target) -> Generator[Any, Any, None]:
        if not target.checks_fencing:
            yield self._wait_out_former_holders()
        if not self._may_send(target):
            return
        if (yield self._in_force(target)):
            self.counters[OrderCounter.ALREADY_APPLIED] += 1
            self._end(target, OrderResult.APPLIED)
            return
        if target.state.load_tokens:
            yield self._acquire(target.state.load_tokens)
        if not self._may_send(target):
            return
        yield self._send(target)
        if (yield self._in_force(target)):
            self._end(target, OrderResult.APPLIED)
        else:
            self.counters[OrderCounter.READ_BACK_DIFFERS] += 1

    def _wait_out_former_holders(self) -> "Deferred[Any]":
        left = self._quiet_until - self._clock.seconds()
        if left <= 0:
            return succeed(None)
        return deferLater(self._clock, left)

    def _may_send(self, target: _Target) -> bool:
        """Check for the last time that this instance may order the target."""
        if self._targets.get((target.server, target.state.kind)) is not target:
            return False
        if not self._lease.valid():
            self.counters[OrderCounter.LEASE_LAPSED] += 1
            return False
        return target.checks_fencing or self._clock.seconds() >= self._quiet_until

    @inlineCallbacks
    def _in_force(self, target: _Target) -> Generator[Any, Any, bool]:
        read = self._engines.read(target.server, target.state.kind)
        value = yield self._bounded(read)
        return value == target.state.value

    @inlineCallbacks
    def _send(self, target: _Target) -> Generator[Any, Any, None]:
        order = Order(target.server, target.state, self._lease.fencing_number)
        self.counters[OrderCounter.SENT] += 1
        yield self._bounded(self._engines.send(order))

    def _bounded(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(ENGINE_TIMEOUT.total_seconds(), self._clock)
