"""Groups of replicas and the instance that assigns the slots of each."""

from collections import Counter
from collections.abc import Iterable

from .clock import Clock
from .members import Member, MembershipView
from .placement_servers import Replica
from .rendezvous import owner

MAX_GROUP_REPLICAS = 64
"""Pools with more replicas are split into one group per availability zone."""


class ReplicaGroups:
    """Divides the replicas into groups and finds each group's placement owner.

    A group is a pool, or the part of a large pool in one availability zone. Its
    owner is found by rendezvous hashing over the live instances of its zones.

    Parameters
    ----------
    clock : IReactorTime
        Measures the time since a zone lost its last instance.
    members : MembershipView
        The live instances.
    zone_lease_seconds : float
        Seconds for which a zone is not used after it lost its last live instance.
    """

    def __init__(
        self, *, clock: Clock, members: MembershipView, zone_lease_seconds: float
    ) -> None:
        self._clock = clock
        self._members = members
        self._zone_lease_seconds = zone_lease_seconds
        self._replicas_by_name: dict[str, Replica] = {}
        self._size_by_pool: Counter[str] = Counter()
        self._owner_by_group: dict[str, str | None] = {}
        self._live: tuple[Member, ...] = members.live()
        self._zone_lost_at: dict[str, float] = {}
        self.names: tuple[str, ...] = ()

    def configure(self, replicas: Iterable[Replica]) -> None:
        """Replace the replicas of all pools."""
        self._replicas_by_name = {replica.name: replica for replica in replicas}
        self._size_by_pool = Counter(r.pool for r in self._replicas_by_name.values())
        groups = {self._group_of(each) for each in self._replicas_by_name.values()}
        self.names = tuple(sorted(groups))
        self._owner_by_group.clear()

    def members_changed(self, lost: list[Member], joined: list[Member]) -> None:
        """Recompute the owners and record zones that lost all instances."""
        self._live = self._members.live()
        self._owner_by_group.clear()
        zones = {member.availability_zone for member in self._live}
        for member in lost:
            if member.availability_zone not in zones:
                self._zone_lost_at[member.availability_zone] = self._clock.seconds()
        for member in joined:
            self._zone_lost_at.pop(member.availability_zone, None)

    def is_configured(self, replica: str) -> bool:
        """Return whether a replica is configured."""
        return replica in self._replicas_by_name

    def group_of(self, replica: str) -> str | None:
        """Return the group of a replica, ``None`` if it isn't configured."""
        configured = self._replicas_by_name.get(replica)
        return self._group_of(configured) if configured else None

    def group_for(self, pool: str, request_id: str) -> str | None:
        """Return the group that serves a request to a pool.

        Of a split pool it is the group of this instance's zone. If there is none,
        it is chosen by the hash of the request id.
        """
        zone = self._members.own.availability_zone
        for group in (pool, f"{pool}@{zone}"):
            if group in self.names:
                return group
        return owner(request_id, [g for g in self.names if g.startswith(f"{pool}@")])

    def replicas_of(self, group: str) -> list[Replica]:
        """Return the replicas of a group."""
        replicas = self._replicas_by_name.values()
        return [each for each in replicas if self._group_of(each) == group]

    def owner_of(self, group: str) -> str | None:
        """Return the placement owner of a group, ``None`` without live instances.

        Instances in the group's zones are preferred.
        """
        if group not in self._owner_by_group:
            zones = {each.availability_zone for each in self.replicas_of(group)}
            in_zones = [m.instance for m in self._live if m.availability_zone in zones]
            candidates = in_zones or [m.instance for m in self._live]
            self._owner_by_group[group] = owner(group, candidates)
        return self._owner_by_group[group]

    def zone_usable(self, availability_zone: str) -> bool:
        """Return whether the replicas of a zone may be granted.

        A zone that lost its last live instance is not used until a slot lease has
        passed, as its instances may be partitioned from this one and still grant
        its slots.
        """
        lost_at = self._zone_lost_at.get(availability_zone)
        return (
            lost_at is None
            or self._clock.seconds() - lost_at > self._zone_lease_seconds
        )

    def _group_of(self, replica: Replica) -> str:
        if self._size_by_pool[replica.pool] <= MAX_GROUP_REPLICAS:
            return replica.pool
        return f"{replica.pool}@{replica.availability_zone}"
