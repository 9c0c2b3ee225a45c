"""Simpler placement algorithms, kept as baselines for benchmarks."""

from collections import Counter
from collections.abc import Iterable
from random import Random


class PowerOfTwoChoices:
    """Chooses the less loaded of two random replicas, by their last load reports.

    >>> choices = PowerOfTwoChoices(Random(1))
    >>> choices.observe_load("d1", 20)
    >>> choices.observe_load("d2", 3)
    >>> choices.choose(["d1", "d2"])
    'd2'
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._load_by_replica: dict[str, int] = {}

    def observe_load(self, replica: str, load: int) -> None:
        """Record the number of requests that a replica runs and has queued."""
        self._load_by_replica[replica] = load

    def choose(self, replicas: list[str]) -> str:
        """Return the less loaded of two random replicas, even if it is full."""
        pair = self._random.sample(replicas, min(2, len(replicas)))
        return min(pair, key=lambda name: self._load_by_replica.get(name, 0))


class GossipedInFlight:
    """Chooses by the requests in flight, counted here and gossiped by peers.

    >>> gossip = GossipedInFlight(Random(1), {"d1": 2, "d2": 2})
    >>> gossip.receive("i2", {"d1": 2})
    >>> gossip.choose(["d1", "d2"])
    'd2'
    """

    def __init__(self, random: Random, slots_by_replica: dict[str, int]) -> None:
        self._random = random
        self._slots_by_replica = slots_by_replica
        self._own: Counter[str] = Counter()
        self._counts_by_instance: dict[str, dict[str, int]] = {}

    def started(self, replica: str) -> None:
        """Count a request sent to a replica."""
        self._own[replica] += 1

    def ended(self, replica: str) -> None:
        """Count a request that has left a replica."""
        self._own[replica] -= 1

    def counts(self) -> dict[str, int]:
        """Return this instance's counts, to be sent to the peers."""
        return dict(self._own)

    def receive(self, instance: str, counts: dict[str, int]) -> None:
        """Replace the counts of a peer."""
        self._counts_by_instance[instance] = counts

    def choose(self, replicas: Iterable[str]) -> str | None:
        """Return a replica with the most free slots, ``None`` if all seem full."""
        free_by_replica = {name: self._free(name) for name in replicas}
        most = max(free_by_replica.values(), default=0)
        if most <= 0:
            return None
        best = [name for name, free in free_by_replica.items() if free == most]
        return self._random.choice(best)

    def _free(self, replica: str) -> int:
        peers = self._counts_by_instance.values()
        used = self._own[replica] + sum(each.get(replica, 0) for each in peers)
        return self._slots_by_replica[replica] - used


class LeasedSlots:
    """One replica's slots, leased to instances in batches.

    An instance uses its leased slots without asking again, and returns them when
    they are idle, in the benchmark's model after ``IDLE_SECONDS``.

    >>> slots = LeasedSlots(3)
    >>> slots.lend("i1", 2), slots.lend("i2", 2)
    (2, 1)
    >>> slots.return_slots("i1", 1)
    >>> slots.lend("i2", 2)
    1
    """

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._lent_by_instance: Counter[str] = Counter()

    def lend(self, instance: str, wanted: int) -> int:
        """Lease up to ``wanted`` free slots to the instance and return their number."""
        lent = min(wanted, self._free)
        self._free -= lent
        self._lent_by_instance[instance] += lent
        return lent

    def return_slots(self, instance: str, slots: int) -> None:
        """Return slots of an instance to the free ones, at most as many as it has."""
        given = min(slots, self._lent_by_instance[instance])
        self._lent_by_instance[instance] -= given
        self._free += given
