"""Membership of instances by heartbeats between peers."""

import enum
import random as random_module
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from .clock import Clock
from .members import Member
from .membership_messages import (
    DeclaredDead,
    FleetFingerprint,
    FleetRequest,
    Heartbeat,
    Presence,
    PresenceRequest,
    ProbeAnswer,
    ProbeRequest,
    ZoneLost,
    ZoneRequest,
    ZoneUpdate,
)
from .peer import PeerMessage, PeerSender
from .zones import RemoteZones, contacts, fingerprint

TICK_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.0
SILENCE_SECONDS = 2.5
"""A member that was not heard for so long is no longer live."""

FENCE_SECONDS = 4.0
"""An incarnation that no peer has heard for so long is declared dead."""

FENCE_MARGIN_SECONDS = 0.5
"""How much earlier an instance takes itself for fenced than its peers do."""

JOIN_SECONDS = 1.0
FLEET_SECONDS = 5.0
FORGET_SECONDS = 60.0
PROBES = 3


class MembershipEvent(enum.Enum):
    """What membership refused, ignored or repeated; each has its counter."""

    OLD_INCARNATION = "old_incarnation"
    UNKNOWN_SENDER = "unknown_sender"
    UNKNOWN_MESSAGE = "unknown_message"
    SUSPECTED = "suspected"
    PROBE_SENT = "probe_sent"
    PROBE_REFUTED = "probe_refuted"
    DECLARED_DEAD = "declared_dead"
    OWN_FENCED = "own_fenced"
    ZONE_LOST = "zone_lost"
    ZONE_FOUND = "zone_found"
    ZONE_MISMATCH = "zone_mismatch"
    JOIN_RETRY = "join_retry"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's lagging list of instances."""

    instance: str
    availability_zone: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class DeadMember:
    """An incarnation that can hold no lease any more, and when that was known."""

    member: Member
    declared: float


@dataclass(slots=True)
class _Peer:
    """An instance heard directly."""

    member: Member
    heard: float
    leaving: bool = False
    suspected: bool = False


