"""The other instances: those that are registered, and those that are only heard."""

from collections.abc import Mapping

from twisted.internet.interfaces import IReactorTime

from .instance_groups import MAX_DIRECT_INSTANCES, Peer

HEARD_SECONDS = 1.2
"""Silence after which an instance that is not registered has gone. It is longer than
two intervals of idle reports."""

LAPSED_SECONDS = 60.0
"""How long the address of a lapsed instance is remembered after it was last heard."""

MAX_SENDERS = 1_000
"""Limit on the remembered senders that are not registered."""


class KnownPeers:
    """Tells which other instances there are, as far as this one reads and hears.

    An instance that can't reach the store loses its registration and serves on what it
    knows; one that has returned to the store is registered before others that are cut
    off have read so. While such an instance is heard, it goes on as a peer in a small
    fleet, where all instances report to each other. In a large one, groups follow from
    the registered names alone, so it is only counted, as are senders that were never
    registered: limits reserve a share for them.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> known = KnownPeers(clock)
    >>> entry = Peer("zone-a", ("10.0.0.1", 7500))
    >>> known.set_registered({"entry-1": entry})
    >>> known.hear("entry-1", entry.address)
    >>> known.set_registered({})
    >>> list(known.peers()), known.count_others()
    (['entry-1'], 0)
    >>> clock.advance(2.0)
    >>> known.peers()
    {}
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._registered: dict[str, Peer] = {}
        self._lapsed: dict[str, tuple[Peer, float]] = {}
        self._heard_at: dict[tuple[str, tuple[str, int]], float] = {}

    def set_registered(self, peers_by_instance: Mapping[str, Peer]) -> None:
        """Set the other registered instances."""
        now = self._clock.seconds()
        for name in set(self._registered) - set(peers_by_instance):
            self._lapsed[name] = self._registered[name], now
        for name, (peer, since) in list(self._lapsed.items()):
            since = max(since, self._heard_at.get((name, peer.address), since))
            if name in peers_by_instance or now - since > LAPSED_SECONDS:
                del self._lapsed[name]
        self._registered = dict(peers_by_instance)

    def hear(self, instance: str, address: tuple[str, int]) -> None:
        """Record that a datagram of an instance came from an address."""
        now = self._clock.seconds()
        sender = instance, address
        if sender not in self._heard_at and len(self._heard_at) >= MAX_SENDERS:
            recent = {
                k: at for k, at in self._heard_at.items() if now - at <= HEARD_SECONDS
            }
            self._heard_at = recent
            if len(recent) >= MAX_SENDERS:
                return
        self._heard_at[sender] = now

    def peers(self) -> dict[str, Peer]:
        """Return the instances that report to each other with this one."""
        heard = {
            name: peer
            for name, (peer, _) in self._lapsed.items()
            if self._is_heard((name, peer.address))
        }
        if 1 + len(self._registered) + len(heard) > MAX_DIRECT_INSTANCES:
            return dict(self._registered)
        return self._registered | heard

    def count_others(self) -> int:
        """Return the number of instances that are heard and are no peers."""
        peers = self.peers()
        return sum(
            self._is_heard(sender)
            and (sender[0] not in peers or peers[sender[0]].address != sender[1])
            for sender in self._heard_at
        )

    def _is_heard(self, sender: tuple[str, tuple[str, int]]) -> bool:
        heard_at = self._heard_at.get(sender, float("-inf"))
        return self._clock.seconds() - heard_at <= HEARD_SECONDS
