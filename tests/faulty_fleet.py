"""Instances that die or freeze, their links, and a store that fails for them."""

import enum
import functools

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import deferLater

from pomeloglade_coordination.errors import (
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
)

PLATFORM_DELAY = 0.003
PEER_DELAY = 0.0005
LATE_SECONDS = 3.0


def run(clock, seconds):
    """Advance a virtual clock from event to event."""
    end = clock.seconds() + seconds
    while clock.calls and clock.calls[0].getTime() <= end:
        clock.advance(max(0.0, clock.calls[0].getTime() - clock.seconds()))
    clock.advance(max(0.0, end - clock.seconds()))


class ProcessClock:
    """The clock of one process, which runs nothing while frozen or dead."""

    def __init__(self, clock):
        self._clock = clock
        self._held = []
        self.alive = True
        self.frozen = False
        self.seconds = clock.seconds

    def callLater(self, delay, call, *args, **kwargs):  # noqa: N802
        """Call something later unless this process is dead or frozen then."""
        return self._clock.callLater(delay, self._run, call, args, kwargs)

    def thaw(self):
        """Run all that came due while frozen."""
        self.frozen = False
        held, self._held = self._held, []
        for call, args, kwargs in held:
            self._run(call, args, kwargs)

    def _run(self, call, args, kwargs):
        if self.frozen:
            self._held.append((call, args, kwargs))
        elif self.alive:
            call(*args, **kwargs)


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
