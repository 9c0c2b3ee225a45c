"""Exchange of the zones' members between their contacts."""

from collections import Counter
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Protocol

from .members import Member
from .membership_counters import MembershipEvent
from .membership_messages import (
    FleetFingerprint,
    FleetRequest,
    MembershipMessage,
    ZoneLost,
    ZoneRequest,
    ZoneUpdate,
)
from .peer import PeerSender
from .zones import RemoteZones, fingerprint


class OwnZone(Protocol):
    """What the exchange needs to know of the own zone and its peers."""

    own: Member

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members."""

    def zone_peers(self) -> Iterable[str]:
        """Return the instances of the own zone that are not declared dead."""

    def zone_of(self, instance: str) -> str | None:
        """Return the zone of an instance that was heard directly."""


class ZoneExchange:
    """Learns the members of other zones and passes them on to the own zone.

    A contact asks another zone for its members when a heartbeat carries a
    fingerprint that it does not know, and tells its own zone what changed. A lost
    message shows in the next ``FleetFingerprint`` and is asked for again.

    Parameters
    ----------
    own_zone : OwnZone
        The own zone.
    sender : PeerSender
        Sends the messages.
    counters : Counter
        Counts losses and mismatches.
    """

    def __init__(
        self,
        own_zone: OwnZone,
        sender: PeerSender,
        counters: Counter[MembershipEvent],
    ) -> None:
        self.zones = RemoteZones()
        self._own_zone = own_zone
        self._sender = sender
        self._counters = counters

    @property
    def _own(self) -> Member:
        return self._own_zone.own

    def fingerprint(self) -> int:
        """Return the fingerprint of the own zone's live members."""
        return fingerprint(self._own_zone.live(self._own.availability_zone))

    def heard(self) -> tuple[str, ...]:
        """Return the zones that this instance hears itself, sorted."""
        return self.zones.heard_by(self._own.instance)

    def hear(self, zone: str, zone_fingerprint: int, instance: str) -> None:
        """Take in the fingerprint of another zone from a contact's heartbeat."""
        if zone_fingerprint != self.zones.fingerprint(zone):
            self._sender.send(instance, ZoneRequest(zone))
        elif self.zones.hear(zone, self._own.instance):
            self._counters[MembershipEvent.ZONE_FOUND] += 1
            self._tell_zone(self.zones.whole(zone))

    def lose(self, zone: str) -> None:
        """Stop vouching for a zone, and tell the own zone so."""
        if self.zones.lose(zone, self._own.instance):
            self._counters[MembershipEvent.ZONE_LOST] += 1
            self._tell_zone(ZoneLost(zone))

    def tell_newcomer(self, member: Member) -> None:
        """Tell a new instance of the own zone's members, and what this one hears."""
        own = self._own.availability_zone
        self._sender.send(member.instance, self._whole(own))
        if member.availability_zone == own:
            self._tell_heard(member.instance)
        elif member.availability_zone in self.heard():
            whole = self.zones.whole(member.availability_zone)
            self._sender.send(member.instance, whole)

    def tell_fingerprint(self) -> None:
        """Send the own zone one number that shows whether an update was lost."""
        number = self.zones.fleet_fingerprint(self._own.instance)
        self._tell_zone(FleetFingerprint(number))

    def receive(self, instance: str, message: MembershipMessage) -> bool:
        """Handle a message; false when it is none of the exchange."""
        return self._handle(message, instance)

    @singledispatchmethod
    def _handle(self, message: MembershipMessage, instance: str) -> bool:
        return False

    @_handle.register
    def _handle_update(self, message: ZoneUpdate, instance: str) -> bool:
        zone = message.availability_zone
        if zone == self._own.availability_zone:
            return True
        witness = self._witness(zone, instance)
        if witness is None:
            self._counters[MembershipEvent.UNKNOWN_SENDER] += 1
            return True
        change = self.zones.apply(message)
        if change is None:
            self._counters[MembershipEvent.ZONE_MISMATCH] += 1
            self._sender.send(instance, ZoneRequest(zone))
            return True
        news = self.zones.hear(zone, witness)
        if witness == self._own.instance:
            if news:
                self._counters[MembershipEvent.ZONE_FOUND] += 1
            self._tell_zone(self.zones.whole(zone) if news else change)
        return True

    @_handle.register
    def _handle_lost(self, message: ZoneLost, instance: str) -> bool:
        self.zones.lose(message.availability_zone, instance)
        return True

    @_handle.register
    def _handle_request(self, message: ZoneRequest, instance: str) -> bool:
        self._sender.send(instance, self._whole(message.availability_zone))
        return True

    @_handle.register
    def _handle_fleet(self, message: FleetFingerprint, instance: str) -> bool:
        if message.fingerprint != self.zones.fleet_fingerprint(instance):
            self._counters[MembershipEvent.ZONE_MISMATCH] += 1
            self._sender.send(instance, FleetRequest())
        return True

    @_handle.register
    def _handle_fleet_request(self, message: FleetRequest, instance: str) -> bool:
        self._tell_heard(instance)
        heard = set(self.heard())
        for zone in self.zones.names():
            if zone not in heard:
                self._sender.send(instance, ZoneLost(zone))
        return True

    def _witness(self, zone: str, instance: str) -> str | None:
        """Return who hears ``zone`` when ``instance`` tells of its members."""
        sender_zone = self._own_zone.zone_of(instance)
        if sender_zone == self._own.availability_zone != zone:
            return instance
        return self._own.instance if sender_zone == zone else None

    def _whole(self, zone: str) -> ZoneUpdate:
        if zone != self._own.availability_zone:
            return self.zones.whole(zone)
        members = self._own_zone.live(zone)
        return ZoneUpdate(zone, None, fingerprint(members), members)

    def _tell_heard(self, instance: str) -> None:
        for zone in self.heard():
            self._sender.send(instance, self.zones.whole(zone))

    def _tell_zone(self, message: MembershipMessage) -> None:
        for instance in self._own_zone.zone_peers():
            self._sender.send(instance, message)
