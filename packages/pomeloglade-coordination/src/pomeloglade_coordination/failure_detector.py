"""Detects by silence which peers no longer run."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .members import Member

PROBE_SECONDS = 1.8
"""Other peers are asked about a peer that was not heard for so long."""

SILENCE_SECONDS = 2.5
"""A peer that no one has heard for so long is no longer live."""

FENCE_SECONDS = 4.0
"""An incarnation that no one has heard for so long is declared dead."""

MAX_DEAD = 4096


class Standing(enum.Enum):
    """How a peer stands after its silence so far."""

    HEARD = "heard"
    DOUBTED = "doubted"
    SUSPECTED = "suspected"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class DeadMember:
    """An incarnation declared dead, and when, in seconds of the clock."""

    member: Member
    declared: float


@dataclass(slots=True)
class Peer:
    """An incarnation heard directly, or by a peer that was asked."""

    member: Member
    heard: float
    leaving: bool = False
    suspected: bool = False


class FailureDetector:
    """Keeps when each peer was heard last.

    Parameters
    ----------
    fence_seconds : float
        The silence after which a peer is gone.
    """

    def __init__(self, fence_seconds: float = FENCE_SECONDS) -> None:
        self.peers_by_instance: dict[str, Peer] = {}
        self._fence_seconds = fence_seconds
        self._dead_by_instance: dict[str, DeadMember] = {}
        self._replaced: list[Peer] = []

    def peer(self, instance: str) -> Peer | None:
        """Return the peer with this name, suspected ones included."""
        return self.peers_by_instance.get(instance)

    def heard(self) -> list[str]:
        """Return the names of the peers that are not suspected, sorted."""
        peers = self.peers_by_instance.items()
        return sorted(name for name, peer in peers if not peer.suspected)

    def incarnation(self, instance: str, incarnation: int) -> Peer | None:
        """Return the peer if it is the one with this incarnation."""
        peer = self.peers_by_instance.get(instance)
        if peer is None or peer.member.incarnation != incarnation:
            return None
        return peer

    def state(self) -> list[tuple[Member, bool, bool]]:
        """Return each peer with whether it is suspected, and whether leaving."""
        peers = self.peers_by_instance.values()
        return [(peer.member, peer.suspected, peer.leaving) for peer in peers]

    def live(self) -> dict[str, Member]:
        """Return the members neither suspected nor leaving, by instance."""
        peers = self.peers_by_instance.items()
        return {n: p.member for n, p in peers if not (p.suspected or p.leaving)}

    def leaving(self) -> list[str]:
        """Return the instances that announced their shutdown."""
        return [name for name, p in self.peers_by_instance.items() if p.leaving]

    def forget_silent(self, now: float) -> None:
        """Drop the peers that are gone without counting them as dead."""
        for peer in list(self.peers_by_instance.values()):
            if self.standing(peer, now) is Standing.GONE:
                del self.peers_by_instance[peer.member.instance]
        self._replaced.clear()

    def dead(self, instance: str) -> DeadMember | None:
        """Return the latest incarnation of an instance that is over."""
        return self._dead_by_instance.get(instance)

    def is_old(self, instance: str, incarnation: int) -> bool:
        """Tell whether an incarnation is over, or a later one is known."""
        dead = self._dead_by_instance.get(instance)
        if dead is not None and incarnation <= dead.member.incarnation:
            return True
        peer = self.peers_by_instance.get(instance)
        return peer is not None and incarnation < peer.member.incarnation

    def meet(self, member: Member, now: float) -> Peer:
        """Take a new peer, or a new incarnation in place of an earlier one."""
        earlier = self.peers_by_instance.get(member.instance)
        if earlier is not None and earlier.member.incarnation < member.incarnation:
            self.bury(earlier.member, now)
            self._replaced.append(earlier)
        peer = Peer(member, now)
        self.peers_by_instance[member.instance] = peer
        return peer

    def forgive(self, paused: float) -> None:
        """Count a pause of the own process as no silence of the peers."""
        for peer in (*self.peers_by_instance.values(), *self._replaced):
            peer.heard += paused

    def standing(self, peer: Peer, now: float) -> Standing:
        """Return how a peer stands at ``now``."""
        silent = now - peer.heard
        if silent >= self._fence_seconds:
            return Standing.GONE
        if silent >= SILENCE_SECONDS:
            return Standing.SUSPECTED
        return Standing.DOUBTED if silent >= PROBE_SECONDS else Standing.HEARD

    def remove(self, peer: Peer, now: float) -> None:
        """Forget a peer whose incarnation is over."""
        self.peers_by_instance.pop(peer.member.instance, None)
        self.bury(peer.member, now)

    def replaced_and_gone(self, now: float) -> Iterable[Member]:
        """Remove and return the replaced incarnations that must be fenced by now."""
        gone = [each for each in self._replaced if now - each.heard >= FENCE_SECONDS]
        for peer in gone:
            self._replaced.remove(peer)
            yield peer.member

    def bury(self, member: Member, now: float) -> None:
        """Refuse this incarnation and the earlier ones from now on."""
        earlier = self._dead_by_instance.pop(member.instance, None)
        latest = DeadMember(member, now)
        if earlier is not None and earlier.member.incarnation > member.incarnation:
            latest = earlier
        self._dead_by_instance[member.instance] = latest
        if len(self._dead_by_instance) > MAX_DEAD:
            del self._dead_by_instance[next(iter(self._dead_by_instance))]
