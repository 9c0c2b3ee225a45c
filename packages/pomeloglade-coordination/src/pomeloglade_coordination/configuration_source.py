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
"""A watch that has not answered so long after its end has gone silent."""

READ_TIMEOUT_SECONDS = 2.0
ASSEMBLE_TIMEOUT_SECONDS = 10.0
WATCHER_POLL_SECONDS = 1.25
WATCHER_POLL_MOST_SECONDS = 2.5
WATCHER_POLL_BYTES_PER_SECOND = 2_000
"""Polls of a large manifest are further apart, within the most seconds."""

POLL_SECONDS = 30.0
"""How often an instance polls that does not watch, give or take a half."""

RETRY_SECONDS = 0.5


class ConfigurationEvent(enum.Enum):
    """What the spread refused, ignored or repeated; each has its counter."""

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
    """Who follows the platform's configuration."""

    def is_watcher(self) -> bool:
        """Tell whether this instance watches for its zone."""

    def seen(self) -> int:
        """Return the highest revision adopted or rejected."""

    def adopt(self, revision: int, value: bytes) -> None:
        """Take a later revision."""


class ConfigurationSource:
    """Watches and polls the configuration's key.

    A watching instance keeps one watch waiting and polls often; the polls find what
    a watch that went silent has missed. The others poll at long intervals.

    Parameters
    ----------
    clock : IReactorTime
        Times watches and polls.
    store : KeyValueStore
        The platform's service.
    follower : Follower
        Gets what is new.
    counters : Counter
        Counts failures and silences.
    random : random.Random
        Spreads the polls.
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
        self.answered: float | None = None
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
        """Begin to watch and to poll."""
        self._running = True
        self._poll()
        self._watch()

    def stop(self) -> None:
        """End the timers and the waiting watch."""
        self._running = False
        for call in self._calls_by_name.values():
            try:
                call.cancel()
            except (AlreadyCalled, AlreadyCancelled):
                continue
        if self._watching is not None:
            self._watching.cancel()

    def role_changed(self) -> None:
        """End the watch of an instance that is no longer to watch."""
        if self._watching is not None and not self._follower.is_watcher():
            self._watching.cancel()

    def _later(self, name: str, seconds: float, call: Callable[[], Any]) -> None:
        if self._running:
            self._calls_by_name[name] = self._clock.callLater(seconds, call)

    @inlineCallbacks
    def _watch(self) -> Generator[Any, Any, None]:
        """Wait for one change; begins again by itself."""
        if not self._running:
            return
        if not self._follower.is_watcher():
            self._later("watch", RETRY_SECONDS, self._watch)
            return
        pause = 0.0
        try:
            self._watching = self._store.watch(
                CONFIGURATION_KEY,
                self._follower.seen(),
                timedelta(seconds=WATCH_SECONDS),
            )
            silent = WATCH_SECONDS + WATCH_MARGIN_SECONDS
            self._watching.addTimeout(silent, self._clock)
            entries = yield self._watching
        except TimeoutError:
            self._counters[ConfigurationEvent.WATCH_SILENT] += 1
        except CancelledError:
            pause = RETRY_SECONDS
        except Exception:  # no fault of the store may end the loop
            self._counters[ConfigurationEvent.WATCH_FAILED] += 1
            pause = RETRY_SECONDS * (1 + self._random.random())
        else:
            self.answered = self._clock.seconds()
            pause = yield self._take_entries(entries)
        self._watching = None
        self._later("watch", pause, self._watch)

    @inlineCallbacks
    def _take_entries(self, entries: Iterable[Entry]) -> Generator[Any, Any, float]:
        """Adopt what a watch returned; return how long to pause after it."""
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.value:
                yield self._take(entry)
                return 0.0 if self._follower.seen() >= entry.revision else RETRY_SECONDS
        return RETRY_SECONDS

    @inlineCallbacks
    def _poll(self) -> Generator[Any, Any, None]:
        """Read the configuration once; begins again by itself."""
        if not self._running:
            return
        sent = self._clock.seconds()
        size = 0
        try:
            reading = self._store.get(CONFIGURATION_KEY)
            reading.addTimeout(READ_TIMEOUT_SECONDS, self._clock)
            entry = yield reading
        except Exception:  # no fault of the store may end the loop
            self._counters[ConfigurationEvent.POLL_FAILED] += 1
        else:
            self.answered = max(self.answered or sent, sent)
            if entry is not None and entry.value:
                size = len(entry.value)
                if entry.revision > self._follower.seen():
                    self._counters[ConfigurationEvent.FOUND_BY_POLL] += 1
                    yield self._take(entry)
        self._later("poll", self._poll_pause(size), self._poll)

    def _poll_pause(self, size: int) -> float:
        if not self._follower.is_watcher() and self._follower.seen():
            return POLL_SECONDS * self._random.uniform(0.5, 1.5)
        paced = size / WATCHER_POLL_BYTES_PER_SECOND
        pause = min(max(WATCHER_POLL_SECONDS, paced), WATCHER_POLL_MOST_SECONDS)
        return pause * self._random.uniform(0.8, 1.0)

    @inlineCallbacks
    def _take(self, entry: Entry) -> Generator[Any, Any, None]:
        """Assemble the value of an entry and adopt it."""
        if self._assembling or entry.revision <= self._follower.seen():
            return
        self._assembling = True
        try:
            reading = self._configuration.assemble(entry)
            reading.addTimeout(ASSEMBLE_TIMEOUT_SECONDS, self._clock)
            value = yield reading
        except Exception:  # no fault of the store may end the loop
            self._counters[ConfigurationEvent.VALUE_UNREADABLE] += 1
        else:
            self._follower.adopt(entry.revision, value)
        finally:
            self._assembling = False
