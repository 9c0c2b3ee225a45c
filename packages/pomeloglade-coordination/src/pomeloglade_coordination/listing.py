"""The platform's lagging list of instances."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .members import Member

UNKNOWN_INCARNATION = 0
NAMED_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list."""

    instance: str
    availability_zone: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _Named:
    """A member that a peer named, and until when to count it."""

    member: Member
    until: float


class Listing:
    """The instances listed last, and those that peers have named since.

    ``version`` grows with each list.

    Parameters
    ----------
    own : str
        The own instance, which is left out.
    """

    def __init__(self, own: str) -> None:
        self.version = 0
        self.leaving: frozenset[str] = frozenset()
        self.availability_zones: frozenset[str] = frozenset()
        self._own = own
        self._listed: dict[str, Member] = {}
        self._named_by_instance: dict[str, _Named] = {}

    def set_entries(self, entries: Iterable[ListedInstance]) -> None:
        """Take the platform's list in place of the earlier one."""
        self.version += 1
        known = [each for each in entries if each.instance != self._own]
        self.leaving = frozenset(each.instance for each in known if each.leaving)
        self._listed = {
            each.instance: Member(
                each.instance, each.availability_zone, UNKNOWN_INCARNATION, each.address
            )
            for each in sorted(known, key=lambda each: each.instance)
            if not each.leaving
        }
        zones = (each.availability_zone for each in self._listed.values())
        self.availability_zones = frozenset(zones)

    def name(self, member: Member, now: float) -> None:
        """Count a member that a peer named for ``NAMED_SECONDS``."""
        until = now + NAMED_SECONDS
        self._named_by_instance[member.instance] = _Named(member, until)

    def addressed(self, member: Member) -> Member:
        """Return the member with its listed address when it told none."""
        listed = self._listed.get(member.instance)
        if member.address or listed is None:
            return member
        return replace(member, address=listed.address)

    def members(self, availability_zone: str, now: float) -> list[Member]:
        """Return the instances of a zone that should run; incarnations may be 0."""
        named = self._named_by_instance
        for instance in [name for name, each in named.items() if each.until <= now]:
            del named[instance]
        found = dict(self._listed)
        found |= {name: each.member for name, each in named.items()}
        return [m for m in found.values() if m.availability_zone == availability_zone]
