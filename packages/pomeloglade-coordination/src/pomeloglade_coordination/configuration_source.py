"""Reads the configuration from the platform, by watches and by polls."""

import enum
import random as random_module
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    TimeoutError,
    inlineCallbacks,
)
from twisted.internet.error import AlreadyCalled, AlreadyCancelled

from .clock import Clock
from .configuration_shards import CONFIGURATION_KEY, ShardedConfiguration
from .key_value import Entry, KeyValueStore

WATCH_SECONDS = 30.0
WATCH_MARGIN_SECONDS = 2.0
"""A watch is given up if no answer came this long after ``WATCH_SECONDS``."""

READ_TIMEOUT_SECONDS = 2.0
ASSEMBLE_TIMEOUT_SECONDS = 10.0
WATCHER_POLL_SECONDS = 1.25
WATCHER_POLL_MAX_SECONDS = 2.5
WATCHER_POLL_BYTES_PER_SECOND = 2_000
"""A larger manifest is polled at this rate instead of every ``WATCHER_POLL_SECONDS``,
but at least every ``WATCHER_POLL_MAX_SECONDS``."""

POLL_SECONDS = 30.0
"""Mean poll interval of an instance that is not a watcher, with 50 % jitter."""

RETRY_SECONDS = 0.5


class ConfigurationEvent(enum.Enum):
    """Events of the configuration's distribution; each has a counter."""

    ADOPTED = "adopted"
    REJECTED = "rejected"
    OLD_REVISION = "old_revision"
    WATCH_SILENT = "watch_silent"
    WATCH_FAILED = "watch_failed"
    POLL_FAILED = "poll_failed"
    FOUND_BY_POLL = "found_by_poll"
    VALUE_UNREADABLE = "value_unreadable"
    DELTA_SENT = "delta_sent"
    DELTA_MISFIT = "delta_misfit"
    TRANSFER_STARTED = "transfer_started"
    TRANSFER_FAILED = "transfer_failed"
    REMINDER_SENT = "reminder_sent"
    UNKNOWN_MESSAGE = "unknown_message"


class Follower(Protocol):
    """Receiver of the configurations that a ``ConfigurationSource`` reads."""

    def is_watcher(self) -> bool:
        """Return whether this instance watches the platform for its zone."""

    def highest_seen(self) -> int:
        """Return the highest revision adopted or rejected."""

    def adopt(self, revision: int, value: bytes) -> None:
        """Adopt a revision that was read from the platform."""


