"""How much work each backend server has, as far as all instances together know."""

from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .calls import ServerLoad

PEER_LOAD_SECONDS = 3.0
"""Age at which a silent instance's calls are taken to be over; most calls last
less, and an instance with calls in work reports more often than that."""

EXPIRY_CHECK_SECONDS = 0.25
"""How often reports are looked through for old ones."""

READING = "reading/"
"""Prefix of the keys under which prompts read at decode engines are counted, so
that they are reported together with calls."""


@dataclass(frozen=True, slots=True)
class Work:
    """Calls in work at a backend server, and the tokens that they hold there."""

    calls: int = 0
    tokens: int = 0

    def plus(self, other: "Work") -> "Work":
        """Return the sum of both."""
        return Work(self.calls + other.calls, self.tokens + other.tokens)

    def minus(self, other: "Work") -> "Work":
        """Return the difference."""
        return Work(self.calls - other.calls, self.tokens - other.tokens)


NO_WORK = Work()


class Loads:
    """Adds this instance's calls to those that the other instances report.

    >>> from twisted.internet.task import Clock
    >>> loads = Loads(Clock())
    >>> loads.begin("engine-1", 5200)
    >>> loads.heard("entry-b-1", {"engine-1": Work(2, 9000)})
    >>> loads.work("engine-1")
    Work(calls=3, tokens=14200)
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._own_by_server: dict[str, Work] = {}
        self._peers_by_instance: dict[str, tuple[float, dict[str, Work]]] = {}
        # The sums over all peers; adding them up for each question takes longer
        # than the question is worth in a fleet of many instances.
        self._peers_by_server: dict[str, Work] = {}
        self._expired_at = clock.seconds()
        self._told_by_server: dict[str, tuple[float, ServerLoad]] = {}

    def begin(self, server: str, tokens: int) -> None:
        """Count a call that is about to be sent."""
        known = self._own_by_server.get(server, NO_WORK)
        self._own_by_server[server] = known.plus(Work(1, tokens))

    def end(self, server: str, tokens: int) -> None:
        """Take back what ``begin`` counted."""
        left = self._own_by_server[server].plus(Work(-1, -tokens))
        if left.calls:
            self._own_by_server[server] = left
        else:
            del self._own_by_server[server]

    def own(self) -> dict[str, Work]:
        """Return this instance's calls by backend server."""
        return dict(self._own_by_server)

    def heard(self, instance: str, work_by_server: dict[str, Work]) -> None:
        """Take another instance's calls by backend server."""
        self.forget(instance)
        self._peers_by_instance[instance] = (self._clock.seconds(), work_by_server)
        for server, work in work_by_server.items():
            known = self._peers_by_server.get(server, NO_WORK)
            self._peers_by_server[server] = known.plus(work)

    def forget(self, instance: str) -> None:
        """Drop what an instance that is gone reported."""
        _, work_by_server = self._peers_by_instance.pop(instance, (0.0, {}))
        for server, work in work_by_server.items():
            known = self._peers_by_server.pop(server, NO_WORK)
            left = known.minus(work)
            if left != NO_WORK:
                self._peers_by_server[server] = left

    def told(self, server: str, load: ServerLoad) -> None:
        """Take the load that a backend server tells with an answer."""
        self._told_by_server[server] = (self._clock.seconds(), load)

    def work(self, server: str) -> Work:
        """Return the calls of all instances at a backend server."""
        self._expire()
        own = self._own_by_server.get(server, NO_WORK)
        return own.plus(self._peers_by_server.get(server, NO_WORK))

    def _expire(self) -> None:
        """Drop the reports of instances that have been silent for long."""
        now = self._clock.seconds()
        if now - self._expired_at < EXPIRY_CHECK_SECONDS:
            return
        self._expired_at = now
        oldest = now - PEER_LOAD_SECONDS
        for instance, (heard_at, _) in list(self._peers_by_instance.items()):
            if heard_at < oldest:
                self.forget(instance)

    def begin_reading(self, server: str, tokens: int) -> None:
        """Count a prompt that a decode engine begins to read itself."""
        self.begin(READING + server, tokens)

    def end_reading(self, server: str, tokens: int) -> None:
        """Take back what ``begin_reading`` counted."""
        self.end(READING + server, tokens)

    def reading(self, server: str) -> Work:
        """Return the prompts that a decode engine reads for all instances."""
        return self.work(READING + server)

    def calls(self, server: str, told_for: float) -> int:
        """Return the calls at a backend server, by its own word if that is more.

        What it told counts for ``told_for`` seconds.
        """
        calls = self.work(server).calls
        told = self._told_by_server.get(server)
        if told is None or self._clock.seconds() - told[0] > told_for:
            return calls
        return max(calls, told[1].running + told[1].waiting)
