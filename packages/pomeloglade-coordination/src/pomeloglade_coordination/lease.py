"""Leases that end early for their holder and late for everyone else."""

import enum
import random
from collections import Counter
from collections.abc import Callable, Generator
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, TimeoutError, inlineCallbacks
from twisted.python.failure import Failure

from .clock import Clock
from .errors import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from .key_value import ABSENT, Entry, KeyValueStore

LEASE_TIME_TO_LIVE = timedelta(seconds=5)
CLOCK_RATE_MARGIN = 0.01
STORE_TIMEOUT = timedelta(seconds=1)
TRIES_PER_LEASE = 3


class LeaseCounter(enum.Enum):
    """What a lease counts."""

    ACQUIRED = "acquired"
    RENEWED = "renewed"
    LOST = "lost"
    HELD_BY_OTHER = "held_by_other"
    UNAVAILABLE = "unavailable"


class LeaseHolder:
    """Tries to hold a key under a lease, and knows when it no longer does.

    Its own view ends early: the lease counts from when its last renewal was
    *sent*, on the monotonic clock, less a margin for clocks of other rates. A
    process that was frozen past its lease finds ``valid()`` false at once, so
    ask it as the last step before each effect.

    Parameters
    ----------
    key : str
        The key to hold; its value is the name of the holder.
    time_to_live : timedelta
        How long the lease lasts without renewal.
    changed : callable
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
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self.counters: Counter[LeaseCounter] = Counter()
        self.time_to_live = time_to_live
        self._clock = clock
        self._store = store
        self._key = key
        self._holder = holder
        self._random = random
        self._seconds = time_to_live.total_seconds()
        self._changed = changed
        self._lease = ""
        self._fencing_number = 0
        self._valid_until = 0.0
        self._call: Any = None
        self._running = False

    @property
    def fencing_number(self) -> int:
        """The revision at which the key was taken; grows with each holder."""
        return self._fencing_number

    def valid(self) -> bool:
        """Return whether the key is certainly still held."""
        return self._fencing_number > 0 and self._clock.seconds() < self._valid_until

    def start(self) -> None:
        """Begin to acquire and renew the lease."""
        if not self._running:
            self._running = True
            self._try()

    def stop(self) -> "Deferred[None]":
        """Stop renewing, and release the key if it is held."""
        self._running = False
        if self._call is not None and self._call.active():
            self._call.cancel()
        fencing_number = self._fencing_number
        self._drop()
        if not fencing_number:
            return self._ignoring_errors(None)
        deleted = self._store.delete(self._key, expected=fencing_number)
        return self._ignoring_errors(self._bounded(deleted))

    def _ignoring_errors(self, call: "Deferred[Any] | None") -> "Deferred[None]":
        done: Deferred[None] = Deferred()
        if call is None:
            done.callback(None)
        else:
            call.addBoth(lambda _result: done.callback(None))
        return done

    def _try(self) -> None:
        held = self.valid()
        if self._fencing_number and not held:
            self._drop()
        step = self._renew() if self._fencing_number else self._acquire()
        step.addErrback(self._failed)
        step.addBoth(self._schedule)

    def _schedule(self, _result: object) -> None:
        if self._running:
            pause = self._seconds / TRIES_PER_LEASE * self._random.uniform(0.8, 1.0)
            self._call = self._clock.callLater(pause, self._try)

    def _failed(self, failure: Failure) -> None:
        failure.trap(KeyValueError, TimeoutError)
        self.counters[LeaseCounter.UNAVAILABLE] += 1

    @inlineCallbacks
    def _renew(self) -> Generator[Any, Any, None]:
        sent = self._clock.seconds()
        fencing_number = self._fencing_number
        try:
            yield self._bounded(self._store.renew_lease(self._lease))
        except LeaseNotFoundError:
            self._drop()
            return
        if fencing_number == self._fencing_number:
            self.counters[LeaseCounter.RENEWED] += 1
            self._extend(sent)

    @inlineCallbacks
    def _acquire(self) -> Generator[Any, Any, None]:
        entry: Entry | None = yield self._bounded(self._store.get(self._key))
        if entry is not None:
            self.counters[LeaseCounter.HELD_BY_OTHER] += 1
            return
        sent = self._clock.seconds()
        lease = yield self._bounded(self._store.grant_lease(self.time_to_live))
        value = f"{self._holder} {lease}".encode()
        try:
            revision = yield self._bounded(
                self._store.put(self._key, value, expected=ABSENT, lease=lease)
            )
        except RevisionConflictError:
            self.counters[LeaseCounter.HELD_BY_OTHER] += 1
            return
        except (KeyValueOutcomeUnknownError, TimeoutError):
            entry = yield self._bounded(self._store.get(self._key))
            if entry is None or entry.value != value:
                return
            revision = entry.revision
        if self._running:
            self._take(lease, revision, sent)

    def _take(self, lease: str, revision: int, sent: float) -> None:
        self._lease = lease
        self._fencing_number = revision
        self.counters[LeaseCounter.ACQUIRED] += 1
        self._extend(sent)
        self._changed()

    def _extend(self, sent: float) -> None:
        self._valid_until = sent + self._seconds * (1.0 - CLOCK_RATE_MARGIN)

    def _drop(self) -> None:
        if self._fencing_number:
            self._fencing_number = 0
            self._valid_until = 0.0
            self.counters[LeaseCounter.LOST] += 1
            self._changed()

    def _bounded(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(STORE_TIMEOUT.total_seconds(), self._clock)


class LeaseObserver:
    """Tells when a lease of another instance has certainly ended.

    Its view ends late: a lease counts from when this instance last *saw* it
    held, plus a margin for clocks of other rates.

    Parameters
    ----------
    time_to_live : timedelta
        The lease's time to live, as its holder uses it.
    """

    def __init__(
        self, *, clock: Clock, time_to_live: timedelta = LEASE_TIME_TO_LIVE
    ) -> None:
        self._clock = clock
        self._seconds = time_to_live.total_seconds() * (1.0 + CLOCK_RATE_MARGIN)
        self._seen = clock.seconds()

    def seen(self) -> None:
        """Note that the lease was held just now, or may have been."""
        self._seen = self._clock.seconds()

    def remaining(self) -> timedelta:
        """Return how long the lease may still be valid for its holder."""
        left = self._seen + self._seconds - self._clock.seconds()
        return timedelta(seconds=max(0.0, left))

    def ended(self) -> bool:
        """Return whether no holder can still find its lease valid."""
        return self.remaining() == timedelta(0)
