"""Spread of the operators' configuration to every instance."""

import enum
import random as random_module
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from datetime import timedelta
from functools import singledispatchmethod
from typing import Any

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    TimeoutError,
    inlineCallbacks,
)
from twisted.internet.error import AlreadyCalled, AlreadyCancelled

from .clock import Clock
from .configuration_delta import apply, difference, digest
from .configuration_messages import (
    ConfigurationChunk,
    ConfigurationDelta,
    ConfigurationRequest,
    ConfigurationRevision,
    InstanceRevision,
    Revisions,
    RevisionsRequest,
)
from .configuration_shards import (
    CONFIGURATION_KEY,
    PublishedConfiguration,
    ShardedConfiguration,
)
from .configuration_transfer import Transfer, TransferError, chunks
from .errors import CoordinationError
from .key_value import Entry, KeyValueStore
from .members import MembershipView
from .peer import PeerMessage, PeerSender
from .zones import contacts

__all__ = [
    "CONFIGURATION_KEY",
    "ConfigurationEvent",
    "ConfigurationSpread",
    "PublishedConfiguration",
    "ShardedConfiguration",
]

STEP_SECONDS = 0.25
"""How often an instance looks for peers that are behind or ahead."""

WATCH_SECONDS = 30.0
WATCH_MARGIN_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 2.0
WATCHER_POLL_SECONDS = 1.25
WATCHER_POLL_MOST_SECONDS = 5.0
WATCHER_POLL_BYTES_PER_SECOND = 2_000
"""Polls of a large manifest are further apart, within the most seconds."""

POLL_SECONDS = 30.0
RETRY_SECONDS = 0.5
ANNOUNCE_SECONDS = 5.0
REMIND_SECONDS = 0.5
REMINDERS_FOR_SECONDS = 5.0
SECOND_PUSH_SECONDS = 0.3
CUT_OFF_SECONDS = 20.0
DELTA_HISTORY = 16
DELTA_BYTES = 65_536


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


