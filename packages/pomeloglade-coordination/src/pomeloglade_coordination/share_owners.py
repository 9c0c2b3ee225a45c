"""Which instances own the parts of an account's rate and burst."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from .bucket import Limit
from .members import MembershipView
from .rendezvous import ranked

OWNERS_PER_ZONE = 2
"""Owners of one account in each availability zone."""


@dataclass(frozen=True, slots=True)
class OwnedPart:
    """The part of an account's limit that one instance hands out."""

    instance: str
    availability_zone: str
    zone_index: int
    zone_count: int
    owner_index: int
    owner_count: int

    def limit(self, whole: Limit) -> Limit:
        """Return this owner's part of the zone's floor."""
        floor = whole.part(self.zone_index, self.zone_count)
        return floor.part(self.owner_index, self.owner_count)


class Owners(Protocol):
    """Assigns parts of accounts to instances.

    Whatever an implementation knows of the fleet, no two instances may act as
    owner of the same part at the same time.
    """

    def parts(self, account: str) -> tuple[OwnedPart, ...]:
        """Return every part of ``account``, at most one for each instance."""


class FixedOwners:
    """Owners by rendezvous over a table of instances that never changes.

    The table is part of the deployment's settings and the same at all
    instances. Since it does not follow who is live, views of the membership
    cannot disagree on an owner: a dead instance's parts stay unused until the
    instance of that name runs again. The platform must not run two processes
    under one instance name at a time.

    Parameters
    ----------
    instances_by_zone : mapping of str to tuple of str
        All instances of each availability zone, dead ones included.
    """

    def __init__(self, instances_by_zone: Mapping[str, tuple[str, ...]]) -> None:
        self._instances_by_zone = {
            zone: tuple(sorted(names)) for zone, names in instances_by_zone.items()
        }
        self._zones = tuple(sorted(self._instances_by_zone))
        self._parts_by_account: dict[str, tuple[OwnedPart, ...]] = {}

    @classmethod
    def of(cls, members: MembershipView) -> "FixedOwners":
        """Return the owners over the members that are live at this moment."""
        return cls(
            {
                zone: tuple(member.instance for member in members.live(zone))
                for zone in members.availability_zones
            }
        )

    def parts(self, account: str) -> tuple[OwnedPart, ...]:
        """Return every part of ``account``, at most one for each instance."""
        if account not in self._parts_by_account:
            self._parts_by_account[account] = tuple(
                part
                for index, zone in enumerate(self._zones)
                for part in self._zone_parts(account, zone, index)
            )
        return self._parts_by_account[account]

    def _zone_parts(self, account: str, zone: str, index: int) -> list[OwnedPart]:
        owners = ranked(account, self._instances_by_zone[zone])[:OWNERS_PER_ZONE]
        return [
            OwnedPart(name, zone, index, len(self._zones), position, len(owners))
            for position, name in enumerate(owners)
        ]
