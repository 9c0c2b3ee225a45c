"""Membership of instances by heartbeats between peers."""

import random as random_module
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import singledispatchmethod

from .clock import Clock
from .failure_detector import (
    FENCE_SECONDS,
    SILENCE_SECONDS,
    DeadMember,
    FailureDetector,
    Peer,
    Standing,
)
from .listing import ListedInstance, Listing
from .member_index import MemberIndex
from .members import Member
from .membership_counters import MembershipEvent
from .membership_messages import (
    DeclaredDead,
    Heartbeat,
    MembershipMessage,
    Presence,
    PresenceRequest,
    ProbeAnswer,
    ProbeRequest,
    ZoneUpdate,
)
from .peer import PeerMessage, PeerSender
from .zone_exchange import ZoneExchange
from .zones import contacts

__all__ = ["DeadMember", "ListedInstance", "Membership", "MembershipEvent"]

TICK_SECONDS = 0.5
HEARTBEAT_SECONDS = 1.0
FENCE_MARGIN_SECONDS = 0.5
"""How much earlier an instance takes itself for fenced than its peers do."""

PAUSE_SECONDS = 1.5
"""An own pause of so long is not counted as silence of the peers."""

JOIN_SECONDS = 1.0
FLEET_SECONDS = 5.0
PROBES = 3


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
        now = clock.seconds()
        self._started = now
        self._last_tick = now
        self._last_heartbeat = now - HEARTBEAT_SECONDS
        self._last_join = now - JOIN_SECONDS
        self._last_fleet = now
        self._listing = Listing(own.instance)
        self._inside = FailureDetector()
        self._across = FailureDetector(SILENCE_SECONDS)
        self._exchange = ZoneExchange(self, sender, self.counters)
        self._changed: list[Callable[[], None]] = []
        self._died: list[Callable[[Member], None]] = []
        self._fenced: list[Callable[[Member], None]] = []
        self._live = MemberIndex({})
        self._is_contact = True
        self._remote_contacts: tuple[Member, ...] = ()
        self._refreshed_state: tuple[object, ...] = ()
        self._refresh()

    # The view of the other parts

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members, sorted by instance, own one included.

        Members that announced their shutdown are left out.
        """
        return self._live.members(availability_zone)

    def member(self, instance: str) -> Member | None:
        """Return the live member with this name, also while it shuts down."""
        found = self._live.by_instance.get(instance)
        if found is not None:
            return found
        peer = self._peer(instance)
        if peer is not None and peer.leaving and not peer.suspected:
            return peer.member
        return None

    def dead(self, instance: str) -> DeadMember | None:
        """Return the latest incarnation of an instance known to be over."""
        return self._inside.dead(instance)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the live members."""
        self._changed.append(changed)

    def subscribe_death(self, died: Callable[[Member], None]) -> None:
        """Call ``died`` for each incarnation of the own zone that must be fenced."""
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
        inside = (peer.member for peer in self._inside.peers_by_instance.values())
        found = {each.instance: each for each in self._candidates()}
        found |= {each.instance: each for each in self._remote_contacts}
        found |= {each.instance: each for each in inside}
        return tuple(self._listing.addressed(each) for _, each in sorted(found.items()))

    def zone_peers(self) -> Iterable[str]:
        """Return the instances of the own zone that are not declared dead."""
        return tuple(self._inside.peers_by_instance)

    def zone_of(self, instance: str) -> str | None:
        """Return the zone of an instance that was heard directly."""
        peer = self._peer(instance)
        return peer.member.availability_zone if peer else None

    # Inputs

    def listed(self, entries: Iterable[ListedInstance]) -> None:
        """Take in the platform's list; it adds candidates and never removes."""
        self._listing.set_entries(entries)
        for name, peer in self._inside.peers_by_instance.items():
            peer.leaving = peer.leaving or name in self._listing.leaving
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
        self._check_pause(now)
        self._last_tick = now
        self._check_inside(now)
        self._check_across(now)
        self._refresh()
        self._send_due(now)

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message of the membership protocol."""
        if instance == self.own.instance:
            return
        if self._exchange.receive(instance, message):
            self._meet_own_zone(message)
            self._refresh()
        else:
            self._handle(message, instance)

    # Silence

    def _check_pause(self, now: float) -> None:
        paused = now - self._last_tick
        if paused >= PAUSE_SECONDS:
            self.counters[MembershipEvent.OWN_PAUSE] += 1
            self._inside.forgive(paused)
            self._across.forgive(paused)
        if self.fenced:
            self._renew()

    def _renew(self) -> None:
        """Give the own incarnation up and go on under a new one."""
        old = self.own
        self.counters[MembershipEvent.OWN_FENCED] += 1
        self.own = replace(old, incarnation=old.incarnation + 1)
        self._last_heartbeat = self._clock.seconds()
        for fenced in list(self._fenced):
            fenced(old)
        self._refresh()
        for instance in (*self.zone_peers(), *self._across.peers_by_instance):
            self._greet(instance)

    def _check_inside(self, now: float) -> None:
        for peer in list(self._inside.peers_by_instance.values()):
            standing = self._inside.standing(peer, now)
            if standing is Standing.GONE:
                self._inside.remove(peer, now)
                self._exchange.zones.forget_witness(peer.member.instance)
                self._declare_dead(peer.member)
                continue
            if standing is not Standing.HEARD:
                self._probe(peer.member)
            self._suspect(peer, standing is Standing.SUSPECTED)
        for member in self._inside.replaced_and_gone(now):
            self._declare_dead(member)

    def _suspect(self, peer: Peer, suspected: bool) -> None:
        if suspected and not peer.suspected:
            self.counters[MembershipEvent.SUSPECTED] += 1
        peer.suspected = suspected

    def _probe(self, suspect: Member) -> None:
        """Ask a few peers, of any zone, whether they hear the suspect."""
        names = self._inside.heard() + self._across.heard()
        others = [name for name in names if name != suspect.instance]
        for instance in self._random.sample(others, min(PROBES, len(others))):
            self.counters[MembershipEvent.PROBE_SENT] += 1
            request = ProbeRequest(suspect.instance, suspect.incarnation)
            self._sender.send(instance, request)

    def _declare_dead(self, member: Member) -> None:
        self.counters[MembershipEvent.DECLARED_DEAD] += 1
        for died in list(self._died):
            died(member)

    def _check_across(self, now: float) -> None:
        """Forget silent contacts, and zones that no contact is heard of."""
        self._across.forget_silent(now)
        peers = self._across.peers_by_instance.values()
        zones = {peer.member.availability_zone for peer in peers}
        for zone in self._exchange.heard():
            relieved = not self._is_contact and self._exchange.zones.has_other_witness(
                zone, self.own.instance
            )
            if zone not in zones or relieved:
                self._exchange.lose(zone)

    # Sending

    def _send_due(self, now: float) -> None:
        if now - self._last_heartbeat >= HEARTBEAT_SECONDS:
            self._last_heartbeat = now
            self._send_heartbeats()
        if now - self._last_join >= JOIN_SECONDS:
            self._last_join = now
            for candidate in self._candidates():
                self.counters[MembershipEvent.JOIN_RETRY] += 1
                self._greet(candidate.instance, reply=True)
        if now - self._last_fleet >= FLEET_SECONDS:
            self._last_fleet = now
            if self._is_contact:
                self._exchange.tell_fingerprint()

    def _send_heartbeats(self) -> None:
        inside = Heartbeat(self.own.incarnation, self._leaving)
        for instance in self.zone_peers():
            self._sender.send(instance, inside)
        if not self._remote_contacts:
            return
        across = replace(inside, zone_fingerprint=self._exchange.fingerprint())
        for member in self._remote_contacts:
            self._sender.send(member.instance, across)

    def _greet(self, instance: str, *, reply: bool = False) -> None:
        self._sender.send(instance, Presence(self.own, self._leaving, reply))

    # Whom to talk to

    def _peer(self, instance: str) -> Peer | None:
        return self._inside.peer(instance) or self._across.peer(instance)

    def _detector(self, availability_zone: str) -> FailureDetector:
        inside = availability_zone == self.own.availability_zone
        return self._inside if inside else self._across

    def _other_zones(self) -> list[str]:
        listed = self._listing.availability_zones
        heard_of = self._exchange.zones.names()
        zones = {*listed, *self.availability_zones, *heard_of}
        return sorted(zones - {self.own.availability_zone})

    def _candidates(self) -> list[Member]:
        """Return the instances to greet: own zone's unheard, and unheard zones'."""
        now = self._clock.seconds()
        inside = self._listing.members(self.own.availability_zone, now)
        found = [each for each in inside if self._inside.peer(each.instance) is None]
        if not self._is_contact:
            return found
        heard = set(self._exchange.heard())
        for zone in self._other_zones():
            if zone not in heard:
                found += self._zone_candidates(zone, now)
        return found

    def _zone_candidates(self, zone: str, now: float) -> list[Member]:
        """Return the zone's likely contacts and, in turn, each other member."""
        known = self._exchange.zones.known(zone)
        listed = self._listing.members(zone, now)
        by_instance = {each.instance: each for each in (*known, *listed)}
        members = [member for _, member in sorted(by_instance.items())]
        found = list(contacts(zone, members))
        if members:
            turn = members[int(now) % len(members)]
            found += [turn] if turn not in found else []
        return found

    # Messages

    @singledispatchmethod
    def _handle(self, message: PeerMessage, instance: str) -> None:
        self.counters[MembershipEvent.UNKNOWN_MESSAGE] += 1

    @_handle.register
    def _handle_heartbeat(self, message: Heartbeat, instance: str) -> None:
        peer = self._peer(instance)
        if self._is_old(instance, message.incarnation):
            return
        if peer is None or peer.member.incarnation != message.incarnation:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            self._sender.send(instance, PresenceRequest())
            return
        self._hear(peer, message.leaving)
        zone = peer.member.availability_zone
        if message.zone_fingerprint is None or zone == self.own.availability_zone:
            return
        self._exchange.hear(zone, message.zone_fingerprint, instance)
        self._refresh()

    @_handle.register
    def _handle_presence(self, message: Presence, instance: str) -> None:
        member = message.member
        if member.instance != instance:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            return
        if self._is_old(instance, member.incarnation):
            return
        peer = self._peer(instance)
        is_new = peer is None or peer.member != member
        if is_new:
            detector = self._detector(member.availability_zone)
            peer = detector.meet(member, self._clock.seconds())
        self._hear(peer, message.leaving)
        if message.reply:
            self._greet(instance)
        if message.reply or is_new:
            self._exchange.tell_newcomer(member)

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
        found = (message.instance, message.incarnation)
        peer = self._inside.incarnation(*found) or self._across.incarnation(*found)
        if peer is None:
            return
        age = int((self._clock.seconds() - peer.heard) * 1000)
        answer = ProbeAnswer(message.instance, message.incarnation, age)
        self._sender.send(instance, answer)

    @_handle.register
    def _handle_probe_answer(self, message: ProbeAnswer, instance: str) -> None:
        peer = self._inside.incarnation(message.instance, message.incarnation)
        if peer is None:
            return
        heard = self._clock.seconds() - message.age_milliseconds / 1000
        if heard > peer.heard:
            self.counters[MembershipEvent.PROBE_REFUTED] += 1
            peer.heard = heard

    def _is_old(self, instance: str, incarnation: int) -> bool:
        """Refuse an incarnation that is over, and tell it so."""
        detectors = (self._inside, self._across)
        if not any(each.is_old(instance, incarnation) for each in detectors):
            return False
        self.counters[MembershipEvent.OLD_INCARNATION] += 1
        self._sender.send(instance, DeclaredDead(incarnation))
        return True

    def _hear(self, peer: Peer, says_leaving: bool) -> None:
        peer.heard = self._clock.seconds()
        leaving = says_leaving or peer.member.instance in self._listing.leaving
        changed = peer.suspected or peer.leaving != leaving
        peer.suspected = False
        peer.leaving = leaving
        shown = self._live.by_instance.get(peer.member.instance)
        if changed or shown not in (None, peer.member):
            self._refresh()  # newcomers wait for the tick, as they come in numbers

    def _meet_own_zone(self, message: MembershipMessage) -> None:
        """Note the members of the own zone that another names, to greet them."""
        if not isinstance(message, ZoneUpdate):
            return
        if message.availability_zone != self.own.availability_zone:
            return
        for member in message.joined:
            known = self._inside.peer(member.instance) is not None
            if not known and member.instance != self.own.instance:
                self._listing.name(member, self._clock.seconds())

    # The live members

    def _refresh(self) -> None:
        """Work the live members out and tell the subscribers of a change."""
        earlier, self._refreshed_state = self._refreshed_state, self._state()
        if self._refreshed_state == earlier:
            return
        live = self._find_live()
        changed = live != self._live.by_instance
        if changed:
            self._live = MemberIndex(live)
        self._choose_contacts()
        for subscriber in list(self._changed) if changed else ():
            subscriber()

    def _state(self) -> tuple[object, ...]:
        """Return what the live members and the contacts follow from."""
        return (
            self.own,
            self._is_starting(),
            self._exchange.zones.version,
            self._listing.version,
            self._inside.state(),
            self._across.state(),
        )

    def _find_live(self) -> dict[str, Member]:
        live = dict(self._exchange.zones.reachable())
        for name in self._across.leaving():
            live.pop(name, None)
        return live | self._inside.live() | {self.own.instance: self.own}

    def _is_starting(self) -> bool:
        """Tell whether the zone's listed instances may not have been heard yet."""
        return self._clock.seconds() - self._started < SILENCE_SECONDS

    def _choose_contacts(self) -> None:
        """Find out whether this is a contact, and who the others' contacts are."""
        zone = self.own.availability_zone
        members = list(self.live(zone))
        if self._is_starting():
            members += self._listing.members(zone, self._clock.seconds())
        inside = contacts(zone, members)
        self._is_contact = self.own.instance in {each.instance for each in inside}
        known = self._exchange.zones.known
        self._remote_contacts = tuple(
            member
            for other in (self._other_zones() if self._is_contact else ())
            for member in contacts(other, known(other))
        )