class ConfigurationSpread:
    """Brings every published configuration into force here, once and in order.

    The contacts of each zone watch the platform and poll it; the others get changes
    from them, and poll at long intervals. Peers tell each other their revisions,
    and whoever is behind asks for the difference or for the whole value. Only a
    higher revision is ever adopted.

    Parameters
    ----------
    clock : IReactorTime
        Times polls and retries.
    members : MembershipView
        The live instances.
    sender : PeerSender
        Sends the messages.
    store : KeyValueStore
        The platform's service.
    adopt : callable
        Takes a revision and its value into force; raises to refuse it.
    random : random.Random
        Spreads polls and chooses peers.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        sender: PeerSender,
        store: KeyValueStore,
        adopt: Callable[[int, bytes], None],
        random: random_module.Random | None = None,
    ) -> None:
        self.revision = 0
        self.value = b""
        self.counters: Counter[ConfigurationEvent] = Counter()
        self._clock = clock
        self._members = members
        self._sender = sender
        self._store = store
        self._adopt_value = adopt
        self._random = random or random_module.Random()
        self._configuration = ShardedConfiguration(store)
        self._running = False
        self._calls: dict[str, Any] = {}
        self._watching: Deferred[Any] | None = None
        self._assembling = False
        self._digest = b""
        self._rejected_revision = 0
        self._confirmed = -CUT_OFF_SECONDS
        self._deltas_by_base: dict[int, ConfigurationDelta] = {}
        self._revisions_by_instance: dict[str, int] = {}
        self._known: set[tuple[str, int]] = set()
        self._transfer: Transfer | None = None
        self._changed = clock.seconds()
        self._announced = clock.seconds()
        self._reminded = clock.seconds()
        self._asked = clock.seconds() - RETRY_SECONDS
        members.subscribe(self._members_changed)

    # The state

    @property
    def cut_off(self) -> bool:
        """Whether the platform's word is older than ``CUT_OFF_SECONDS``.

        It counts from the platform's last answer to this instance or to any peer
        that passed it on.
        """
        return self._clock.seconds() - self._confirmed >= CUT_OFF_SECONDS

    def in_force_by_instance(self) -> dict[str, int]:
        """Return the revision that each live instance reported last.

        Only the watching instances are told of every report. On the others, each
        call also asks a watching one, and a later call sees its answer.
        """
        self._ask_revisions()
        found = {self._own: self.revision}
        for member in self._members.live():
            revision = self._revisions_by_instance.get(member.instance)
            if revision is not None and member.instance != self._own:
                found[member.instance] = revision
        return found

    def start(self) -> None:
        """Begin to watch, to poll and to tell the peers."""
        self._running = True
        self._step()
        self._poll()
        self._watch()

    def stop(self) -> None:
        """End all timers and the waiting watch."""
        self._running = False
        for call in self._calls.values():
            try:
                call.cancel()
            except (AlreadyCalled, AlreadyCancelled):
                continue
        if self._watching is not None:
            self._watching.cancel()

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message of the configuration's spread."""
        self._handle(message, instance)

    # The platform

    def _later(self, name: str, seconds: float, call: Callable[[], Any]) -> None:
        if self._running:
            self._calls[name] = self._clock.callLater(seconds, call)

    @inlineCallbacks
    def _watch(self) -> Generator[Any, Any, None]:
        """Wait for one change; begins again by itself."""
        if not self._running:
            return
        if not self._is_watcher():
            self._later("watch", RETRY_SECONDS, self._watch)
            return
        pause = 0.0
        try:
            self._watching = self._store.watch(
                CONFIGURATION_KEY, self._seen(), timedelta(seconds=WATCH_SECONDS)
            )
            silent = WATCH_SECONDS + WATCH_MARGIN_SECONDS
            self._watching.addTimeout(silent, self._clock)
            entries = yield self._watching
        except TimeoutError:
            self.counters[ConfigurationEvent.WATCH_SILENT] += 1
        except CancelledError:
            pause = RETRY_SECONDS
        except CoordinationError:
            self.counters[ConfigurationEvent.WATCH_FAILED] += 1
            pause = RETRY_SECONDS * (1 + self._random.random())
        else:
            self._confirmed = self._clock.seconds()
            pause = yield self._take_entries(entries)
        self._watching = None
        self._later("watch", pause, self._watch)

    @inlineCallbacks
    def _take_entries(self, entries: Iterable[Entry]) -> Generator[Any, Any, float]:
        """Adopt what a watch returned; return how long to pause after it."""
        for entry in entries:
            if entry.key == CONFIGURATION_KEY and entry.value:
                yield self._take(entry)
                return 0.0 if self._seen() >= entry.revision else RETRY_SECONDS
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
        except (CoordinationError, TimeoutError):
            self.counters[ConfigurationEvent.POLL_FAILED] += 1
        else:
            self._confirmed = max(self._confirmed, sent)
            if entry is not None and entry.value:
                size = len(entry.value)
                if entry.revision > self._seen():
                    self.counters[ConfigurationEvent.FOUND_BY_POLL] += 1
                    yield self._take(entry)
        self._later("poll", self._poll_pause(size), self._poll)

    def _poll_pause(self, size: int) -> float:
        if not self._is_watcher() and self.revision:
            return POLL_SECONDS * self._random.uniform(0.5, 1.5)
        paced = size / WATCHER_POLL_BYTES_PER_SECOND
        pause = min(max(WATCHER_POLL_SECONDS, paced), WATCHER_POLL_MOST_SECONDS)
        return pause * self._random.uniform(0.8, 1.0)

    @inlineCallbacks
    def _take(self, entry: Entry) -> Generator[Any, Any, None]:
        """Assemble the value of an entry and adopt it."""
        if self._assembling or entry.revision <= self._seen():
            return
        self._assembling = True
        try:
            reading = self._configuration.assemble(entry)
            reading.addTimeout(READ_TIMEOUT_SECONDS, self._clock)
            value = yield reading
        except (CoordinationError, TimeoutError):
            self.counters[ConfigurationEvent.VALUE_UNREADABLE] += 1
        else:
            self._adopt(entry.revision, value, source=self._own)
        finally:
            self._assembling = False

    # Adoption

    @property
    def _own(self) -> str:
        return self._members.own.instance

    def _seen(self) -> int:
        return max(self.revision, self._rejected_revision)

    def _adopt(self, revision: int, value: bytes, source: str) -> None:
        if revision <= self._seen():
            self.counters[ConfigurationEvent.OLD_REVISION] += 1
            return
        try:
            self._adopt_value(revision, value)
        except Exception:  # whatever the value did to the decoder, keep the old one
            self.counters[ConfigurationEvent.REJECTED] += 1
            self._rejected_revision = revision
            return
        self.counters[ConfigurationEvent.ADOPTED] += 1
        self._remember(revision, value)
        self._changed = self._clock.seconds()
        self._transfer = None
        self._tell_adopted(source)

    def _remember(self, revision: int, value: bytes) -> None:
        """Keep the value, and the delta to it for peers one revision behind."""
        found = digest(value)
        if self.revision and self._is_watcher():
            splices = difference(self.value, value)
            if sum(len(each.replacement) for each in splices) <= DELTA_BYTES:
                delta = ConfigurationDelta(self.revision, revision, found, splices)
                self._deltas_by_base[self.revision] = delta
        while len(self._deltas_by_base) > DELTA_HISTORY:
            del self._deltas_by_base[min(self._deltas_by_base)]
        self.revision, self.value, self._digest = revision, value, found

    def _tell_adopted(self, source: str) -> None:
        if not self._is_watcher():
            for watcher in self._watchers():
                self._send_revision(watcher)
            return
        rank = self._watchers().index(self._own)
        if rank == 0:
            self._push()
        else:
            self._later("push", rank * SECOND_PUSH_SECONDS, self._push)
        for instance in self._remote_watchers():
            if instance != source:
                self._send_revision(instance)

    def _push(self) -> None:
        """Send the newest change to the peers of the zone that lack it."""
        for instance in self._zone_peers():
            known = self._revisions_by_instance.get(instance, 0)
            if known < self.revision:
                self._catch_up(instance, known)

    def _catch_up(self, instance: str, known: int) -> None:
        """Send the deltas from ``known``, or else the own revision."""
        deltas = []
        while known in self._deltas_by_base:
            delta = self._deltas_by_base[known]
            deltas.append(delta)
            known = delta.revision
        if known != self.revision or not deltas:
            self._send_revision(instance)
            return
        for delta in deltas:
            self.counters[ConfigurationEvent.DELTA_SENT] += 1
            self._sender.send(instance, delta)

    # Who does what

    def _watchers(self) -> list[str]:
        zone = self._members.own.availability_zone
        found = contacts(zone, self._members.live(zone))
        return [member.instance for member in found]

    def _is_watcher(self) -> bool:
        return self._own in self._watchers()

    def _zone_peers(self) -> list[str]:
        zone = self._members.own.availability_zone
        members = self._members.live(zone)
        return [each.instance for each in members if each.instance != self._own]

    def _remote_watchers(self) -> list[str]:
        own = self._members.own.availability_zone
        by_zone: dict[str, list[Any]] = {}
        for member in self._members.live():
            by_zone.setdefault(member.availability_zone, []).append(member)
        by_zone.pop(own, None)
        return [
            member.instance
            for zone, members in sorted(by_zone.items())
            for member in contacts(zone, members)
        ]

    def _audience(self) -> list[str]:
        """Return the instances that this one keeps informed."""
        if self._is_watcher():
            return self._zone_peers() + self._remote_watchers()
        return self._watchers()

    # Timers

    def _step(self) -> None:
        now = self._clock.seconds()
        if self._transfer is not None and self._transfer.stalled(now):
            self.counters[ConfigurationEvent.TRANSFER_FAILED] += 1
            self._revisions_by_instance.pop(self._transfer.instance, None)
            self._transfer = None
        self._ask_ahead(now)
        if now - self._announced >= ANNOUNCE_SECONDS:
            self._announced = now
            self._announce()
        elif now - self._reminded >= REMIND_SECONDS:
            self._reminded = now
            self._remind(now)
        self._later("step", STEP_SECONDS, self._step)

    def _ask_ahead(self, now: float) -> None:
        """Ask a peer that is ahead, or any peer while there is no value at all."""
        if self._transfer is not None or now - self._asked < RETRY_SECONDS:
            return
        live = {each.instance for each in self._members.live()}
        ahead = [
            instance
            for instance, revision in sorted(self._revisions_by_instance.items())
            if revision > self._seen() and instance in live
        ]
        if ahead:
            self._request(self._random.choice(ahead))
        elif not self.revision:
            self._asked = now
            others = sorted(live - {self._own})
            for instance in self._random.sample(others, min(3, len(others))):
                self._send_revision(instance, reply=True)

    def _request(self, instance: str) -> None:
        self._asked = self._clock.seconds()
        self.counters[ConfigurationEvent.TRANSFER_STARTED] += 1
        self._sender.send(instance, ConfigurationRequest(self.revision))

    def _announce(self) -> None:
        for instance in self._audience():
            known = self._revisions_by_instance.get(instance)
            self._send_revision(instance, reply=known != self.revision)

    def _remind(self, now: float) -> None:
        """Tell the peers that are behind again, for a while after a change."""
        if now - self._changed > REMINDERS_FOR_SECONDS or not self.revision:
            return
        for instance in self._audience():
            if self._revisions_by_instance.get(instance, 0) < self.revision:
                self.counters[ConfigurationEvent.REMINDER_SENT] += 1
                self._send_revision(instance, reply=True)

    def _members_changed(self) -> None:
        """Tell the instances that were not known before."""
        live = {(m.instance, m.incarnation) for m in self._members.live()}
        fresh = {instance for instance, _ in live - self._known} - {self._own}
        self._known = live
        for instance in fresh:
            self._revisions_by_instance.pop(instance, None)
        if not self._running:
            return
        if self._watching is not None and not self._is_watcher():
            self._watching.cancel()
        if not fresh:
            return
        self._changed = self._clock.seconds()
        for instance in sorted(fresh.intersection(self._audience())):
            self._send_revision(instance, reply=True)

    def _send_revision(self, instance: str, *, reply: bool = False) -> None:
        age = self._clock.seconds() - self._confirmed
        milliseconds = int(age * 1000) if age < CUT_OFF_SECONDS else -1
        message = ConfigurationRevision(self.revision, milliseconds, reply)
        self._sender.send(instance, message)

    def _ask_revisions(self) -> None:
        for instance in self._remote_watchers() if self._is_watcher() else ():
            self._sender.send(instance, RevisionsRequest(whole_fleet=False))
        if not self._is_watcher():
            for instance in self._watchers():
                self._sender.send(instance, RevisionsRequest(whole_fleet=True))

    # Messages

    @singledispatchmethod
    def _handle(self, message: PeerMessage, instance: str) -> None:
        self.counters[ConfigurationEvent.UNKNOWN_MESSAGE] += 1

    @_handle.register
    def _handle_revision(self, message: ConfigurationRevision, instance: str) -> None:
        self._revisions_by_instance[instance] = message.revision
        if message.confirmed_milliseconds >= 0:
            age = message.confirmed_milliseconds / 1000
            self._confirmed = max(self._confirmed, self._clock.seconds() - age)
        if message.revision > self._seen():
            if self._transfer is None:
                self._request(instance)
        elif message.revision < self.revision:
            self._catch_up(instance, message.revision)
        if message.reply:
            self._send_revision(instance)

    @_handle.register
    def _handle_request(self, message: ConfigurationRequest, instance: str) -> None:
        if not self.revision or message.revision >= self.revision:
            return
        if not message.wanted and message.revision in self._deltas_by_base:
            self._catch_up(instance, message.revision)
            return
        offset = message.offset if message.wanted == self.revision else 0
        for chunk in chunks(self.revision, self.value, self._digest, offset):
            self._sender.send(instance, chunk)

    @_handle.register
    def _handle_delta(self, message: ConfigurationDelta, instance: str) -> None:
        self._revisions_by_instance[instance] = message.revision
        if message.revision <= self._seen():
            self.counters[ConfigurationEvent.OLD_REVISION] += 1
            return
        try:
            value = apply(self.value, message.splices)
        except ValueError:
            value = b""
        if message.base == self.revision and digest(value) == message.digest:
            self._adopt(message.revision, value, source=instance)
            return
        self.counters[ConfigurationEvent.DELTA_MISFIT] += 1
        if self._transfer is None:
            self._request(instance)

    @_handle.register
    def _handle_chunk(self, message: ConfigurationChunk, instance: str) -> None:
        now = self._clock.seconds()
        if message.revision <= self._seen():
            self.counters[ConfigurationEvent.OLD_REVISION] += 1
            return
        if self._transfer is None or self._transfer.superseded_by(message, instance):
            self._transfer = Transfer(instance, message, now)
        elif self._transfer.instance != instance:
            return
        try:
            value = self._transfer.add(message, now)
        except TransferError:
            self.counters[ConfigurationEvent.TRANSFER_FAILED] += 1
            self._transfer = None
            return
        if value is not None:
            self._transfer = None
            self._adopt(message.revision, value, source=instance)
        elif self._transfer.wants_more():
            request = self._transfer.next_request(self.revision)
            self._sender.send(instance, request)

    @_handle.register
    def _handle_revisions_request(
        self, message: RevisionsRequest, instance: str
    ) -> None:
        names = {self._own, *self._zone_peers()}
        if message.whole_fleet:
            names = {each.instance for each in self._members.live()}
            self._ask_revisions()
        known = {**self._revisions_by_instance, self._own: self.revision}
        found = (InstanceRevision(n, known[n]) for n in sorted(names) if n in known)
        self._sender.send(instance, Revisions(tuple(found)))

    @_handle.register
    def _handle_revisions(self, message: Revisions, instance: str) -> None:
        for each in message.revisions:
            earlier = self._revisions_by_instance.get(each.instance, 0)
            if each.instance != self._own:
                later = max(earlier, each.revision)
                self._revisions_by_instance[each.instance] = later
