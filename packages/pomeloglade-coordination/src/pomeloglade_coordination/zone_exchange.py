"""Exchange of member lists between the contacts of different zones."""

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
    """Read access to the own zone and its peers."""

    own: Member

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members."""

    def zone_peers(self) -> Iterable[str]:
        """Return the instances of the own zone that are not declared dead."""

    def zone_of(self, instance: str) -> str | None:
        """Return the zone of a peer of this instance, ``None`` if it isn't one."""


class ZoneExchange:
    """Receives the members of other zones and forwards them to the own zone.

    A contact requests the members of another zone when a heartbeat carries a
    fingerprint that differs from the one it knows, and broadcasts the difference to
    its own zone. A lost message makes the next ``FleetFingerprint`` differ, and the
    members are requested again.

    Parameters
    ----------
    own_zone : OwnZone
        The live members and peers of the own zone.
    sender : PeerSender
        Sends the messages.
    counters : Counter
        Counts zones found and lost, and fingerprint mismatches.
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

    def observed_zones(self) -> tuple[str, ...]:
        """Return the zones that this instance observes, sorted."""
        return self.zones.observed_by(self._own.instance)

    def receive_fingerprint(
        self, zone: str, zone_fingerprint: int, instance: str
    ) -> None:
        """Compare the fingerprint in a heartbeat of another zone's contact."""
        if zone_fingerprint != self.zones.fingerprint(zone):
            self._sender.send(instance, ZoneRequest(zone))
        elif self.zones.add_observer(zone, self._own.instance):
            self._counters[MembershipEvent.ZONE_FOUND] += 1
            self._broadcast(self.zones.full_update(zone))

    def report_lost(self, zone: str) -> None:
        """Stop observing a zone, and report it to the own zone."""
        if self.zones.remove_observer(zone, self._own.instance):
            self._counters[MembershipEvent.ZONE_LOST] += 1
            self._broadcast(ZoneLost(zone))

    def send_members(self, member: Member) -> None:
        """Send a new peer the members of the own zone and of observed zones.

        Of the observed zones, a peer of another zone is sent only the one it is in.
        """
        own = self._own.availability_zone
        self._sender.send(member.instance, self._full_update(own))
        if member.availability_zone == own:
            self._send_observed_zones(member.instance)
        elif member.availability_zone in self.observed_zones():
            update = self.zones.full_update(member.availability_zone)
            self._sender.send(member.instance, update)

    def broadcast_fingerprint(self) -> None:
        """Send the fleet fingerprint to the own zone, to reveal lost updates."""
        fleet_fingerprint = self.zones.fleet_fingerprint(self._own.instance)
        self._broadcast(FleetFingerprint(fleet_fingerprint))

    def receive(self, instance: str, message: MembershipMessage) -> bool:
        """Handle a message; return whether it belongs to the exchange."""
        return self._handle(message, instance)

    @singledispatchmethod
    def _handle(self, message: MembershipMessage, instance: str) -> bool:
        return False

    @_handle.register
    def _handle_update(self, message: ZoneUpdate, instance: str) -> bool:
        zone = message.availability_zone
        if zone == self._own.availability_zone:
            return True
        observer = self._observer(zone, instance)
        if observer is None:
            self._counters[MembershipEvent.UNKNOWN_SENDER] += 1
            return True
        change = self.zones.apply(message)
        if change is None:
            self._counters[MembershipEvent.ZONE_MISMATCH] += 1
            self._sender.send(instance, ZoneRequest(zone))
            return True
        is_new = self.zones.add_observer(zone, observer)
        if observer == self._own.instance:
            if is_new:
                self._counters[MembershipEvent.ZONE_FOUND] += 1
            self._broadcast(self.zones.full_update(zone) if is_new else change)
        return True

    @_handle.register
    def _handle_lost(self, message: ZoneLost, instance: str) -> bool:
        self.zones.remove_observer(message.availability_zone, instance)
        return True

    @_handle.register
    def _handle_request(self, message: ZoneRequest, instance: str) -> bool:
        self._sender.send(instance, self._full_update(message.availability_zone))
        return True

    @_handle.register
    def _handle_fleet(self, message: FleetFingerprint, instance: str) -> bool:
        if message.fingerprint != self.zones.fleet_fingerprint(instance):
            self._counters[MembershipEvent.ZONE_MISMATCH] += 1
            self._sender.send(instance, FleetRequest())
        return True

    @_handle.register
    def _handle_fleet_request(self, message: FleetRequest, instance: str) -> bool:
        self._send_observed_zones(instance)
        observed = set(self.observed_zones())
        for zone in self.zones.names():
            if zone not in observed:
                self._sender.send(instance, ZoneLost(zone))
        return True

    def _observer(self, zone: str, instance: str) -> str | None:
        """Return the observer of ``zone`` implied by an update from ``instance``.

        A sender in the own zone forwards what it observes; a sender in ``zone``
        itself is observed by this instance.
        """
        sender_zone = self._own_zone.zone_of(instance)
        if sender_zone == self._own.availability_zone != zone:
            return instance
        return self._own.instance if sender_zone == zone else None

    def _full_update(self, zone: str) -> ZoneUpdate:
        if zone != self._own.availability_zone:
            return self.zones.full_update(zone)
        members = self._own_zone.live(zone)
        return ZoneUpdate(zone, None, fingerprint(members), members)

    def _send_observed_zones(self, instance: str) -> None:
        for zone in self.observed_zones():
            self._sender.send(instance, self.zones.full_update(zone))

    def _broadcast(self, message: MembershipMessage) -> None:
        for instance in self._own_zone.zone_peers():
            self._sender.send(instance, message)
