"""Limits of client accounts over all instances, kept by exchanging totals."""

from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .deployment import Account

SILENCE_SECONDS = 0.8
"""Silence after which an instance is taken to use its even part of each limit;
instances report every quarter of a second while they use anything."""

SHORTEST_WAIT_SECONDS = 0.001
"""A refusal's wait is never 0, which would mean that the call was admitted."""


@dataclass(slots=True)
class _Bucket:
    """What all instances together have left of an account's burst."""

    level: float
    filled_at: float
    own_total: int = 0
    peer_totals: dict[str, int] = field(default_factory=dict)
    presumed: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Peer:
    run: int
    heard_at: float


class SharedUsage:
    """Admits calls by one token bucket an account, shared by reports.

    Each instance tells the others the total that it has admitted in this run; a
    lost report is made good by the next. An instance that falls silent is
    presumed to use its even part of the rate until it is heard again, when the
    presumption is replaced by what it reports, or until it has left.

    Parameters
    ----------
    clock : IReactorTime
        Fills the buckets.
    start : float
        Most units in a bucket whose earlier use is not known, after a start.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> usage = SharedUsage(Clock())
    >>> account = Account("a", frozenset(), rate=100.0, burst=10.0)
    >>> [usage.take(account, 4) for _ in range(2)]
    [0.0, 0.03]
    """

    def __init__(self, clock: IReactorTime, *, start: float = 50_000.0) -> None:
        self._clock = clock
        self._start = start
        self._started = clock.seconds()
        self._buckets_by_account: dict[str, _Bucket] = {}
        self._peers_by_instance: dict[str, _Peer] = {}

    def take(self, account: Account, cost: int) -> float:
        """Take ``cost`` units: 0 if admitted, else seconds until they are there.

        A call that costs more than the burst is admitted by a full bucket, which
        it leaves in debt.
        """
        if not account.rate:
            return 0.0
        bucket = self._filled(account)
        needed = min(float(cost), account.burst)
        if bucket.level >= needed:
            bucket.level -= cost
            bucket.own_total += cost
            return 0.0
        wait = (needed - bucket.level) / self._rate(account)
        return max(SHORTEST_WAIT_SECONDS, round(wait, 4))

    def give_back(self, account: Account, cost: int) -> None:
        """Return the units of a call that has not run."""
        bucket = self._buckets_by_account.get(account.name)
        if not account.rate or bucket is None:
            return
        bucket.level += cost
        bucket.own_total -= cost

    def totals(self) -> dict[str, int]:
        """Return what this run of the instance has admitted by account."""
        return {
            name: bucket.own_total
            for name, bucket in self._buckets_by_account.items()
            if bucket.own_total
        }

    def heard(
        self, instance: str, run: int, totals: dict[str, int], *, age: float
    ) -> None:
        """Take another instance's totals in its present run of ``age`` seconds.

        At the first report of a run that began before this instance did, what it
        used is not charged: it is what the buckets' start level stands for.
        """
        now = self._clock.seconds()
        peer = self._peers_by_instance.get(instance)
        uncharged = peer is None and age > now - self._started
        if peer is None or peer.run != run:
            for bucket in self._buckets_by_account.values():
                bucket.peer_totals.pop(instance, None)
        self._peers_by_instance[instance] = _Peer(run, now)
        for name, total in totals.items():
            bucket = self._buckets_by_account.get(name)
            if bucket is None:
                bucket = _Bucket(0.0, 0.0)
                self._buckets_by_account[name] = bucket
            known = bucket.peer_totals.get(instance, total if uncharged else 0)
            bucket.level -= total - known
            bucket.peer_totals[instance] = total
        for bucket in self._buckets_by_account.values():
            bucket.level += bucket.presumed.pop(instance, 0.0)

    def forget(self, instance: str) -> None:
        """Drop an instance that has left; what it used stays used."""
        self._peers_by_instance.pop(instance, None)
        for bucket in self._buckets_by_account.values():
            bucket.peer_totals.pop(instance, None)
            bucket.presumed.pop(instance, None)

    def _rate(self, account: Account) -> float:
        silent = len(self._silent())
        return account.rate * (1 - silent / (len(self._peers_by_instance) + 1))

    def _silent(self) -> list[str]:
        oldest = self._clock.seconds() - SILENCE_SECONDS
        return [
            name
            for name, peer in self._peers_by_instance.items()
            if peer.heard_at < oldest
        ]

    def _filled(self, account: Account) -> _Bucket:
        now = self._clock.seconds()
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None or not bucket.filled_at:
            level = min(account.burst, self._start)
            if bucket is None:
                bucket = _Bucket(level, now)
                self._buckets_by_account[account.name] = bucket
            else:
                bucket.level += level
                bucket.filled_at = now
            return bucket
        elapsed = now - bucket.filled_at
        bucket.filled_at = now
        earned = account.rate * elapsed
        part = earned / (len(self._peers_by_instance) + 1)
        for instance in self._silent():
            bucket.presumed[instance] = bucket.presumed.get(instance, 0.0) + part
            bucket.level -= part
        bucket.level = min(account.burst, bucket.level + earned)
        return bucket
