"""Leases that expire early for their holder and late for everyone else."""

import enum
import random
from collections import Counter
from collections.abc import Callable, Generator
from datetime import timedelta
from typing import Any

from twisted.internet.defer import (
    Deferred,
    TimeoutError,
    inlineCallbacks,
    maybeDeferred,
)
from twisted.python.failure import Failure

from .clock import Clock
from .errors import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from .key_value import ABSENT, Entry, KeyValueStore
from .lasting_tasks import report_failure
from .store_era import era_of

LEASE_TIME_TO_LIVE = timedelta(seconds=5)
CLOCK_RATE_MARGIN = 0.01
"""Tolerated deviation of a clock's rate, as a fraction."""

STORE_TIMEOUT = timedelta(seconds=1)
ATTEMPTS_PER_LEASE = 3
"""Attempts to acquire or renew the lease within its time to live."""


class LeaseCounter(enum.Enum):
    """Events that a lease holder counts."""

    ACQUIRED = "acquired"
    RENEWED = "renewed"
    LOST = "lost"
    HELD_BY_OTHER = "held_by_other"
    UNAVAILABLE = "unavailable"


class LeaseHolder:
    """Acquires a key under a lease, renews it, and detects its loss.

    For its holder the lease expires early: its time to live counts from when the
    last renewal was *sent*, on the monotonic clock, less a margin for clocks that
    run at different rates. ``valid()`` is false as soon as a process resumes after
    a pause longer than its lease, so check it as the last step before each side
    effect.

    Parameters
    ----------
    key : str
        The key to hold; its value names the holder and the lease.
    time_to_live : timedelta
        How long the lease lasts without renewal.
    on_change : callable
        Called after the lease was acquired or lost.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        key: str,
        holder: str,
        random: random.Random,
        time_to_live: timedelta = LEASE_TIME_TO_LIVE,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.counters: Counter[LeaseCounter] = Counter()
        self.time_to_live = time_to_live
        self._clock = clock
        self._store = store
        self._key = key
        self._holder = holder
        self._random = random
        self._ttl_seconds = time_to_live.total_seconds()
        self._changed = on_change
        self._lease = ""
        self._fencing_token = 0
        self._valid_until = 0.0
        self._timer: Any = None
        self._running = False
        store.era.subscribe(self._era_changed)

    @property
    def fencing_token(self) -> int:
        """The fencing token: the position at which the key was acquired.

        It grows with each holder, also when the store returns from an older copy. It is
        0 before the key is acquired, and after its loss was detected.
        """
        return self._fencing_token

    def valid(self) -> bool:
        """Return whether the key is certainly still held."""
        return self._fencing_token > 0 and self._clock.seconds() < self._valid_until

    def start(self) -> None:
        """Start acquiring and renewing the lease."""
        if not self._running:
            self._running = True
            self._attempt()

    def stop(self) -> "Deferred[None]":
        """Stop renewing, and release the key if it is held."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        fencing_token = self._fencing_token
        self._record_lost()
        if not fencing_token:
            return self._ignoring_errors(None)
        deleted = self._store.delete(self._key, expected=fencing_token)
        return self._ignoring_errors(self._with_timeout(deleted))

    def _ignoring_errors(self, call: "Deferred[Any] | None") -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        if call is None:
            done.callback(None)
        else:
            call.addBoth(lambda _result: done.callback(None))
        return done

    def _attempt(self) -> None:
        maybeDeferred(self._try_to_hold).addErrback(self._failed).addBoth(
            self._schedule
        )

    def _try_to_hold(self) -> "Deferred[None]":
        if self._fencing_token and not self.valid():
            self._record_lost()
        return self._renew() if self._fencing_token else self._acquire()

    def _schedule(self, _result: object) -> None:
        if self._running:
            delay = (
                self._ttl_seconds / ATTEMPTS_PER_LEASE * self._random.uniform(0.8, 1.0)
            )
            self._timer = self._clock.callLater(delay, self._attempt)

    def _failed(self, failure: Failure) -> None:
        self.counters[LeaseCounter.UNAVAILABLE] += 1
        if not failure.check(KeyValueError, TimeoutError):
            report_failure(failure, "lease")

    @inlineCallbacks
    def _renew(self) -> Generator[Any, Any, None]:
        sent_at = self._clock.seconds()
        fencing_token = self._fencing_token
        try:
            yield self._with_timeout(self._store.renew_lease(self._lease))
        except LeaseNotFoundError:
            self._record_lost()
            return
        if fencing_token == self._fencing_token:
            self.counters[LeaseCounter.RENEWED] += 1
            self._extend(sent_at)

    @inlineCallbacks
    def _acquire(self) -> Generator[Any, Any, None]:
        entry: Entry | None = yield self._with_timeout(self._store.get(self._key))
        if entry is not None:
            self.counters[LeaseCounter.HELD_BY_OTHER] += 1
            return
        sent_at = self._clock.seconds()
        lease = yield self._with_timeout(self._store.grant_lease(self.time_to_live))
        value = f"{self._holder} {lease}".encode()
        try:
            revision = yield self._with_timeout(
                self._store.put(self._key, value, expected=ABSENT, lease=lease)
            )
        except RevisionConflictError:
            self.counters[LeaseCounter.HELD_BY_OTHER] += 1
            return
        except (KeyValueOutcomeUnknownError, TimeoutError):
            entry = yield self._with_timeout(self._store.get(self._key))
            if entry is None or entry.value != value:
                return
            revision = entry.revision
        if self._running and era_of(revision) == self._store.era.current:
            self._record_acquired(lease, revision, sent_at)

    def _record_acquired(self, lease: str, revision: int, sent_at: float) -> None:
        self._lease = lease
        self._fencing_token = revision
        self.counters[LeaseCounter.ACQUIRED] += 1
        self._extend(sent_at)
        self._changed()

    def _extend(self, sent_at: float) -> None:
        self._valid_until = sent_at + self._ttl_seconds * (1.0 - CLOCK_RATE_MARGIN)

    def _era_changed(self) -> None:
        """Give the key up: its lease was of an earlier era of the store."""
        if era_of(self._fencing_token) != self._store.era.current:
            self._record_lost()

    def _record_lost(self) -> None:
        if self._fencing_token:
            self._fencing_token = 0
            self._valid_until = 0.0
            self.counters[LeaseCounter.LOST] += 1
            self._changed()

    def _with_timeout(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(STORE_TIMEOUT.total_seconds(), self._clock)


class LeaseObserver:
    """Determines when a lease of another instance has certainly expired.

    For an observer the lease expires late: its time to live counts from when this
    instance last *saw* it held, plus a margin for clocks that run at different
    rates.

    Parameters
    ----------
    time_to_live : timedelta
        The time to live that the lease's holder uses.
    """

    def __init__(
        self, *, clock: Clock, time_to_live: timedelta = LEASE_TIME_TO_LIVE
    ) -> None:
        self._clock = clock
        self._ttl_seconds = time_to_live.total_seconds() * (1.0 + CLOCK_RATE_MARGIN)
        self._last_held_at = clock.seconds()

    def mark_held(self) -> None:
        """Record that the lease was held just now, or may have been."""
        self._last_held_at = self._clock.seconds()

    def remaining(self) -> timedelta:
        """Return how long the lease may still be valid for its holder."""
        remaining = self._last_held_at + self._ttl_seconds - self._clock.seconds()
        return timedelta(seconds=max(0.0, remaining))

    def expired(self) -> bool:
        """Return whether no holder can still consider the lease valid."""
        return self.remaining() == timedelta(0)
