"""Index of members by instance and by availability zone."""

from collections.abc import Mapping

from .members import Member


class MemberIndex:
    """An immutable set of members, sorted by instance.

    Parameters
    ----------
    members_by_instance : mapping of str to Member
        The members.
    """

    def __init__(self, members_by_instance: Mapping[str, Member]) -> None:
        self.by_instance = dict(sorted(members_by_instance.items()))
        by_zone: dict[str, list[Member]] = {}
        for member in self.by_instance.values():
            by_zone.setdefault(member.availability_zone, []).append(member)
        self._all = tuple(self.by_instance.values())
        self._by_zone = {zone: tuple(each) for zone, each in by_zone.items()}

    def members(self, availability_zone: str | None = None) -> tuple[Member, ...]:
        """Return the members of one zone, or all."""
        if availability_zone is None:
            return self._all
        return self._by_zone.get(availability_zone, ())
