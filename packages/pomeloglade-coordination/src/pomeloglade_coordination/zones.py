"""Members of the other availability zones, as the zones' contacts tell them."""

import functools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import xxhash

from .members import Member
from .membership_messages import ZoneUpdate
from .rendezvous import score

CONTACTS_PER_ZONE = 2
"""How many instances of a zone talk to other zones and watch the platform."""


def contacts(
    availability_zone: str,
    members: Iterable[Member],
    count: int = CONTACTS_PER_ZONE,
) -> tuple[Member, ...]:
    """Return the members that act for their zone, without any agreement."""
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
    """The members of another zone, and who of the own zone hears them."""

    members_by_instance: dict[str, Member] = field(default_factory=dict)
    fingerprint: int = 0
    heard_by: set[str] = field(default_factory=set)


class RemoteZones:
    """What is known of the other zones.

    A zone counts as reachable while the own instance or one live member of the own
    zone hears it. The zone itself decides which of its members live. ``version``
    grows with every change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._zones_by_name: dict[str, RemoteZone] = {}

    def apply(self, update: ZoneUpdate) -> ZoneUpdate | None:
        """Take an update in and return the change; ``None`` on another base."""
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

    def whole(self, availability_zone: str) -> ZoneUpdate:
        """Return an update with all members of a zone."""
        zone = self._zone(availability_zone)
        members = tuple(zone.members_by_instance.values())
        return ZoneUpdate(availability_zone, None, zone.fingerprint, members)

    def hear(self, availability_zone: str, instance: str) -> bool:
        """Record that ``instance`` hears the zone; true when that is news."""
        zone = self._zone(availability_zone)
        news = instance not in zone.heard_by
        zone.heard_by.add(instance)
        self.version += news
        return news

    def lose(self, availability_zone: str, instance: str) -> bool:
        """Record that ``instance`` hears the zone no more; true when it did."""
        zone = self._zone(availability_zone)
        news = instance in zone.heard_by
        zone.heard_by.discard(instance)
        self.version += news
        return news

    def forget_witness(self, instance: str) -> None:
        """Drop what a member of the own zone that is gone had heard."""
        for name in self._zones_by_name:
            self.lose(name, instance)

    def heard_by(self, instance: str) -> tuple[str, ...]:
        """Return the zones that ``instance`` hears, sorted."""
        zones = self._zones_by_name.items()
        return tuple(sorted(name for name, z in zones if instance in z.heard_by))

    def names(self) -> tuple[str, ...]:
        """Return the zones that were ever heard of, sorted."""
        return tuple(sorted(self._zones_by_name))

    def has_other_witness(self, availability_zone: str, instance: str) -> bool:
        """Tell whether anyone but ``instance`` hears the zone."""
        return bool(self._zone(availability_zone).heard_by - {instance})

    def fleet_fingerprint(self, instance: str) -> int:
        """Return all zones that ``instance`` hears as one number."""
        names = self.heard_by(instance)
        pairs = (f"{name}\x00{self.fingerprint(name)}" for name in names)
        return xxhash.xxh32_intdigest("\x00".join(pairs).encode())

    def fingerprint(self, availability_zone: str) -> int:
        """Return the fingerprint of the members known of a zone."""
        return self._zone(availability_zone).fingerprint

    def known(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the members known last, also of a zone that is not heard."""
        return tuple(self._zone(availability_zone).members_by_instance.values())

    def reachable(self) -> Mapping[str, Member]:
        """Return the members of every zone that is heard, by instance."""
        found: dict[str, Member] = {}
        for zone in self._zones_by_name.values():
            if zone.heard_by:
                found |= zone.members_by_instance
        return found

    def _zone(self, availability_zone: str) -> RemoteZone:
        return self._zones_by_name.setdefault(availability_zone, RemoteZone())
