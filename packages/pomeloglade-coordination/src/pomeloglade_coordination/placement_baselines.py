"""Simpler ways to place requests, kept to measure against."""

from collections import Counter
from collections.abc import Iterable
from random import Random


class PowerOfTwoChoices:
    """Takes the less loaded of two random replicas, by their last load report.

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
        """Take a report of the requests that a replica holds and has waiting."""
        self._load_by_replica[replica] = load

    def choose(self, replicas: list[str]) -> str:
        """Return one of ``replicas``, full or not."""
        pair = self._random.sample(replicas, min(2, len(replicas)))
        return min(pair, key=lambda name: self._load_by_replica.get(name, 0))


class GossipedInFlight:
    """Counts own requests in flight and adds the counts that peers have sent.

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
        """Return the own counts, to be sent to the peers."""
        return dict(self._own)

    def receive(self, instance: str, counts: dict[str, int]) -> None:
        """Take the counts of a peer."""
        self._counts_by_instance[instance] = counts

    def choose(self, replicas: Iterable[str]) -> str | None:
        """Return the replica with most free slots, ``None`` when all look full."""
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
    """One replica's slots, lent to instances in batches and kept while in use.

    An instance uses the slots that it holds without asking. An idle one goes
    back when the instance returns it, after ``IDLE_SECONDS`` in the model.

    >>> slots = LeasedSlots(3)
    >>> slots.lend("i1", 2), slots.lend("i2", 2)
    (2, 1)
    >>> slots.give_back("i1", 1)
    >>> slots.lend("i2", 2)
    1
    """

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._lent_by_instance: Counter[str] = Counter()

    def lend(self, instance: str, wanted: int) -> int:
        """Return how many of the slots wanted are lent to the instance."""
        lent = min(wanted, self._free)
        self._free -= lent
        self._lent_by_instance[instance] += lent
        return lent

    def give_back(self, instance: str, slots: int) -> None:
        """Take back slots that an instance has no use for."""
        given = min(slots, self._lent_by_instance[instance])
        self._lent_by_instance[instance] -= given
        self._free += given
