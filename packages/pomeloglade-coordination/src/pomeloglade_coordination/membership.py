"""Heartbeat-based membership of the instances in all availability zones."""

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
    PeerLiveness,
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
"""An instance considers itself fenced this long before its peers declare it dead."""

OWN_PAUSE_SECONDS = 1.5
"""A pause of this process of at least this length does not count as peer silence."""

JOIN_SECONDS = 1.0
FLEET_FINGERPRINT_SECONDS = 5.0
PROBES_PER_SUSPECT = 3


class Membership:
    """Tracks the live instances of all zones by heartbeats.

    All instances of one zone exchange heartbeats. Between zones only the contacts of
    each zone do; they forward the members of the other zones to their own zone.
    Rendezvous hashing selects ``CONTACTS_PER_ZONE`` contacts, so in zones of two
    instances both are contacts and the fleet is a full mesh.

    An incarnation is declared dead once neither this instance nor any probed peer
    has heard from it for ``FENCE_SECONDS``. An instance that was itself paused for
    nearly as long considers itself fenced first and continues under a new
    incarnation.

    Parameters
    ----------
    own : Member
        This instance and its current incarnation.
    clock : IReactorTime
        Measures the time since each peer was last heard from.
    sender : PeerSender
        Sends the messages.
    availability_zones : tuple of str
        All zones of the deployment.
    random : random.Random
        Chooses the peers that are asked to probe.
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
        self._last_fleet_fingerprint = now
        self._listing = Listing(own.instance)
        self._intra_zone = FailureDetector()
        self._cross_zone = FailureDetector(SILENCE_SECONDS)
        self._exchange = ZoneExchange(self, sender, self.counters)
        self._change_subscribers: list[Callable[[], None]] = []
        self._death_subscribers: list[Callable[[Member], None]] = []
        self._fenced_subscribers: list[Callable[[Member], None]] = []
        self._live = MemberIndex({})
        self._is_contact = True
        self._remote_contacts: tuple[Member, ...] = ()
        self._refreshed_state: tuple[object, ...] = ()
        self._refresh()

    # Queries and subscriptions

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members, this instance included, sorted by instance.

        Members that announced their shutdown are left out.
        """
        return self._live.members(availability_zone)

    def member(self, instance: str) -> Member | None:
        """Return the live member with this name, even if it is shutting down."""
        member = self._live.by_instance.get(instance)
        if member is not None:
            return member
        peer = self._peer(instance)
        if peer is not None and peer.leaving and not peer.suspected:
            return peer.member
        return None

    def dead(self, instance: str) -> DeadMember | None:
        """Return the latest incarnation of an instance that is known to have ended."""
        return self._intra_zone.dead(instance)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the live members."""
        self._change_subscribers.append(changed)

    def subscribe_death(self, died: Callable[[Member], None]) -> None:
        """Call ``died`` for each incarnation in the own zone that is declared dead."""
        self._death_subscribers.append(died)

    def subscribe_fenced(self, fenced: Callable[[Member], None]) -> None:
        """Call ``fenced`` with each own incarnation that was replaced after fencing."""
        self._fenced_subscribers.append(fenced)

    @property
    def fenced(self) -> bool:
        """Whether peers may already have declared this incarnation dead.

        It is current even between ticks, such as just after the process was paused.
        """
        elapsed = self._clock.seconds() - self._last_heartbeat
        return elapsed >= FENCE_SECONDS - FENCE_MARGIN_SECONDS

    def connection_targets(self) -> tuple[Member, ...]:
        """Return the members to stay connected to, sorted by instance."""
        same_zone = (p.member for p in self._intra_zone.peers_by_instance.values())
        members = {each.instance: each for each in self._join_candidates()}
        members |= {each.instance: each for each in self._remote_contacts}
        members |= {each.instance: each for each in same_zone}
        return tuple(
            self._listing.with_listed_address(m) for _, m in sorted(members.items())
        )

    def zone_peers(self) -> Iterable[str]:
        """Return the instances of the own zone that are not declared dead."""
        return tuple(self._intra_zone.peers_by_instance)

    def zone_of(self, instance: str) -> str | None:
        """Return the zone of a peer of this instance, ``None`` if it isn't one."""
        peer = self._peer(instance)
        return peer.member.availability_zone if peer else None

    # Inputs

    def update_listing(self, entries: Iterable[ListedInstance]) -> None:
        """Apply the platform's instance list.

        It adds join candidates and marks leaving members, but removes no member.
        """
        self._listing.set_entries(entries)
        for name, peer in self._intra_zone.peers_by_instance.items():
            peer.leaving = peer.leaving or name in self._listing.leaving
        self._refresh()

    def peer_connected(self, member: Member) -> None:
        """Exchange ``Presence`` with an instance after connecting to it."""
        if member.instance != self.own.instance:
            self._send_presence(member.instance, reply=True)

    def announce_leaving(self) -> None:
        """Announce to the peers that this instance is shutting down."""
        self._leaving = True
        self._send_heartbeats()

    def tick(self) -> None:
        """Check the peers and send due messages; call it every ``TICK_SECONDS``."""
        now = self._clock.seconds()
        self._check_pause(now)
        self._last_tick = now
        self._check_own_zone(now)
        self._check_remote_zones(now)
        self._refresh()
        self._send_due(now)

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message of the membership protocol."""
        if instance == self.own.instance:
            return
        if self._exchange.receive(instance, message):
            self._add_join_candidates(message)
            self._refresh()
        else:
            self._handle(message, instance)

    # Failure detection

    def _check_pause(self, now: float) -> None:
        paused = now - self._last_tick
        if paused >= OWN_PAUSE_SECONDS:
            self.counters[MembershipEvent.OWN_PAUSE] += 1
            self._intra_zone.discount_pause(paused)
            self._cross_zone.discount_pause(paused)
        if self.fenced:
            self._start_new_incarnation()

    def _start_new_incarnation(self) -> None:
        """Replace the own incarnation by the next one and announce it."""
        old = self.own
        self.counters[MembershipEvent.OWN_FENCED] += 1
        self.own = replace(old, incarnation=old.incarnation + 1)
        self._last_heartbeat = self._clock.seconds()
        for fenced in list(self._fenced_subscribers):
            fenced(old)
        self._refresh()
        for instance in (*self.zone_peers(), *self._cross_zone.peers_by_instance):
            self._send_presence(instance)

    def _check_own_zone(self, now: float) -> None:
        for peer in list(self._intra_zone.peers_by_instance.values()):
            liveness = self._intra_zone.liveness(peer, now)
            if liveness is PeerLiveness.GONE:
                self._intra_zone.remove(peer, now)
                self._exchange.zones.remove_observer_from_all(peer.member.instance)
                self._declare_dead(peer.member)
                continue
            if liveness is not PeerLiveness.HEARD:
                self._probe(peer.member)
            self._set_suspected(peer, liveness is PeerLiveness.SUSPECTED)
        for member in self._intra_zone.pop_expired_replaced(now):
            self._declare_dead(member)

    def _set_suspected(self, peer: Peer, suspected: bool) -> None:
        if suspected and not peer.suspected:
            self.counters[MembershipEvent.SUSPECTED] += 1
        peer.suspected = suspected

    def _probe(self, suspect: Member) -> None:
        """Ask up to ``PROBES_PER_SUSPECT`` peers of any zone about the suspect."""
        names = self._intra_zone.unsuspected() + self._cross_zone.unsuspected()
        others = [name for name in names if name != suspect.instance]
        for instance in self._random.sample(
            others, min(PROBES_PER_SUSPECT, len(others))
        ):
            self.counters[MembershipEvent.PROBE_SENT] += 1
            request = ProbeRequest(suspect.instance, suspect.incarnation)
            self._sender.send(instance, request)

    def _declare_dead(self, member: Member) -> None:
        self.counters[MembershipEvent.DECLARED_DEAD] += 1
        for died in list(self._death_subscribers):
            died(member)

    def _check_remote_zones(self, now: float) -> None:
        """Remove silent contacts, and report zones as lost that have none left.

        An instance that is no longer a contact also stops observing the zones that
        another instance of its zone observes.
        """
        self._cross_zone.remove_silent(now)
        peers = self._cross_zone.peers_by_instance.values()
        zones = {peer.member.availability_zone for peer in peers}
        for zone in self._exchange.observed_zones():
            superseded = (
                not self._is_contact
                and self._exchange.zones.has_other_observer(zone, self.own.instance)
            )
            if zone not in zones or superseded:
                self._exchange.report_lost(zone)

    # Sending

    def _send_due(self, now: float) -> None:
        if now - self._last_heartbeat >= HEARTBEAT_SECONDS:
            self._last_heartbeat = now
            self._send_heartbeats()
        if now - self._last_join >= JOIN_SECONDS:
            self._last_join = now
            for candidate in self._join_candidates():
                self.counters[MembershipEvent.JOIN_RETRY] += 1
                self._send_presence(candidate.instance, reply=True)
        if now - self._last_fleet_fingerprint >= FLEET_FINGERPRINT_SECONDS:
            self._last_fleet_fingerprint = now
            if self._is_contact:
                self._exchange.broadcast_fingerprint()

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(self.own.incarnation, self._leaving)
        for instance in self.zone_peers():
            self._sender.send(instance, heartbeat)
        if not self._remote_contacts:
            return
        cross_zone = replace(heartbeat, zone_fingerprint=self._exchange.fingerprint())
        for member in self._remote_contacts:
            self._sender.send(member.instance, cross_zone)

    def _send_presence(self, instance: str, *, reply: bool = False) -> None:
        self._sender.send(instance, Presence(self.own, self._leaving, reply))

    # Peers and join candidates

    def _peer(self, instance: str) -> Peer | None:
        return self._intra_zone.peer(instance) or self._cross_zone.peer(instance)

    def _detector(self, availability_zone: str) -> FailureDetector:
        is_own_zone = availability_zone == self.own.availability_zone
        return self._intra_zone if is_own_zone else self._cross_zone

    def _other_zones(self) -> list[str]:
        listed = self._listing.availability_zones
        known = self._exchange.zones.names()
        zones = {*listed, *self.availability_zones, *known}
        return sorted(zones - {self.own.availability_zone})

    def _join_candidates(self) -> list[Member]:
        """Return the instances to connect to and exchange ``Presence`` with.

        In the own zone, these are the listed and peer-named instances that are not
        peers yet. If this instance is a contact, they also include the likely contacts
        and one more member of each other zone that it does not observe; these may
        already be peers.
        """
        now = self._clock.seconds()
        listed = self._listing.members(self.own.availability_zone, now)
        candidates = [m for m in listed if self._intra_zone.peer(m.instance) is None]
        if not self._is_contact:
            return candidates
        observed = set(self._exchange.observed_zones())
        for zone in self._other_zones():
            if zone not in observed:
                candidates += self._zone_candidates(zone, now)
        return candidates

    def _zone_candidates(self, zone: str, now: float) -> list[Member]:
        """Return the likely contacts of a zone and one more member.

        That member rotates with time, so that outdated contacts do not prevent a
        join.
        """
        known = self._exchange.zones.last_known_members(zone)
        listed = self._listing.members(zone, now)
        by_instance = {each.instance: each for each in (*known, *listed)}
        members = [member for _, member in sorted(by_instance.items())]
        candidates = list(contacts(zone, members))
        if members:
            extra = members[int(now) % len(members)]
            candidates += [extra] if extra not in candidates else []
        return candidates

    # Messages

    @singledispatchmethod
    def _handle(self, message: PeerMessage, instance: str) -> None:
        self.counters[MembershipEvent.UNKNOWN_MESSAGE] += 1

    @_handle.register
    def _handle_heartbeat(self, message: Heartbeat, instance: str) -> None:
        peer = self._peer(instance)
        if self._reject_outdated(instance, message.incarnation):
            return
        if peer is None or peer.member.incarnation != message.incarnation:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            self._sender.send(instance, PresenceRequest())
            return
        self._record_heard(peer, message.leaving)
        zone = peer.member.availability_zone
        if message.zone_fingerprint is None or zone == self.own.availability_zone:
            return
        self._exchange.receive_fingerprint(zone, message.zone_fingerprint, instance)
        self._refresh()

    @_handle.register
    def _handle_presence(self, message: Presence, instance: str) -> None:
        member = message.member
        if member.instance != instance:
            self.counters[MembershipEvent.UNKNOWN_SENDER] += 1
            return
        if self._reject_outdated(instance, member.incarnation):
            return
        peer = self._peer(instance)
        is_new = peer is None or peer.member != member
        if is_new:
            detector = self._detector(member.availability_zone)
            peer = detector.add_peer(member, self._clock.seconds())
        self._record_heard(peer, message.leaving)
        if message.reply:
            self._send_presence(instance)
        if message.reply or is_new:
            self._exchange.send_members(member)

    @_handle.register
    def _handle_presence_request(self, message: PresenceRequest, instance: str) -> None:
        self._send_presence(instance)

    @_handle.register
    def _handle_declared_dead(self, message: DeclaredDead, instance: str) -> None:
        if message.incarnation == self.own.incarnation:
            self._start_new_incarnation()
            self._send_presence(instance)

    @_handle.register
    def _handle_probe(self, message: ProbeRequest, instance: str) -> None:
        target = (message.instance, message.incarnation)
        peer = self._intra_zone.find(*target) or self._cross_zone.find(*target)
        if peer is None:
            return
        age = int((self._clock.seconds() - peer.last_heard) * 1000)
        answer = ProbeAnswer(message.instance, message.incarnation, age)
        self._sender.send(instance, answer)

    @_handle.register
    def _handle_probe_answer(self, message: ProbeAnswer, instance: str) -> None:
        peer = self._intra_zone.find(message.instance, message.incarnation)
        if peer is None:
            return
        heard = self._clock.seconds() - message.age_milliseconds / 1000
        if heard > peer.last_heard:
            self.counters[MembershipEvent.PROBE_REFUTED] += 1
            peer.last_heard = heard

    def _reject_outdated(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation is outdated; send it ``DeclaredDead`` if so."""
        detectors = (self._intra_zone, self._cross_zone)
        if not any(each.is_outdated(instance, incarnation) for each in detectors):
            return False
        self.counters[MembershipEvent.OLD_INCARNATION] += 1
        self._sender.send(instance, DeclaredDead(incarnation))
        return True

    def _record_heard(self, peer: Peer, announced_leaving: bool) -> None:
        peer.last_heard = self._clock.seconds()
        leaving = announced_leaving or peer.member.instance in self._listing.leaving
        changed = peer.suspected or peer.leaving != leaving
        peer.suspected = False
        peer.leaving = leaving
        current = self._live.by_instance.get(peer.member.instance)
        if changed or current not in (None, peer.member):
            self._refresh()  # new peers wait for the tick, as many join at once

    def _add_join_candidates(self, message: MembershipMessage) -> None:
        """Add members in a ``ZoneUpdate`` of the own zone that are not peers yet."""
        if not isinstance(message, ZoneUpdate):
            return
        if message.availability_zone != self.own.availability_zone:
            return
        for member in message.joined:
            known = self._intra_zone.peer(member.instance) is not None
            if not known and member.instance != self.own.instance:
                self._listing.add_named(member, self._clock.seconds())

    # The live members

    def _refresh(self) -> None:
        """Recompute the live members and contacts; notify subscribers of a change."""
        earlier, self._refreshed_state = self._refreshed_state, self._state()
        if self._refreshed_state == earlier:
            return
        live = self._compute_live()
        changed = live != self._live.by_instance
        if changed:
            self._live = MemberIndex(live)
        self._update_contacts()
        for subscriber in list(self._change_subscribers) if changed else ():
            subscriber()

    def _state(self) -> tuple[object, ...]:
        """Return the inputs of the live members and contacts, to detect changes."""
        return (
            self.own,
            self._is_starting(),
            self._exchange.zones.version,
            self._listing.version,
            self._intra_zone.state(),
            self._cross_zone.state(),
        )

    def _compute_live(self) -> dict[str, Member]:
        live = dict(self._exchange.zones.reachable_members())
        for name in self._cross_zone.leaving():
            live.pop(name, None)
        return live | self._intra_zone.live() | {self.own.instance: self.own}

    def _is_starting(self) -> bool:
        """Return whether listed instances may be running that are not peers yet."""
        return self._clock.seconds() - self._started < SILENCE_SECONDS

    def _update_contacts(self) -> None:
        """Determine whether this is a contact, and the contacts of other zones."""
        zone = self.own.availability_zone
        members = list(self.live(zone))
        if self._is_starting():
            members += self._listing.members(zone, self._clock.seconds())
        own_contacts = contacts(zone, members)
        self._is_contact = self.own.instance in {m.instance for m in own_contacts}
        known = self._exchange.zones.last_known_members
        self._remote_contacts = tuple(
            member
            for other in (self._other_zones() if self._is_contact else ())
            for member in contacts(other, known(other))
        )
