"""Instances that die or freeze, their links, and a store that fails for them."""

import enum
import functools
import math

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock, deferLater

from pomeloglade_coordination.errors import (
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
)

PLATFORM_DELAY = 0.003
PEER_DELAY = 0.0005
LATE_SECONDS = 3.0


class World(Clock):
    """The clock of everything outside the processes, which moves theirs along."""

    def __init__(self):
        super().__init__()
        self.processes = []

    def run(self, seconds):
        """Advance all clocks from event to event."""
        end = self.seconds() + seconds
        while (due := self._next()) <= end:
            self._move(due)
        self._move(end)

    def _next(self):
        clocks = [self, *self._moving()]
        return min((c.calls[0].getTime() for c in clocks if c.calls), default=math.inf)

    def _move(self, when):
        clocks = [self, *self._moving()]
        for clock in clocks:
            clock.rightNow = max(when, clock.rightNow)
        for clock in clocks:
            clock.advance(0)

    def _moving(self):
        return [p for p in self.processes if p.alive and not p.frozen]


class ProcessClock(Clock):
    """The clock of one process; frozen or dead, it runs nothing."""

    def __init__(self, world):
        super().__init__()
        self._world = world
        self.rightNow = world.seconds()
        self.alive = True
        self.frozen = False
        world.processes.append(self)

    def thaw(self):
        """Wake to the present time with all that came due."""
        self.frozen = False
        if self.alive:
            self.advance(self._world.seconds() - self.seconds())


class StoreFault(enum.Enum):
    """How the platform treats the calls of one process."""

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer lost after applying"
    LATE = "applied and answered late"
    SILENT = "neither applied nor answered"


READS = ("get", "list", "watch")


class FaultyStore:
    """One process's way to a shared store, with a fault of its own."""

    def __init__(self, clock, process, shared):
        self._clock = clock
        self._process = process
        self._shared = shared
        self.fault = StoreFault.NONE

    def __getattr__(self, name):
        method = getattr(self._shared, name)
        return functools.partial(self._call, method, change=name not in READS)

    def _call(self, method, *args, change, **kwargs):
        fault = self.fault
        if fault is StoreFault.SILENT:
            return Deferred()
        if fault is StoreFault.DOWN:
            return deferLater(
                self._process, PLATFORM_DELAY, fail, KeyValueUnavailableError("down")
            )
        delay = LATE_SECONDS if fault is StoreFault.LATE else PLATFORM_DELAY
        answer = Deferred()
        self._clock.callLater(
            delay / 2, self._apply, answer, delay / 2, method, args, kwargs
        )
        if change and fault is StoreFault.ANSWER_LOST:
            answer.addBoth(lambda _result: fail(KeyValueOutcomeUnknownError("lost")))
        return answer

    def _apply(self, answer, delay, method, args, kwargs):
        done = method(*args, **kwargs)
        done.addBoth(
            lambda result: self._process.callLater(delay, _fire, answer, result)
        )


def _fire(answer, result):
    if not answer.called:
        answer.callback(result)


class Links:
    """Delivers peer messages between processes unless their link is cut."""

    def __init__(self, clock):
        self._clock = clock
        self._receivers = {}
        self.cut = set()

    def join(self, instance, process, receive):
        """Return the sender of an instance that receives from now on."""
        self._receivers[instance] = (process, receive)
        return _Sender(self, instance)

    def send(self, source, instance, message):
        """Deliver a message later, or lose it."""
        if instance in self._receivers and not {source, instance} & self.cut:
            process, receive = self._receivers[instance]
            process.callLater(PEER_DELAY, receive, source, message)


class _Sender:
    def __init__(self, links, instance):
        self._links = links
        self._instance = instance

    def send(self, instance, message):
        """Send a message from this instance."""
        self._links.send(self._instance, instance, message)
