"""The interface to the live members, and a fixed implementation of it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Member:
    """One run of an instance.

    ``incarnation`` grows with every start of the instance, to distinguish messages
    and leases of an earlier run from those of the current one.
    """

    instance: str
    availability_zone: str
    incarnation: int
    address: str = ""


class MembershipView(Protocol):
    """Read access to the live members of the fleet."""

    own: Member
    availability_zones: tuple[str, ...]

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members, sorted by instance, own one included."""

    def member(self, instance: str) -> Member | None:
        """Return the live member with this name."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the live members."""


class FixedMembership:
    """A membership that is set explicitly, for use without peers and for tests."""

    def __init__(
        self,
        own: Member,
        others: tuple[Member, ...] = (),
        availability_zones: tuple[str, ...] = (),
    ) -> None:
        self.own = own
        self._subscribers: list[Callable[[], None]] = []
        self._by_instance: dict[str, Member] = {}
        self.availability_zones = availability_zones
        self.set_members(others)

    def set_members(self, others: tuple[Member, ...]) -> None:
        """Replace the other members and notify the subscribers."""
        self._by_instance = {m.instance: m for m in (self.own, *others)}
        if not self.availability_zones:
            zones = {m.availability_zone for m in self._by_instance.values()}
            self.availability_zones = tuple(sorted(zones))
        for changed in self._subscribers:
            changed()

    def live(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the live members, sorted by instance, own one included."""
        return tuple(
            member
            for _, member in sorted(self._by_instance.items())
            if availability_zone in (None, member.availability_zone)
        )

    def member(self, instance: str) -> Member | None:
        """Return the live member with this name."""
        return self._by_instance.get(instance)

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the live members."""
        self._subscribers.append(changed)