class Membership:
    """Tells which instances live, from heartbeats in both directions.

    Instances of one zone send each other heartbeats. Between zones only the
    contacts of each zone do; they pass the members of the other zones on to their
    own zone. A contact is found by rendezvous hashing, so with two instances in a
    zone both are contacts and the fleet is a full mesh.

    An incarnation not heard for ``FENCE_SECONDS``, and by no peer that was asked,
    is declared dead. An instance that was paused for nearly as long takes itself
    for fenced first and goes on under a new incarnation.

    Parameters
    ----------
    own : Member
        The own incarnation.
    clock : IReactorTime
        Measures silence.
    sender : PeerSender
        Sends the messages.
    availability_zones : tuple of str
        All zones of the deployment.
    random : random.Random
        Spreads probes and joins.
    """

    def __init__(
        self,
        *,
        own: Member,
        clock: Clock,
        sender: PeerSender,
        availability_zones: tuple[str, ...] = (),
        random: random_module.Random | None = None,
    ) -> None:
        self.own = own
        self.availability_zones = availability_zones or (own.availability_zone,)
        self.counters: Counter[MembershipEvent] = Counter()
        self._clock = clock
        self._sender = sender
        self._random = random or random_module.Random()
        self._leaving = False
        self._last_tick = clock.seconds()
        self._last_heartbeat = clock.seconds() - HEARTBEAT_SECONDS
        self._last_join = clock.seconds() - JOIN_SECONDS
        self._last_fleet = clock.seconds()
        self._peers_by_instance: dict[str, _Peer] = {}
        self._listed_by_instance: dict[str, ListedInstance] = {}
        self._dead_by_instance: dict[str, int] = {}
        self._replaced: list[_Peer] = []
        self._zones = RemoteZones()
        self._live: dict[str, Member] = {own.instance: own}
        self._changed: list[Callable[[], None]] = []
        self._died: list[Callable[[DeadMember], None]] = []
        self._fenced: list[Callable[[Member], None]] = []

    # The view of the other parts

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members, sorted by instance, own one included.

        Members that announced their shutdown are left out.
        """
        return tuple(
            member
            for _, member in sorted(self._live.items())
            if availability_zone in (None, member.availability_zone)
        )

    def member(self, instance: str) -> Member | None:
        """Return the live member with this name, also while it shuts down."""
        found = self._live.get(instance)
        if found is not None:
            return found
        peer = self._peers_by_instance.get(instance)
        if peer is not None and peer.leaving and not peer.suspected:
            return peer.member
        return None

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the live members."""
        self._changed.append(changed)

    def subscribe_death(self, died: Callable[[DeadMember], None]) -> None:
        """Call ``died`` for each incarnation of the own zone declared dead."""
        self._died.append(died)

    def subscribe_fenced(self, fenced: Callable[[Member], None]) -> None:
        """Call ``fenced`` with the own incarnation that had to be given up."""
        self._fenced.append(fenced)

    @property
    def fenced(self) -> bool:
        """Whether peers may have declared this incarnation dead by now.

        A process that wakes from a pause can ask before its next tick.
        """
        silent = self._clock.seconds() - self._last_heartbeat
        return silent >= FENCE_SECONDS - FENCE_MARGIN_SECONDS

    def partners(self) -> tuple[Member, ...]:
        """Return the members to keep a connection to, sorted by instance."""
        zone_members = (
            member
            for member in self._live.values()
            if member.availability_zone == self.own.availability_zone
        )
        found = {each.instance: each for each in zone_members}
        found |= {each.instance: each for each in self._remote_contacts()}
        found |= {each.instance: each for each in self._candidates()}
        found.pop(self.own.instance, None)
        return tuple(member for _, member in sorted(found.items()))

    # Inputs

    def listed(self, entries: Iterable[ListedInstance]) -> None:
        """Take in the platform's list; it adds candidates and never removes."""
        self._listed_by_instance = {each.instance: each for each in entries}
        for entry in self._listed_by_instance.values():
            peer = self._peers_by_instance.get(entry.instance)
            if peer is not None and entry.leaving:
                peer.leaving = True
        self._refresh()

    def connected(self, member: Member) -> None:
        """Greet an instance that a connection was opened to."""
        if member.instance != self.own.instance:
            self._greet(member.instance, reply=True)

    def leaving(self) -> None:
        """Tell the peers that this instance shuts down."""
        self._leaving = True
        self._send_heartbeats()

    def tick(self) -> None:
        """Do what is due; call it every ``TICK_SECONDS``."""
        now = self._clock.seconds()
        paused = now - self._last_tick
        if paused >= SILENCE_SECONDS - HEARTBEAT_SECONDS:
            self._forgive(paused)
        if self.fenced:
            self._renew()
        self._last_tick = now
        self._check_peers(now)
        self._check_zones(now)
        self._send_due(now)
        self._refresh()

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message of the membership protocol."""
        if instance != self.own.instance:
            self._handle(message, instance)

    # Timers

    def _forgive(self, paused: float) -> None:
        """Count an own pause as no silence of the peers."""
        for peer in (*self._peers_by_instance.values(), *self._replaced):
            peer.heard += paused

    def _renew(self) -> None:
        """Give the own incarnation up and go on under a new one."""
        old = self.own
        self.counters[MembershipEvent.OWN_FENCED] += 1
        self.own = replace(old, incarnation=old.incarnation + 1)
        self._last_heartbeat = self._clock.seconds()
        for fenced in self._fenced:
            fenced(old)
        for instance in self._direct_partners():
            self._greet(instance)
        self._refresh()

    def _check_peers(self, now: float) -> None:
        for peer in list(self._peers_by_instance.values()):
            self._check_peer(peer, now - peer.heard)
        due = [each for each in self._replaced if now - each.heard >= FENCE_SECONDS]
        for peer in due:
            self._replaced.remove(peer)
            self._declare_dead(peer.member)

    def _check_peer(self, peer: _Peer, silent: float) -> None:
        own_zone = peer.member.availability_zone == self.own.availability_zone
        if silent >= (FENCE_SECONDS if own_zone else FORGET_SECONDS):
            del self._peers_by_instance[peer.member.instance]
            if own_zone:
                self._zones.forget_witness(peer.member.instance)
                self._declare_dead(peer.member)
        elif silent >= SILENCE_SECONDS:
            if not peer.suspected:
                peer.suspected = True
                self.counters[MembershipEvent.SUSPECTED] += 1
            if own_zone:
                self._probe(peer.member)

    def _probe(self, suspect: Member) -> None:
        others = [name for name in self._heard() if name != suspect.instance]
        for instance in self._random.sample(others, min(PROBES, len(others))):
            self.counters[MembershipEvent.PROBE_SENT] += 1
            request = ProbeRequest(suspect.instance, suspect.incarnation)
            self._sender.send(instance, request)

    def _declare_dead(self, member: Member) -> None:
        self._bury(member)
        self.counters[MembershipEvent.DECLARED_DEAD] += 1
        event = DeadMember(member, self._clock.seconds())
        for died in self._died:
            died(event)

    def _bury(self, member: Member) -> None:
        earlier = self._dead_by_instance.get(member.instance, member.incarnation)
        self._dead_by_instance[member.instance] = max(earlier, member.incarnation)

    def _check_zones(self, now: float) -> None:
        for zone in self._zones.heard_by(self.own.instance):
            heard = (
                peer.heard
                for peer in self._peers_by_instance.values()
                if peer.member.availability_zone == zone
            )
            silent = now - max(heard, default=-SILENCE_SECONDS)
            if silent >= SILENCE_SECONDS or not self._is_contact():
                self._lose_zone(zone)

    def _lose_zone(self, zone: str) -> None:
        if self._zones.lose(zone, self.own.instance):
            self.counters[MembershipEvent.ZONE_LOST] += 1
            self._tell_zone(ZoneLost(zone))

    def _send_due(self, now: float) -> None:
        if now - self._last_heartbeat >= HEARTBEAT_SECONDS:
            self._last_heartbeat = now
            self._send_heartbeats()
        if now - self._last_join >= JOIN_SECONDS:
            self._last_join = now
            self._join()
        if now - self._last_fleet >= FLEET_SECONDS:
            self._last_fleet = now
            if self._is_contact():
                own_fingerprint = self._zones.fleet_fingerprint(self.own.instance)
                self._tell_zone(FleetFingerprint(own_fingerprint))

    def _send_heartbeats(self) -> None:
        inside = Heartbeat(self.own.incarnation, self._leaving)
        self._tell_zone(inside)
        across = replace(inside, zone_fingerprint=self._own_fingerprint())
        for member in self._remote_contacts():
            self._sender.send(member.instance, across)

    def _join(self) -> None:
        for candidate in self._candidates():
            self.counters[MembershipEvent.JOIN_RETRY] += 1
            self._greet(candidate.instance, reply=True)

    # Whom to talk to

    def _direct_partners(self) -> tuple[str, ...]:
        remote = (member.instance for member in self._remote_contacts())
        return (*self._zone_peers(), *remote)

    def _heard(self) -> list[str]:
        peers = self._peers_by_instance.items()
        return sorted(name for name, peer in peers if not peer.suspected)

    def _zone_peers(self) -> list[str]:
        """Return the peers of the own zone that are not yet declared dead."""
        zone = self.own.availability_zone
        peers = self._peers_by_instance.items()
        return [name for name, p in peers if p.member.availability_zone == zone]

    def _is_contact(self) -> bool:
        zone = self.own.availability_zone
        return self.own in contacts(zone, self.live(zone))

    def _remote_contacts(self) -> list[Member]:
        """Return the contacts of the other zones when this is a contact too."""
        if not self._is_contact():
            return []
        found: list[Member] = []
        for zone in self._other_zones():
            found += contacts(zone, self._zones.known(zone))
        return found

    def _other_zones(self) -> list[str]:
        own = self.own.availability_zone
        listed = {each.availability_zone for each in self._listed_by_instance.values()}
        return sorted((listed | set(self.availability_zones)) - {own})

    def _candidates(self) -> list[Member]:
        """Return the instances to greet: own zone, and zones not heard."""
        listed = [
            Member(each.instance, each.availability_zone, 0, each.address)
            for each in self._listed_by_instance.values()
            if not each.leaving and each.instance != self.own.instance
        ]
        zone = self.own.availability_zone
        found = [
            each
            for each in listed
            if each.availability_zone == zone
            and each.instance not in self._peers_by_instance
        ]
        if not self._is_contact():
            return found
        heard = self._zones.heard_by(self.own.instance)
        for other in self._other_zones():
            if other not in heard:
                known = [each for each in listed if each.availability_zone == other]
                found += self._zone_candidates(other, known)
        return found

    def _zone_candidates(self, zone: str, listed: list[Member]) -> list[Member]:
        by_instance = {each.instance: each for each in self._zones.known(zone)}
        by_instance |= {each.instance: each for each in listed}
        members = list(by_instance.values())
        found = list(contacts(zone, members))
        if members:
            found.append(members[int(self._clock.seconds()) % len(members)])
        return found

    def _greet(self, instance: str, *, reply: bool = False) -> None:
        self._sender.send(instance, Presence(self.own, self._leaving, reply))

    def _tell_zone(self, message: PeerMessage) -> None:
        for instance in self._zone_peers():
            self._sender.send(instance, message)

    # Messages

    @singledispatchmethod
    def _handle(self, message: PeerMessage, instance: str) -> None:
        self.counters[MembershipEvent.UNKNOWN_MESSAGE] += 1

    @_handle.register
    def _handle_heartbeat(self, message: Heartbeat, instance: str) -> None:
        peer = self._peers_by_instance.get(instance)
        if self._refuse_old(instance, message.incarnation):
            return
        if peer is None or peer.member.incarnation < message.incarnation:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            self._sender.send(instance, PresenceRequest())
            return
        self._hear(peer, message.leaving)
        zone = peer.member.availability_zone
        if message.zone_fingerprint is not None:
            self._hear_zone(zone, message.zone_fingerprint, instance)

    @_handle.register
    def _handle_presence(self, message: Presence, instance: str) -> None:
        member = message.member
        if member.instance != instance:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            return
        if self._refuse_old(instance, member.incarnation):
            return
        peer = self._peers_by_instance.get(instance)
        if peer is None or peer.member != member:
            self._meet(member, peer)
        self._hear(self._peers_by_instance[instance], message.leaving)
        if message.reply:
            self._greet(instance)
        if message.reply or peer is None:
            self._tell_newcomer(member)

    @_handle.register
    def _handle_presence_request(self, message: PresenceRequest, instance: str) -> None:
        self._greet(instance)

    @_handle.register
    def _handle_declared_dead(self, message: DeclaredDead, instance: str) -> None:
        if message.incarnation == self.own.incarnation:
            self._renew()
            self._greet(instance)

    @_handle.register
    def _handle_probe(self, message: ProbeRequest, instance: str) -> None:
        peer = self._peers_by_instance.get(message.instance)
        if peer is None or peer.member.incarnation != message.incarnation:
            return
        age = int((self._clock.seconds() - peer.heard) * 1000)
        answer = ProbeAnswer(message.instance, message.incarnation, age)
        self._sender.send(instance, answer)

    @_handle.register
    def _handle_probe_answer(self, message: ProbeAnswer, instance: str) -> None:
        peer = self._peers_by_instance.get(message.instance)
        if peer is None or peer.member.incarnation != message.incarnation:
            return
        heard = self._clock.seconds() - message.age_milliseconds / 1000
        if heard > peer.heard:
            self.counters[MembershipEvent.PROBE_REFUTED] += 1
            peer.heard = heard

    @_handle.register
    def _handle_zone_update(self, message: ZoneUpdate, instance: str) -> None:
        zone = message.availability_zone
        if zone == self.own.availability_zone:
            self._meet_own_zone(message.joined)
            return
        witness = self._witness(zone, instance)
        if witness is None:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            return
        news = self._zones.hear(zone, witness)
        change = self._zones.apply(message)
        if change is None:
            self.counters[MembershipEvent.ZONE_MISMATCH] += 1
            self._sender.send(instance, ZoneRequest(zone))
        elif witness == self.own.instance:
            if news:
                self.counters[MembershipEvent.ZONE_FOUND] += 1
            self._tell_zone(self._zones.whole(zone) if news else change)
        self._refresh()

    def _witness(self, zone: str, instance: str) -> str | None:
        """Return who hears ``zone`` when ``instance`` tells of its members."""
        peer = self._peers_by_instance.get(instance)
        if peer is None:
            return None
        if peer.member.availability_zone == self.own.availability_zone:
            return instance
        return self.own.instance if peer.member.availability_zone == zone else None

    @_handle.register
    def _handle_zone_lost(self, message: ZoneLost, instance: str) -> None:
        self._zones.lose(message.availability_zone, instance)
        self._refresh()

    @_handle.register
    def _handle_zone_request(self, message: ZoneRequest, instance: str) -> None:
        self._sender.send(instance, self._whole_zone(message.availability_zone))

    @_handle.register
    def _handle_fleet(self, message: FleetFingerprint, instance: str) -> None:
        if message.fingerprint != self._zones.fleet_fingerprint(instance):
            self.counters[MembershipEvent.ZONE_MISMATCH] += 1
            self._zones.forget_witness(instance)
            self._sender.send(instance, FleetRequest())

    @_handle.register
    def _handle_fleet_request(self, message: FleetRequest, instance: str) -> None:
        for zone in self._zones.heard_by(self.own.instance):
            self._sender.send(instance, self._whole_zone(zone))

    # Peers

    def _refuse_old(self, instance: str, incarnation: int) -> bool:
        peer = self._peers_by_instance.get(instance)
        dead = self._dead_by_instance.get(instance, -1)
        known = peer.member.incarnation if peer else -1
        if incarnation > dead and incarnation >= known:
            return False
        self.counters[MembershipEvent.OLD_INCARNATION] += 1
        self._sender.send(instance, DeclaredDead(incarnation))
        return True

    def _meet(self, member: Member, earlier: _Peer | None) -> None:
        if earlier is not None and earlier.member.incarnation < member.incarnation:
            self._bury(earlier.member)
            if earlier.member.availability_zone == self.own.availability_zone:
                self._replaced.append(earlier)
        self._peers_by_instance[member.instance] = _Peer(member, self._clock.seconds())

    def _hear(self, peer: _Peer, leaving: bool) -> None:
        peer.heard = self._clock.seconds()
        changed = peer.suspected or peer.leaving != leaving
        peer.suspected = False
        peer.leaving = leaving
        own_zone = peer.member.availability_zone == self.own.availability_zone
        shown = self._live.get(peer.member.instance) == peer.member
        if changed or (own_zone and not leaving and not shown):
            self._refresh()

    def _hear_zone(self, zone: str, zone_fingerprint: int, instance: str) -> None:
        if zone == self.own.availability_zone:
            return
        news = self._zones.hear(zone, self.own.instance)
        if news:
            self.counters[MembershipEvent.ZONE_FOUND] += 1
        if zone_fingerprint != self._zones.fingerprint(zone):
            self._sender.send(instance, ZoneRequest(zone))
        elif news:
            self._tell_zone(self._zones.whole(zone))
            self._refresh()

    def _meet_own_zone(self, members: Iterable[Member]) -> None:
        for member in members:
            known = member.instance in self._peers_by_instance
            if not known and member.instance != self.own.instance:
                self._greet(member.instance, reply=True)

    def _tell_newcomer(self, member: Member) -> None:
        zone = self.own.availability_zone
        self._sender.send(member.instance, self._whole_zone(zone))
        if member.availability_zone == zone:
            for other in self._zones.heard_by(self.own.instance):
                self._sender.send(member.instance, self._whole_zone(other))

    def _whole_zone(self, zone: str) -> ZoneUpdate:
        if zone != self.own.availability_zone:
            return self._zones.whole(zone)
        members = self.live(zone)
        return ZoneUpdate(zone, None, fingerprint(members), members)

    def _own_fingerprint(self) -> int:
        return fingerprint(self.live(self.own.availability_zone))

    def _refresh(self) -> None:
        """Work the live members out and tell the subscribers of a change."""
        zone = self.own.availability_zone
        live = dict(self._zones.reachable())
        for name, peer in self._peers_by_instance.items():
            if peer.member.availability_zone == zone:
                if not (peer.suspected or peer.leaving):
                    live[name] = peer.member
            elif peer.leaving:
                live.pop(name, None)
        live[self.own.instance] = self.own
        if live == self._live:
            return
        self._live = live
        for changed in list(self._changed):
            changed()
