"""Spread of the operators' configuration to every instance."""

import random as random_module
from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

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
from .configuration_source import ConfigurationEvent, ConfigurationSource
from .configuration_transfer import Transfer, TransferError, chunks
from .key_value import KeyValueStore
from .members import Member, MembershipView
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

RETRY_SECONDS = 0.5
ANNOUNCE_SECONDS = 5.0
REMIND_SECONDS = 0.5
REMINDERS_FOR_SECONDS = 5.0
CUT_OFF_SECONDS = 20.0
DELTA_HISTORY = 16
DELTA_BYTES = 65_536
"""A larger change is not sent as a delta but asked for in chunks."""


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
        self._adopt_value = adopt
        self._random = random or random_module.Random()
        self._source = ConfigurationSource(
            clock=clock,
            store=store,
            follower=self,
            counters=self.counters,
            random=self._random,
        )
        self._running = False
        self._calls_by_name: dict[str, Any] = {}
        self._digest = b""
        self._rejected_revision = 0
        self._told: float | None = None
        self._deltas_by_base: dict[int, ConfigurationDelta] = {}
        self._revisions_by_instance: dict[str, int] = {}
        self._transfer: Transfer | None = None
        now = clock.seconds()
        self._changed = now
        self._announced = now
        self._reminded = now
        self._requested = now - RETRY_SECONDS
        self._is_stale = True
        self._live: dict[str, Member] = {}
        self._watchers: tuple[str, ...] = ()
        self._zone_peers: tuple[str, ...] = ()
        self._remote_watchers: tuple[str, ...] = ()
        members.subscribe(self._members_changed)
        self._follow_members()

    # The state

    @property
    def cut_off(self) -> bool:
        """Whether the platform's word is older than ``CUT_OFF_SECONDS``.

        It counts from the platform's last answer to this instance or to any peer
        that passed it on.
        """
        age = self._confirmed_age()
        return age is None or age >= CUT_OFF_SECONDS

    def _confirmed_age(self) -> float | None:
        """Return how old the platform's word is, from whoever heard it last."""
        heard = [at for at in (self._source.answered, self._told) if at is not None]
        return self._clock.seconds() - max(heard) if heard else None

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
        self._announce()
        self._step()
        self._source.start()

    def stop(self) -> None:
        """End all timers and the waiting watch."""
        self._running = False
        self._source.stop()
        for call in self._calls_by_name.values():
            try:
                call.cancel()
            except (AlreadyCalled, AlreadyCancelled):
                continue

    def is_watcher(self) -> bool:
        """Tell whether this instance watches the platform for its zone."""
        return self._own in self._watchers

    def seen(self) -> int:
        """Return the highest revision adopted or rejected."""
        return max(self.revision, self._rejected_revision)

    def adopt(self, revision: int, value: bytes) -> None:
        """Take a revision that the platform gave."""
        self._adopt(revision, value, self._own)

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message of the configuration's spread."""
        self._handle(message, instance)

    def _later(self, name: str, seconds: float, call: Callable[[], Any]) -> None:
        if self._running:
            self._calls_by_name[name] = self._clock.callLater(seconds, call)

    # Adoption

    @property
    def _own(self) -> str:
        return self._members.own.instance

    def _adopt(self, revision: int, value: bytes, source: str) -> None:
        if revision <= self.seen():
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
        if self.revision and self.is_watcher():
            splices = difference(self.value, value)
            if sum(len(each.replacement) for each in splices) <= DELTA_BYTES:
                delta = ConfigurationDelta(self.revision, revision, found, splices)
                self._deltas_by_base[self.revision] = delta
        while len(self._deltas_by_base) > DELTA_HISTORY:
            del self._deltas_by_base[min(self._deltas_by_base)]
        self.revision, self.value, self._digest = revision, value, found

    def _tell_adopted(self, source: str) -> None:
        """Tell the others; reminders reach those that the first watcher missed."""
        if not self.is_watcher():
            for watcher in self._watchers:
                self._send_revision(watcher)
            return
        if self._own == self._watchers[0]:
            self._push()
        for instance in self._remote_watchers:
            if instance != source:
                self._send_revision(instance)

    def _push(self) -> None:
        """Send the newest change to the peers of the zone that lack it."""
        for instance in self._zone_peers:
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

    def _members_changed(self) -> None:
        self._is_stale = True

    def _follow_members(self) -> None:
        """Find the watchers anew, and tell the instances not known before."""
        if not self._is_stale:
            return
        self._is_stale = False
        self._find_watchers()
        earlier, self._live = self._live, {m.instance: m for m in self._members.live()}
        fresh = {name for name, m in self._live.items() if earlier.get(name) != m}
        fresh.discard(self._own)
        for instance in fresh:
            self._revisions_by_instance.pop(instance, None)
        if not self._running:
            return
        self._source.role_changed()
        if fresh:
            self._changed = self._clock.seconds()
        for instance in sorted(fresh.intersection(self._audience())):
            self._send_revision(instance, reply=True)

    def _find_watchers(self) -> None:
        own = self._members.own.availability_zone
        by_zone: dict[str, list[Member]] = {}
        for member in self._members.live():
            by_zone.setdefault(member.availability_zone, []).append(member)
        inside = by_zone.pop(own, [])
        self._watchers = tuple(each.instance for each in contacts(own, inside))
        names = (member.instance for member in inside)
        self._zone_peers = tuple(name for name in names if name != self._own)
        self._remote_watchers = tuple(
            member.instance
            for zone, members in sorted(by_zone.items())
            for member in contacts(zone, members)
        )

    def _audience(self) -> tuple[str, ...]:
        """Return the instances that this one keeps informed."""
        if self.is_watcher():
            return self._zone_peers + self._remote_watchers
        return self._watchers

    # Timers

    def _step(self) -> None:
        now = self._clock.seconds()
        self._follow_members()
        if self._transfer is not None and self._transfer.stalled(now):
            self.counters[ConfigurationEvent.TRANSFER_FAILED] += 1
            self._revisions_by_instance.pop(self._transfer.instance, None)
            self._transfer = None
        self._ask_ahead()
        if now - self._announced >= ANNOUNCE_SECONDS:
            self._announced = now
            self._announce()
        elif now - self._reminded >= REMIND_SECONDS:
            self._reminded = now
            self._remind(now)
        self._later("step", STEP_SECONDS, self._step)

    def _ask_ahead(self) -> None:
        """Ask a peer that is ahead."""
        seen = self.seen()
        ahead = [
            instance
            for instance, revision in self._revisions_by_instance.items()
            if revision > seen and instance in self._live
        ]
        if ahead:
            self._request_soon(self._random.choice(sorted(ahead)))

    def _request_soon(self, instance: str) -> None:
        """Ask a peer that is ahead, unless a request is under way."""
        waited = self._clock.seconds() - self._requested
        if self._transfer is None and waited >= RETRY_SECONDS:
            self._request(instance)

    def _request(self, instance: str) -> None:
        self._requested = self._clock.seconds()
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

    def _send_revision(self, instance: str, *, reply: bool = False) -> None:
        age = self._confirmed_age()
        milliseconds = -1 if age is None else int(age * 1000)
        message = ConfigurationRevision(self.revision, milliseconds, reply)
        self._sender.send(instance, message)

    def _ask_revisions(self) -> None:
        for instance in self._remote_watchers if self.is_watcher() else ():
            self._sender.send(instance, RevisionsRequest(whole_fleet=False))
        if not self.is_watcher():
            for instance in self._watchers:
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
            heard = self._clock.seconds() - age
            self._told = heard if self._told is None else max(self._told, heard)
        if message.revision > self.seen():
            self._request_soon(instance)
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
        if message.revision <= self.seen():
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
        self._request_soon(instance)

    @_handle.register
    def _handle_chunk(self, message: ConfigurationChunk, instance: str) -> None:
        now = self._clock.seconds()
        if message.revision <= self.seen():
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
        names = {self._own, *self._zone_peers}
        if message.whole_fleet:
            names = set(self._live)
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
