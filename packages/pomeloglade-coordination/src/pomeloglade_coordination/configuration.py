"""Distribution of the operators' configuration to every instance."""

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
"""Interval between checks for peers that are behind or ahead."""

RETRY_SECONDS = 0.5
ANNOUNCE_SECONDS = 5.0
REMINDER_INTERVAL_SECONDS = 0.5
REMINDER_PERIOD_SECONDS = 5.0
CUT_OFF_SECONDS = 20.0
DELTA_HISTORY = 16
MAX_DELTA_BYTES = 65_536
"""A larger change is not sent as a delta; peers request the value in chunks."""


class ConfigurationSpread:
    """Puts published configurations into force on this instance, in order.

    The contacts of each zone watch the platform and poll it; the other instances
    receive changes from them, and poll at long intervals. Peers exchange the
    revisions that they have in force, and an instance that is behind requests a delta
    or the whole value. Only a higher revision is ever adopted.

    Parameters
    ----------
    clock : IReactorTime
        Schedules polls and retries.
    members : MembershipView
        The live instances.
    sender : PeerSender
        Sends the messages.
    store : KeyValueStore
        The platform's key-value service.
    adopt : callable
        Puts a revision and its value into force; raises to reject it.
    random : random.Random
        Adds jitter to polls and chooses peers.
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
        self._confirmed_by_peers: float | None = None
        self._deltas_by_base: dict[int, ConfigurationDelta] = {}
        self._revisions_by_instance: dict[str, int] = {}
        self._transfer: Transfer | None = None
        now = clock.seconds()
        self._changed_at = now
        self._announced_at = now
        self._reminded_at = now
        self._requested_at = now - RETRY_SECONDS
        self._members_outdated = True
        self._live: dict[str, Member] = {}
        self._watchers: tuple[str, ...] = ()
        self._zone_peers: tuple[str, ...] = ()
        self._remote_watchers: tuple[str, ...] = ()
        members.subscribe(self._members_changed)
        self._update_members()

    # State and lifecycle

    @property
    def cut_off(self) -> bool:
        """Whether the platform has not answered for ``CUT_OFF_SECONDS``, or never.

        Answers to this instance and those that peers reported count.
        """
        age = self._confirmed_age()
        return age is None or age >= CUT_OFF_SECONDS

    def _confirmed_age(self) -> float | None:
        """Return the age of the platform's last known answer, or ``None``."""
        answers = [
            answered_at
            for answered_at in (self._source.last_answer, self._confirmed_by_peers)
            if answered_at is not None
        ]
        return self._clock.seconds() - max(answers) if answers else None

    def in_force_by_instance(self) -> dict[str, int]:
        """Return the revision that each live instance reported last.

        Each call also requests the revisions from watchers, and a later call includes
        their answers. A watcher asks each other zone's watchers for the revisions of
        their zone; the other instances ask the watchers of their own zone for those
        of the whole fleet.
        """
        self._request_revisions()
        revisions = {self._own: self.revision}
        for member in self._members.live():
            revision = self._revisions_by_instance.get(member.instance)
            if revision is not None and member.instance != self._own:
                revisions[member.instance] = revision
        return revisions

    def start(self) -> None:
        """Start to watch, to poll and to announce the revision to peers."""
        self._running = True
        self._announce()
        self._step()
        self._source.start()

    def stop(self) -> None:
        """Cancel all timers and the pending watch."""
        self._running = False
        self._source.stop()
        for call in self._calls_by_name.values():
            try:
                call.cancel()
            except (AlreadyCalled, AlreadyCancelled):
                continue

    def is_watcher(self) -> bool:
        """Return whether this instance watches the platform for its zone."""
        return self._own in self._watchers

    def highest_seen(self) -> int:
        """Return the highest revision adopted or rejected."""
        return max(self.revision, self._rejected_revision)

    def adopt(self, revision: int, value: bytes) -> None:
        """Adopt a revision that was read from the platform."""
        self._adopt(revision, value, self._own)

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message of the configuration protocol."""
        self._handle(message, instance)

    def _schedule(self, name: str, seconds: float, call: Callable[[], Any]) -> None:
        if self._running:
            self._calls_by_name[name] = self._clock.callLater(seconds, call)

    # Adoption

    @property
    def _own(self) -> str:
        return self._members.own.instance

    def _adopt(self, revision: int, value: bytes, source: str) -> None:
        if revision <= self.highest_seen():
            self.counters[ConfigurationEvent.OLD_REVISION] += 1
            return
        try:
            self._adopt_value(revision, value)
        except Exception:  # keep the old value on any decoding error
            self.counters[ConfigurationEvent.REJECTED] += 1
            self._rejected_revision = revision
            return
        self.counters[ConfigurationEvent.ADOPTED] += 1
        self._store_adopted(revision, value)
        self._changed_at = self._clock.seconds()
        self._transfer = None
        self._announce_adopted(source)

    def _store_adopted(self, revision: int, value: bytes) -> None:
        """Store the value and, on a watcher, the delta to it from the earlier one."""
        value_digest = digest(value)
        if self.revision and self.is_watcher():
            splices = difference(self.value, value)
            if sum(len(each.replacement) for each in splices) <= MAX_DELTA_BYTES:
                delta = ConfigurationDelta(
                    self.revision, revision, value_digest, splices
                )
                self._deltas_by_base[self.revision] = delta
        while len(self._deltas_by_base) > DELTA_HISTORY:
            del self._deltas_by_base[min(self._deltas_by_base)]
        self.revision, self.value, self._digest = revision, value, value_digest

    def _announce_adopted(self, source: str) -> None:
        """Send the new revision to the peers that depend on this instance.

        Only the first watcher pushes the change to its zone. Reminders reach the peers
        that its push did not.
        """
        if not self.is_watcher():
            for watcher in self._watchers:
                self._send_revision(watcher)
            return
        if self._own == self._watchers[0]:
            self._push_to_zone()
        for instance in self._remote_watchers:
            if instance != source:
                self._send_revision(instance)

    def _push_to_zone(self) -> None:
        """Send the latest change to the peers of the own zone that lack it."""
        for instance in self._zone_peers:
            known = self._revisions_by_instance.get(instance, 0)
            if known < self.revision:
                self._catch_up(instance, known)

    def _catch_up(self, instance: str, known: int) -> None:
        """Send the deltas since ``known``; if one is missing, only the own revision."""
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

    # Watchers and peers

    def _members_changed(self) -> None:
        self._members_outdated = True

    def _update_members(self) -> None:
        """After a membership change, find the watchers and announce to new members."""
        if not self._members_outdated:
            return
        self._members_outdated = False
        self._find_watchers()
        earlier, self._live = self._live, {m.instance: m for m in self._members.live()}
        new = {name for name, m in self._live.items() if earlier.get(name) != m}
        new.discard(self._own)
        for instance in new:
            self._revisions_by_instance.pop(instance, None)
        if not self._running:
            return
        self._source.role_changed()
        if new:
            self._changed_at = self._clock.seconds()
        for instance in sorted(new.intersection(self._announce_targets())):
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

    def _announce_targets(self) -> tuple[str, ...]:
        """Return the peers that this instance announces its revision to."""
        if self.is_watcher():
            return self._zone_peers + self._remote_watchers
        return self._watchers

    # Timers

    def _step(self) -> None:
        now = self._clock.seconds()
        self._update_members()
        if self._transfer is not None and self._transfer.stalled(now):
            self.counters[ConfigurationEvent.TRANSFER_FAILED] += 1
            self._revisions_by_instance.pop(self._transfer.instance, None)
            self._transfer = None
        self._request_from_peer_ahead()
        if now - self._announced_at >= ANNOUNCE_SECONDS:
            self._announced_at = now
            self._announce()
        elif now - self._reminded_at >= REMINDER_INTERVAL_SECONDS:
            self._reminded_at = now
            self._remind(now)
        self._schedule("step", STEP_SECONDS, self._step)

    def _request_from_peer_ahead(self) -> None:
        """Request the configuration from a random peer that is ahead."""
        highest_seen = self.highest_seen()
        ahead = [
            instance
            for instance, revision in self._revisions_by_instance.items()
            if revision > highest_seen and instance in self._live
        ]
        if ahead:
            self._request_if_idle(self._random.choice(sorted(ahead)))

    def _request_if_idle(self, instance: str) -> None:
        """Request the configuration from a peer, unless a request is pending."""
        elapsed = self._clock.seconds() - self._requested_at
        if self._transfer is None and elapsed >= RETRY_SECONDS:
            self._request(instance)

    def _request(self, instance: str) -> None:
        self._requested_at = self._clock.seconds()
        self.counters[ConfigurationEvent.TRANSFER_STARTED] += 1
        self._sender.send(instance, ConfigurationRequest(self.revision))

    def _announce(self) -> None:
        for instance in self._announce_targets():
            known = self._revisions_by_instance.get(instance)
            self._send_revision(instance, reply=known != self.revision)

    def _remind(self, now: float) -> None:
        """Remind peers that are behind of the revision, for a while after a change."""
        if now - self._changed_at > REMINDER_PERIOD_SECONDS or not self.revision:
            return
        for instance in self._announce_targets():
            if self._revisions_by_instance.get(instance, 0) < self.revision:
                self.counters[ConfigurationEvent.REMINDER_SENT] += 1
                self._send_revision(instance, reply=True)

    def _send_revision(self, instance: str, *, reply: bool = False) -> None:
        age = self._confirmed_age()
        milliseconds = -1 if age is None else int(age * 1000)
        message = ConfigurationRevision(self.revision, milliseconds, reply)
        self._sender.send(instance, message)

    def _request_revisions(self) -> None:
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
            confirmed = self._clock.seconds() - age
            self._confirmed_by_peers = (
                confirmed
                if self._confirmed_by_peers is None
                else max(self._confirmed_by_peers, confirmed)
            )
        if message.revision > self.highest_seen():
            self._request_if_idle(instance)
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
        if message.revision <= self.highest_seen():
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
        self._request_if_idle(instance)

    @_handle.register
    def _handle_chunk(self, message: ConfigurationChunk, instance: str) -> None:
        now = self._clock.seconds()
        if message.revision <= self.highest_seen():
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
        elif self._transfer.batch_complete():
            request = self._transfer.next_request(self.revision)
            self._sender.send(instance, request)

    @_handle.register
    def _handle_revisions_request(
        self, message: RevisionsRequest, instance: str
    ) -> None:
        names = {self._own, *self._zone_peers}
        if message.whole_fleet:
            names = set(self._live)
            self._request_revisions()
        known = {**self._revisions_by_instance, self._own: self.revision}
        reports = (InstanceRevision(n, known[n]) for n in sorted(names) if n in known)
        self._sender.send(instance, Revisions(tuple(reports)))

    @_handle.register
    def _handle_revisions(self, message: Revisions, instance: str) -> None:
        for each in message.revisions:
            earlier = self._revisions_by_instance.get(each.instance, 0)
            if each.instance != self._own:
                later = max(earlier, each.revision)
                self._revisions_by_instance[each.instance] = later
