"""Instances that the platform lists, with delay, or that peers have named."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from .members import Member

UNKNOWN_INCARNATION = 0
PEER_NAMED_SECONDS = 10.0
"""How long an instance that a peer named is kept without being listed."""


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An entry of the platform's list."""

    instance: str
    availability_zone: str
    address: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _PeerNamed:
    """A member that a peer named, and when this entry expires."""

    member: Member
    expires_at: float


class Listing:
    """The instances in the platform's last list, and those named by peers.

    ``version`` increases with each list.

    Parameters
    ----------
    own : str
        The own instance, which is excluded.
    """

    def __init__(self, own: str) -> None:
        self.version = 0
        self.leaving: frozenset[str] = frozenset()
        self.availability_zones: frozenset[str] = frozenset()
        self._own = own
        self._listed: dict[str, Member] = {}
        self._named_by_instance: dict[str, _PeerNamed] = {}

    def set_entries(self, entries: Iterable[ListedInstance]) -> None:
        """Replace the platform's list."""
        self.version += 1
        others = [each for each in entries if each.instance != self._own]
        self.leaving = frozenset(each.instance for each in others if each.leaving)
        self._listed = {
            each.instance: Member(
                each.instance, each.availability_zone, UNKNOWN_INCARNATION, each.address
            )
            for each in sorted(others, key=lambda each: each.instance)
            if not each.leaving
        }
        zones = (each.availability_zone for each in self._listed.values())
        self.availability_zones = frozenset(zones)

    def add_named(self, member: Member, now: float) -> None:
        """Add a member named by a peer for ``PEER_NAMED_SECONDS``."""
        expires_at = now + PEER_NAMED_SECONDS
        self._named_by_instance[member.instance] = _PeerNamed(member, expires_at)

    def with_listed_address(self, member: Member) -> Member:
        """Return the member, with its listed address if it has none of its own."""
        listed = self._listed.get(member.instance)
        if member.address or listed is None:
            return member
        return replace(member, address=listed.address)

    def members(self, availability_zone: str, now: float) -> list[Member]:
        """Return the listed and named instances of a zone.

        Those that are only listed have ``UNKNOWN_INCARNATION``.
        """
        named = self._named_by_instance
        for instance in [
            name for name, each in named.items() if each.expires_at <= now
        ]:
            del named[instance]
        members_by_instance = dict(self._listed)
        members_by_instance |= {name: each.member for name, each in named.items()}
        return [
            m
            for m in members_by_instance.values()
            if m.availability_zone == availability_zone
        ]