class ConfigurationSource:
    """Watches and polls the key of the configuration.

    A watcher keeps one watch pending and polls often; the polls find changes that a
    watch without an answer has missed. The others poll at long intervals.

    Parameters
    ----------
    clock : IReactorTime
        Schedules watches and polls.
    store : KeyValueStore
        The platform's key-value service.
    follower : Follower
        Receives each higher revision.
    counters : Counter
        Counts failures and changes found by polls.
    random : random.Random
        Adds jitter to polls and retries.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store: KeyValueStore,
        follower: Follower,
        counters: Counter[ConfigurationEvent],
        random: random_module.Random,
    ) -> None:
        self.last_answer: float | None = None
        self._clock = clock
        self._store = store
        self._follower = follower
        self._counters = counters
        self._random = random
        self._configuration = ShardedConfiguration(store)
        self._running = False
        self._assembling = False
        self._calls_by_name: dict[str, Any] = {}
        self._watching: Deferred[Any] | None = None

    def start(self) -> None:
        """Start to watch and to poll."""
        self._running = True
        self._poll()
        self._watch()

    def stop(self) -> None:
        """Cancel the timers and the pending watch."""
        self._running = False
        for call in self._calls_by_name.values():
            try:
                call.cancel()
            except (AlreadyCalled, AlreadyCancelled):
                continue
        if self._watching is not None:
            self._watching.cancel()

    def role_changed(self) -> None:
        """Cancel the pending watch if this instance is no longer a watcher."""
        if self._watching is not None and not self._follower.is_watcher():
            self._watching.cancel()

    def _schedule(self, name: str, seconds: float, call: Callable[[], Any]) -> None:
        if self._running:
            self._calls_by_name[name] = self._clock.callLater(seconds, call)

    @inlineCallbacks
    def _watch(self) -> Generator[Any, Any, None]:
        """Wait for one change, and schedule the next watch."""
        if not self._running:
            return
        if not self._follower.is_watcher():
            self._schedule("watch", RETRY_SECONDS, self._watch)
            return
        pause = 0.0
        try:
            self._watching = self._store.watch(
                CONFIGURATION_KEY,
                self._follower.highest_seen(),
                timedelta(seconds=WATCH_SECONDS),
            )
            limit = WATCH_SECONDS + WATCH_MARGIN_SECONDS
            self._watching.addTimeout(limit, self._clock)
            entries = yield self._watching
        except TimeoutError:
            self._counters[ConfigurationEvent.WATCH_SILENT] += 1
        except CancelledError:
            pause = RETRY_SECONDS
        except Exception:  # no store error may end the loop
            self._counters[ConfigurationEvent.WATCH_FAILED] += 1
            pause = RETRY_SECONDS * (1 + self._random.random())
        else:
            self.last_answer = self._clock.seconds()
            pause = yield self._adopt_entries(entries)
        self._watching = None
        self._schedule("watch", pause, self._watch)

    @inlineCallbacks
    def _adopt_entries(self, entries: Iterable[Entry]) -> Generator[Any, Any, float]:
        """Adopt the entry of a watch; return the seconds until the next watch."""
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.value:
                yield self._adopt_entry(entry)
                return (
                    0.0
                    if self._follower.highest_seen() >= entry.revision
                    else RETRY_SECONDS
                )
        return RETRY_SECONDS

    @inlineCallbacks
    def _poll(self) -> Generator[Any, Any, None]:
        """Read the configuration once, and schedule the next poll."""
        if not self._running:
            return
        sent = self._clock.seconds()
        size = 0
        try:
            reading = self._store.get(CONFIGURATION_KEY)
            reading.addTimeout(READ_TIMEOUT_SECONDS, self._clock)
            entry = yield reading
        except Exception:  # no store error may end the loop
            self._counters[ConfigurationEvent.POLL_FAILED] += 1
        else:
            self.last_answer = max(self.last_answer or sent, sent)
            if entry is not None and entry.value:
                size = len(entry.value)
                if entry.revision > self._follower.highest_seen():
                    self._counters[ConfigurationEvent.FOUND_BY_POLL] += 1
                    yield self._adopt_entry(entry)
        self._schedule("poll", self._poll_pause(size), self._poll)

    def _poll_pause(self, size: int) -> float:
        if not self._follower.is_watcher() and self._follower.highest_seen():
            return POLL_SECONDS * self._random.uniform(0.5, 1.5)
        paced = size / WATCHER_POLL_BYTES_PER_SECOND
        pause = min(max(WATCHER_POLL_SECONDS, paced), WATCHER_POLL_MAX_SECONDS)
        return pause * self._random.uniform(0.8, 1.0)

    @inlineCallbacks
    def _adopt_entry(self, entry: Entry) -> Generator[Any, Any, None]:
        """Assemble the value of an entry and adopt it."""
        if self._assembling or entry.revision <= self._follower.highest_seen():
            return
        self._assembling = True
        try:
            reading = self._configuration.assemble(entry)
            reading.addTimeout(ASSEMBLE_TIMEOUT_SECONDS, self._clock)
            value = yield reading
        except Exception:  # no store error may end the loop
            self._counters[ConfigurationEvent.VALUE_UNREADABLE] += 1
        else:
            self._follower.adopt(entry.revision, value)
        finally:
            self._assembling = False
