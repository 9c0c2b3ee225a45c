"""Assignment of the parts of an account's rate and burst to instances."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from .bucket import Limit
from .members import MembershipView
from .rendezvous import rank_members

OWNERS_PER_ZONE = 2
"""Most owners of one account in each availability zone."""


@dataclass(frozen=True, slots=True)
class OwnedPart:
    """The part of an account's limit that one instance owns and lends from."""

    instance: str
    availability_zone: str
    zone_index: int
    zone_count: int
    owner_index: int
    owner_count: int

    def limit(self, account_limit: Limit) -> Limit:
        """Return this owner's part of the zone's part of the account's limit."""
        zone_limit = account_limit.part(self.zone_index, self.zone_count)
        return zone_limit.part(self.owner_index, self.owner_count)


class Owners(Protocol):
    """Assigns the parts of accounts' limits to instances.

    An implementation must ensure that no two instances act as owner of the same
    part at the same time, even if their views of the fleet differ.
    """

    def parts(self, account: str) -> tuple[OwnedPart, ...]:
        """Return every part of ``account``, at most one for each instance."""


class FixedOwners:
    """Assigns owners by rendezvous hashing over a fixed table of instances.

    The table is part of the deployment's settings and the same at all
    instances. Since it does not depend on which instances are live, instances
    cannot disagree on an owner. The parts of a dead instance stay unused until an
    instance of that name runs again. The platform must not run two processes
    under one instance name at a time.

    Parameters
    ----------
    instances_by_zone : mapping of str to tuple of str
        All instances of each availability zone, including dead ones.
    """

    def __init__(self, instances_by_zone: Mapping[str, tuple[str, ...]]) -> None:
        self._instances_by_zone = {
            zone: tuple(sorted(names)) for zone, names in instances_by_zone.items()
        }
        self._zones = tuple(sorted(self._instances_by_zone))
        self._parts_by_account: dict[str, tuple[OwnedPart, ...]] = {}

    @classmethod
    def from_members(cls, members: MembershipView) -> "FixedOwners":
        """Return the assignment over the members that are live now."""
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
        owners = rank_members(account, self._instances_by_zone[zone])[:OWNERS_PER_ZONE]
        return [
            OwnedPart(name, zone, index, len(self._zones), position, len(owners))
            for position, name in enumerate(owners)
        ]
