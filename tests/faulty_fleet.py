"""Simulated clocks, network and store for instances that crash, pause or lose calls."""

import enum
import functools
import math

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock, deferLater

from pomeloglade_coordination.errors import (
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
)

PLATFORM_DELAY_SECONDS = 0.003
PEER_DELAY_SECONDS = 0.0005
LATE_RESPONSE_SECONDS = 3.0


class SimulationClock(Clock):
    """Clock of a simulation; advances the clocks of the running processes."""

    def __init__(self):
        super().__init__()
        self.processes = []

    def run(self, seconds):
        """Advance all clocks, from one scheduled call to the next."""
        end = self.seconds() + seconds
        while (due := self._next_due()) <= end:
            self._advance_to(due)
        self._advance_to(end)

    def _next_due(self):
        clocks = [self, *self._running()]
        return min((c.calls[0].getTime() for c in clocks if c.calls), default=math.inf)

    def _advance_to(self, when):
        clocks = [self, *self._running()]
        for clock in clocks:
            clock.rightNow = max(when, clock.rightNow)
        for clock in clocks:
            clock.advance(0)

    def _running(self):
        return [p for p in self.processes if p.alive and not p.frozen]


class ProcessClock(Clock):
    """Clock of one process; runs no calls while the process is frozen or dead."""

    def __init__(self, world):
        super().__init__()
        self._world = world
        self.rightNow = world.seconds()
        self.alive = True
        self.frozen = False
        world.processes.append(self)

    def unfreeze(self):
        """Resume at the current time and run all calls that came due."""
        self.frozen = False
        if self.alive:
            self.advance(self._world.seconds() - self.seconds())


class StoreFault(enum.Enum):
    """What happens to a process's calls to the store."""

    NONE = "none"
    DOWN = "down"
    ANSWER_LOST = "answer lost after applying"
    LATE = "applied and answered late"
    SILENT = "neither applied nor answered"


READ_METHODS = ("get", "list", "watch")


class FaultyStore:
    """One process's client of a shared store, into which a fault can be injected."""

    def __init__(self, clock, process, shared):
        self._clock = clock
        self._process = process
        self._shared = shared
        self.fault = StoreFault.NONE
        self.era = shared.era

    def __getattr__(self, name):
        method = getattr(self._shared, name)
        return functools.partial(self._call, method, writes=name not in READ_METHODS)

    def _call(self, method, *args, writes, **kwargs):
        fault = self.fault
        if fault is StoreFault.SILENT:
            return Deferred()
        if fault is StoreFault.DOWN:
            return deferLater(
                self._process,
                PLATFORM_DELAY_SECONDS,
                fail,
                KeyValueUnavailableError("down"),
            )
        delay = (
            LATE_RESPONSE_SECONDS
            if fault is StoreFault.LATE
            else PLATFORM_DELAY_SECONDS
        )
        response = Deferred()
        self._clock.callLater(
            delay / 2, self._apply, response, delay / 2, method, args, kwargs
        )
        if writes and fault is StoreFault.ANSWER_LOST:
            response.addBoth(lambda _result: fail(KeyValueOutcomeUnknownError("lost")))
        return response

    def _apply(self, response, delay, method, args, kwargs):
        call = method(*args, **kwargs)
        call.addBoth(
            lambda result: self._process.callLater(delay, _fire, response, result)
        )


def _fire(response, result):
    if not response.called:
        response.callback(result)


class SimulatedNetwork:
    """Delivers peer messages between instances; drops those of ``isolated`` ones."""

    def __init__(self, clock):
        self._clock = clock
        self._receivers = {}
        self.isolated = set()

    def join(self, instance, process, receive):
        """Register an instance's receiver and return its sender."""
        self._receivers[instance] = (process, receive)
        return _Sender(self, instance)

    def send(self, source, instance, message):
        """Deliver a message after ``PEER_DELAY_SECONDS``, or drop it."""
        if instance in self._receivers and not {source, instance} & self.isolated:
            process, receive = self._receivers[instance]
            process.callLater(PEER_DELAY_SECONDS, receive, source, message)


class _Sender:
    def __init__(self, links, instance):
        self._links = links
        self._instance = instance

    def send(self, instance, message):
        """Send a message from this instance."""
        self._links.send(self._instance, instance, message)
