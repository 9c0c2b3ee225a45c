"""Reconciles engines with their desired states, by one lease holder per zone."""

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

MAX_PROCESS_PAUSE = timedelta(seconds=30)
ENGINE_TIMEOUT = timedelta(seconds=10)
RETRY_DELAY = timedelta(seconds=1)
READ_BACK_INTERVAL = timedelta(seconds=15)


class OrderKind(enum.Enum):
    """The property of an engine that an order sets."""

    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"
    ROLE = "role"


class OrderResult(enum.Enum):
    """The outcome of an order at this instance."""

    APPLIED = "applied"
    NOT_HOLDER = "not_holder"
    SUPERSEDED = "superseded"


class OrderCounter(enum.Enum):
    """Events counted in addition to the results."""

    SENT = "sent"
    ALREADY_APPLIED = "already_applied"
    FENCED_OFF = "fenced_off"
    LEASE_LAPSED = "lease_lapsed"
    READ_BACK_DIFFERS = "read_back_differs"
    ENGINE_FAILED = "engine_failed"


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The value that one property of an engine should have.

    ``load_tokens`` is the number of tokens of the weight store's rate limit that
    setting it costs, 0 when no weights are loaded.
    """

    kind: OrderKind
    value: str
    load_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Order:
    """An order as it is sent to an engine."""

    server: str
    state: DesiredState
    fencing_token: int


class OrderRefusedError(CoordinationError):
    """The engine has seen a higher fencing token."""


class OrderSender(Protocol):
    """Sends orders to engines and reads their state."""

    def send(self, order: Order) -> "Deferred[None]":
        """Send an order; fails with ``OrderRefusedError`` if its token is too old."""

    def read(self, server: str, kind: OrderKind) -> "Deferred[str]":
        """Return the value that an engine has in force."""


@dataclass(slots=True)
class _Target:
    server: str
    state: DesiredState
    checks_fencing: bool
    result: "Deferred[OrderResult]" = field(default_factory=Deferred)


def _no_limit(_tokens: int) -> "Deferred[None]":
    return succeed(None)


class Orders:
    """Reconciles the engines of one zone with their desired states.

    Every instance of the zone is given the desired states, but only the holder of
    the zone's lease sends orders. Orders are idempotent. An engine that doesn't
    check fencing tokens gets no order until the leases of all earlier holders have
    expired and the longest pause of a process has passed since, so that none of
    them can still send one. The value in force is read before and after an order,
    and again every ``READ_BACK_INTERVAL``.

    Parameters
    ----------
    availability_zone : str
        The zone of the engines.
    engines : OrderSender
        Sends orders to the engines and reads their values.
    acquire : callable
        Acquires tokens of the weight store's rate limit; its Deferred fires when
        they are granted.
    longest_pause : timedelta
        Longest time for which a process may be paused between its last check of
        the lease and the sending of an order.
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
        longest_pause: timedelta = MAX_PROCESS_PAUSE,
    ) -> None:
        self.counters: Counter[OrderCounter] = Counter()
        self.results: Counter[OrderResult] = Counter()
        self._clock = clock
        self._engines = engines
        self._acquire = acquire
        self._longest_pause = longest_pause.total_seconds()
        self._earliest_send = 0.0
        self._targets: dict[tuple[str, OrderKind], _Target] = {}
        self._reconciling: set[str] = set()
        self._timers_by_server: dict[str, Any] = {}
        self._lease = LeaseHolder(
            clock=clock,
            store=store,
            key=f"orders/{availability_zone}",
            holder=f"{own.instance}.{own.incarnation}",
            random=random,
            time_to_live=time_to_live,
            on_change=self._lease_changed,
        )

    @property
    def lease(self) -> LeaseHolder:
        """The lease whose holder sends the zone's orders."""
        return self._lease

    def start(self) -> None:
        """Start trying to acquire the lease."""
        self._lease.start()

    def stop(self) -> "Deferred[None]":
        """Release the lease; orders already sent may still take effect."""
        return self._lease.stop()

    def set_desired_state(
        self, server: str, state: DesiredState, *, checks_fencing: bool
    ) -> "Deferred[OrderResult]":
        """Set the desired state of ``server``, superseding an earlier one.

        Fires with ``APPLIED`` once the state was read back. At an instance that
        doesn't hold the lease it fires at once with ``NOT_HOLDER``; the state is
        kept in case the instance becomes the holder.
        """
        target = _Target(server, state, checks_fencing)
        previous = self._targets.get((server, state.kind))
        if previous is not None:
            self._resolve(previous, OrderResult.SUPERSEDED)
        self._targets[server, state.kind] = target
        self._start_reconciling(server)
        return target.result

    def remove_desired_states(self, server: str) -> None:
        """Remove the desired states of a backend server."""
        for key in [each for each in self._targets if each[0] == server]:
            self._resolve(self._targets.pop(key), OrderResult.SUPERSEDED)

    def _lease_changed(self) -> None:
        if self._lease.valid():
            earlier_lease = LeaseObserver(
                clock=self._clock, time_to_live=self._lease.time_to_live
            )
            wait = earlier_lease.remaining().total_seconds() + self._longest_pause
            self._earliest_send = self._clock.seconds() + wait
        for server in sorted({server for server, _kind in self._targets}):
            self._start_reconciling(server)

    def _resolve(self, target: _Target, result: OrderResult) -> None:
        if not target.result.called:
            self.results[result] += 1
            target.result.callback(result)

    def _start_reconciling(self, server: str) -> None:
        if server in self._reconciling:
            return
        self._reconciling.add(server)
        self._reconcile(server).addBoth(self._reconciled, server)

    def _reconciled(self, _result: object, server: str) -> None:
        self._reconciling.discard(server)
        targets = [t for t in self._targets.values() if t.server == server]
        lease_valid = self._lease.valid()
        for target in targets if not lease_valid else ():
            self._resolve(target, OrderResult.NOT_HOLDER)
        timer = self._timers_by_server.pop(server, None)
        if timer is not None and timer.active():
            timer.cancel()
        if targets:
            done = all(target.result.called for target in targets)
            delay = READ_BACK_INTERVAL if done else RETRY_DELAY
            self._timers_by_server[server] = self._clock.callLater(
                delay.total_seconds(), self._start_reconciling, server
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
            yield self._wait_for_earlier_leases()
        if not self._may_send(target):
            return
        if (yield self._is_in_force(target)):
            self.counters[OrderCounter.ALREADY_APPLIED] += 1
            self._resolve(target, OrderResult.APPLIED)
            return
        if target.state.load_tokens:
            yield self._acquire(target.state.load_tokens)
        if not self._may_send(target):
            return
        yield self._send(target)
        if (yield self._is_in_force(target)):
            self._resolve(target, OrderResult.APPLIED)
        else:
            self.counters[OrderCounter.READ_BACK_DIFFERS] += 1

    def _wait_for_earlier_leases(self) -> "Deferred[Any]":
        wait = self._earliest_send - self._clock.seconds()
        if wait <= 0:
            return succeed(None)
        return deferLater(self._clock, wait)

    def _may_send(self, target: _Target) -> bool:
        """Return whether an order may be sent; checked again right before sending."""
        if self._targets.get((target.server, target.state.kind)) is not target:
            return False
        if not self._lease.valid():
            self.counters[OrderCounter.LEASE_LAPSED] += 1
            return False
        return target.checks_fencing or self._clock.seconds() >= self._earliest_send

    @inlineCallbacks
    def _is_in_force(self, target: _Target) -> Generator[Any, Any, bool]:
        read = self._engines.read(target.server, target.state.kind)
        value = yield self._with_timeout(read)
        return value == target.state.value

    @inlineCallbacks
    def _send(self, target: _Target) -> Generator[Any, Any, None]:
        order = Order(target.server, target.state, self._lease.fencing_token)
        self.counters[OrderCounter.SENT] += 1
        yield self._with_timeout(self._engines.send(order))

    def _with_timeout(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(ENGINE_TIMEOUT.total_seconds(), self._clock)
