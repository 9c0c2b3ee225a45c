"""Detects peer failures from the time since each peer was last heard from."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .members import Member

PROBE_SECONDS = 1.8
"""Other peers are probed about a peer not heard from for this long."""

SILENCE_SECONDS = 2.5
"""A peer not heard from for this long, directly or through probes, is suspected."""

FENCE_SECONDS = 4.0
"""An incarnation not heard from for this long, even through probes, is dead."""

MAX_DEAD_MEMBERS = 4096


class PeerLiveness(enum.Enum):
    """Liveness of a peer by the time since it was last heard from.

    ``HEARD`` is recent; a ``DOUBTED`` peer is still live, but other peers are probed
    about it; a ``SUSPECTED`` one is not live; a ``GONE`` one is to be removed.
    """

    HEARD = "heard"
    DOUBTED = "doubted"
    SUSPECTED = "suspected"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class DeadMember:
    """An incarnation that was declared dead, and when, in seconds of the clock."""

    member: Member
    declared_at: float


@dataclass(slots=True)
class Peer:
    """A peer, and when it was last heard from, directly or through a probe."""

    member: Member
    last_heard: float
    leaving: bool = False
    suspected: bool = False


class FailureDetector:
    """Tracks when each peer was last heard from, and which incarnations have ended.

    Parameters
    ----------
    fence_seconds : float
        Time without a message after which a peer is ``PeerLiveness.GONE``.
    """

    def __init__(self, fence_seconds: float = FENCE_SECONDS) -> None:
        self.peers_by_instance: dict[str, Peer] = {}
        self._fence_seconds = fence_seconds
        self._dead_by_instance: dict[str, DeadMember] = {}
        self._replaced: list[Peer] = []

    def peer(self, instance: str) -> Peer | None:
        """Return the peer with this name, even if it is suspected."""
        return self.peers_by_instance.get(instance)

    def unsuspected(self) -> list[str]:
        """Return the names of the peers that are not suspected, sorted."""
        peers = self.peers_by_instance.items()
        return sorted(name for name, peer in peers if not peer.suspected)

    def find(self, instance: str, incarnation: int) -> Peer | None:
        """Return the peer with this incarnation, or ``None``."""
        peer = self.peers_by_instance.get(instance)
        if peer is None or peer.member.incarnation != incarnation:
            return None
        return peer

    def state(self) -> list[tuple[Member, bool, bool]]:
        """Return the member and flags of each peer, to detect changes."""
        peers = self.peers_by_instance.values()
        return [(peer.member, peer.suspected, peer.leaving) for peer in peers]

    def live(self) -> dict[str, Member]:
        """Return the members neither suspected nor leaving, by instance."""
        peers = self.peers_by_instance.items()
        return {n: p.member for n, p in peers if not (p.suspected or p.leaving)}

    def leaving(self) -> list[str]:
        """Return the instances that announced their shutdown."""
        return [name for name, p in self.peers_by_instance.items() if p.leaving]

    def remove_silent(self, now: float) -> None:
        """Remove the peers that are gone, without marking them as dead."""
        for peer in list(self.peers_by_instance.values()):
            if self.liveness(peer, now) is PeerLiveness.GONE:
                del self.peers_by_instance[peer.member.instance]
        self._replaced.clear()

    def dead(self, instance: str) -> DeadMember | None:
        """Return the latest incarnation of an instance that has ended."""
        return self._dead_by_instance.get(instance)

    def is_outdated(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation has ended or a later one is known."""
        dead = self._dead_by_instance.get(instance)
        if dead is not None and incarnation <= dead.member.incarnation:
            return True
        peer = self.peers_by_instance.get(instance)
        return peer is not None and incarnation < peer.member.incarnation

    def add_peer(self, member: Member, now: float) -> Peer:
        """Add a peer, replacing an earlier incarnation of it."""
        earlier = self.peers_by_instance.get(member.instance)
        if earlier is not None and earlier.member.incarnation < member.incarnation:
            self.mark_dead(earlier.member, now)
            self._replaced.append(earlier)
        peer = Peer(member, now)
        self.peers_by_instance[member.instance] = peer
        return peer

    def discount_pause(self, paused: float) -> None:
        """Exclude a pause of this process from the peers' silence."""
        for peer in (*self.peers_by_instance.values(), *self._replaced):
            peer.last_heard += paused

    def liveness(self, peer: Peer, now: float) -> PeerLiveness:
        """Return the liveness of a peer at ``now``."""
        silent = now - peer.last_heard
        if silent >= self._fence_seconds:
            return PeerLiveness.GONE
        if silent >= SILENCE_SECONDS:
            return PeerLiveness.SUSPECTED
        return PeerLiveness.DOUBTED if silent >= PROBE_SECONDS else PeerLiveness.HEARD

    def remove(self, peer: Peer, now: float) -> None:
        """Remove a peer and mark its incarnation as dead."""
        self.peers_by_instance.pop(peer.member.instance, None)
        self.mark_dead(peer.member, now)

    def pop_expired_replaced(self, now: float) -> Iterable[Member]:
        """Remove and yield replaced incarnations silent for ``FENCE_SECONDS``."""
        expired = [
            each for each in self._replaced if now - each.last_heard >= FENCE_SECONDS
        ]
        for peer in expired:
            self._replaced.remove(peer)
            yield peer.member

    def mark_dead(self, member: Member, now: float) -> None:
        """Mark this incarnation as dead, so that it and earlier ones are outdated."""
        earlier = self._dead_by_instance.pop(member.instance, None)
        latest = DeadMember(member, now)
        if earlier is not None and earlier.member.incarnation > member.incarnation:
            latest = earlier
        self._dead_by_instance[member.instance] = latest
        if len(self._dead_by_instance) > MAX_DEAD_MEMBERS:
            del self._dead_by_instance[next(iter(self._dead_by_instance))]
