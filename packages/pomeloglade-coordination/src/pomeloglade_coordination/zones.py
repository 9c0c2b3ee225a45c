"""Members of the other availability zones, as reported by their contacts."""

import functools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import xxhash

from .members import Member
from .membership_messages import ZoneUpdate
from .rendezvous import score

CONTACTS_PER_ZONE = 2
"""How many instances of a zone contact other zones and watch the platform."""


def contacts(
    availability_zone: str,
    members: Iterable[Member],
    count: int = CONTACTS_PER_ZONE,
) -> tuple[Member, ...]:
    """Return the members that represent their zone.

    Rendezvous hashing selects them, so instances with the same members agree without
    communication.
    """
    by_instance = {member.instance: member for member in members}
    names = sorted(by_instance, key=lambda name: _rank(availability_zone, name))
    return tuple(by_instance[name] for name in names[:count])


@functools.lru_cache(maxsize=4096)
def _rank(availability_zone: str, instance: str) -> tuple[int, str]:
    return -score(f"contact {availability_zone}", instance), instance


def fingerprint(members: Iterable[Member]) -> int:
    """Return a 32-bit digest of the members and their incarnations."""
    names = sorted(f"{each.instance}\x00{each.incarnation}" for each in members)
    return xxhash.xxh32_intdigest("\x00".join(names).encode())


@dataclass(slots=True)
class RemoteZone:
    """The members of another zone, and its observers in the own zone."""

    members_by_instance: dict[str, Member] = field(default_factory=dict)
    fingerprint: int = 0
    observers: set[str] = field(default_factory=set)


class RemoteZones:
    """The members and observers of the other zones.

    An observer is an instance of the own zone that gets heartbeats from a contact of
    the other zone.
    A zone is reachable while it has an observer. Which of its members are live is
    decided within the zone. ``version`` grows with every change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._zones_by_name: dict[str, RemoteZone] = {}

    def apply(self, update: ZoneUpdate) -> ZoneUpdate | None:
        """Apply an update and return the resulting difference.

        Returns ``None`` if the update has another base or the result does not match
        its fingerprint.
        """
        zone = self._zone(update.availability_zone)
        before = zone.members_by_instance
        if update.base is None:
            after = {}
        elif update.base == zone.fingerprint:
            after = {n: each for n, each in before.items() if n not in update.left}
        elif update.fingerprint == zone.fingerprint:
            after = before
        else:
            return None
        if update.fingerprint != zone.fingerprint:
            after = after | {each.instance: each for each in update.joined}
        elif update.base is None:
            after = before
        if fingerprint(after.values()) != update.fingerprint:
            return None
        zone.members_by_instance = after
        self.version += 1
        change = replace(
            update,
            base=zone.fingerprint,
            joined=tuple(m for n, m in after.items() if before.get(n) != m),
            left=tuple(sorted(before.keys() - after.keys())),
        )
        zone.fingerprint = update.fingerprint
        return change

    def full_update(self, availability_zone: str) -> ZoneUpdate:
        """Return an update that lists all members of a zone."""
        zone = self._zone(availability_zone)
        members = tuple(zone.members_by_instance.values())
        return ZoneUpdate(availability_zone, None, zone.fingerprint, members)

    def add_observer(self, availability_zone: str, instance: str) -> bool:
        """Add an observer of the zone; return whether it is new."""
        zone = self._zone(availability_zone)
        changed = instance not in zone.observers
        zone.observers.add(instance)
        self.version += changed
        return changed

    def remove_observer(self, availability_zone: str, instance: str) -> bool:
        """Remove an observer of the zone; return whether it was one."""
        zone = self._zone(availability_zone)
        changed = instance in zone.observers
        zone.observers.discard(instance)
        self.version += changed
        return changed

    def remove_observer_from_all(self, instance: str) -> None:
        """Remove an instance from the observers of every zone."""
        for name in self._zones_by_name:
            self.remove_observer(name, instance)

    def observed_by(self, instance: str) -> tuple[str, ...]:
        """Return the zones that ``instance`` observes, sorted."""
        zones = self._zones_by_name.items()
        return tuple(sorted(name for name, z in zones if instance in z.observers))

    def names(self) -> tuple[str, ...]:
        """Return all known zones, reachable or not, sorted."""
        return tuple(sorted(self._zones_by_name))

    def has_other_observer(self, availability_zone: str, instance: str) -> bool:
        """Return whether the zone has an observer other than ``instance``."""
        return bool(self._zone(availability_zone).observers - {instance})

    def fleet_fingerprint(self, instance: str) -> int:
        """Return a digest of all zones that ``instance`` observes."""
        names = self.observed_by(instance)
        pairs = (f"{name}\x00{self.fingerprint(name)}" for name in names)
        return xxhash.xxh32_intdigest("\x00".join(pairs).encode())

    def fingerprint(self, availability_zone: str) -> int:
        """Return the fingerprint of the last known members of a zone."""
        return self._zone(availability_zone).fingerprint

    def last_known_members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the last known members, even of a zone that is not reachable."""
        return tuple(self._zone(availability_zone).members_by_instance.values())

    def reachable_members(self) -> Mapping[str, Member]:
        """Return the members of every reachable zone, by instance."""
        members: dict[str, Member] = {}
        for zone in self._zones_by_name.values():
            if zone.observers:
                members |= zone.members_by_instance
        return members

    def _zone(self, availability_zone: str) -> RemoteZone:
        return self._zones_by_name.setdefault(availability_zone, RemoteZone())
