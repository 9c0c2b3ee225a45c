"""The platform's lagging list of instances."""

from collections.abc import Iterable
from dataclasses import dataclass

from .members import Member

UNKNOWN_INCARNATION = 0


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list."""

    instance: str
    availability_zone: str
    address: str
    leaving: bool = False


class Listing:
    """The entries listed last, by zone.

    Parameters
    ----------
    entries : iterable of ListedInstance
        The platform's list.
    own : str
        The own instance, which is left out.
    """

    def __init__(self, entries: Iterable[ListedInstance] = (), own: str = "") -> None:
        self.leaving: set[str] = set()
        self._members_by_zone: dict[str, list[Member]] = {}
        for entry in sorted(entries, key=lambda each: each.instance):
            self._add(entry, own)

    def _add(self, entry: ListedInstance, own: str) -> None:
        if entry.leaving:
            self.leaving.add(entry.instance)
            return
        zone = entry.availability_zone
        member = Member(entry.instance, zone, UNKNOWN_INCARNATION, entry.address)
        if entry.instance != own:
            self._members_by_zone.setdefault(zone, []).append(member)

    def availability_zones(self) -> tuple[str, ...]:
        """Return the zones of the instances listed."""
        return tuple(self._members_by_zone)

    def members(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the instances listed as live in a zone, their incarnation unknown."""
        return tuple(self._members_by_zone.get(availability_zone, ()))
