"""Release of engine memory held for instances that are gone."""

import enum
import random
from collections import Counter
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from twisted.internet.defer import Deferred, TimeoutError, inlineCallbacks

from .clock import Clock
from .errors import CoordinationError
from .members import Member, MembershipView
from .peer import PeerMessage, PeerSender
from .rendezvous import owner
from .request_ids import RequestId, RequestIds

__all__ = ["HeldReport", "HeldRequest", "Recovery", "RequestId", "RequestIds"]

SWEEP_INTERVAL = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=250)
LONGEST_RETRY_DELAY = timedelta(seconds=1)
ENGINE_TIMEOUT = timedelta(seconds=1)
UNKNOWN_GRACE = timedelta(seconds=2)
REPORT_REPEAT = timedelta(seconds=10)
ABSENCE_FENCING = timedelta(seconds=30)


class RecoveryCounter(enum.Enum):
    """What recovery counts."""

    LISTED = "listed"
    LIST_FAILED = "list_failed"
    CANCELLED_OF_DEAD = "cancelled_of_dead"
    CANCELLED_UNKNOWN = "cancelled_unknown"
    CANCEL_RETRIED = "cancel_retried"
    REPORTS_SENT = "reports_sent"


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request for which an engine holds memory."""

    request_id: str
    instance: str
    incarnation: int


class HeldRequests(Protocol):
    """What recovery needs of the engines."""

    def list_held(self, server: str) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests for which ``server`` holds memory."""

    def cancel(self, server: str, request_id: str) -> "Deferred[None]":
        """Release a request's memory; an unknown request is no error."""


@dataclass(frozen=True, slots=True)
class HeldReport(PeerMessage):
    """Tells an instance what a backend server holds for it."""

    server: str
    request_ids: tuple[str, ...]


@dataclass(slots=True)
class _Sighting:
    first: float
    reported: float | None = None


class Recovery:
    """Cancels what engines hold for requests that are gone.

    One instance sweeps each backend server: the rendezvous owner among the live
    members of the server's zone, or of the fleet when that zone has none. It
    cancels what is held for fenced runs of instances, and reports to living
    instances what is held for them, which cancel what they do not know.

    Parameters
    ----------
    engines : HeldRequests
        Lists and cancels held requests.
    availability_zones_by_server : callable
        Returns the zone of each backend server that may hold requests.
    known : callable
        Whether a request id of this run is still in progress here.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        engines: HeldRequests,
        random: random.Random,
        availability_zones_by_server: Callable[[], Mapping[str, str]],
        known: Callable[[str], bool],
        sender: PeerSender | None = None,
    ) -> None:
        self.counters: Counter[RecoveryCounter] = Counter()
        self._clock = clock
        self._members = members
        self._engines = engines
        self._random = random
        self._zones_by_server = availability_zones_by_server
        self._known = known
        self._sender = sender
        self._fenced_by_instance: dict[str, int] = {}
        self._absent_since: dict[str, float] = {}
        self._sightings: dict[tuple[str, str], _Sighting] = {}
        self._releasing: set[tuple[str, str]] = set()
        self._sweeping: set[str] = set()
        self._running = False
        self._call: Any = None

    def start(self) -> None:
        """Begin to sweep."""
        self._running = True
        self._sweep_regularly()

    def stop(self) -> None:
        """Stop sweeping; releases under way end on their own."""
        self._running = False
        if self._call is not None and self._call.active():
            self._call.cancel()

    def died(self, member: Member) -> None:
        """Sweep at once for a run of an instance that has been fenced."""
        fenced = self._fenced_by_instance.get(member.instance, 0)
        self._fenced_by_instance[member.instance] = max(fenced, member.incarnation)
        self.sweep()

    def release(self, server: str, request_id: str) -> None:
        """Cancel a request at ``server``, repeating until it is confirmed."""
        if (server, request_id) not in self._releasing:
            self._releasing.add((server, request_id))
            self._release(server, request_id, RETRY_DELAY.total_seconds())

    def receive(self, _instance: str, message: PeerMessage) -> None:
        """Take a message of another instance."""
        if isinstance(message, HeldReport):
            self._check_own(message.server, message.request_ids)

    def sweep(self) -> None:
        """List each server that this instance has to sweep."""
        for server, zone in sorted(self._zones_by_server().items()):
            if self._sweeper(server, zone) == self._members.own.instance:
                self._sweep_server(server)

    def _sweep_regularly(self) -> None:
        self.sweep()
        pause = SWEEP_INTERVAL.total_seconds() * self._random.uniform(0.9, 1.0)
        self._call = self._clock.callLater(pause, self._sweep_regularly)

    def _sweeper(self, server: str, zone: str) -> str | None:
        members = self._members.live(zone) or self._members.live()
        return owner(server, [member.instance for member in members])

    def _sweep_server(self, server: str) -> None:
        if server in self._sweeping:
            return
        self._sweeping.add(server)
        listed = self._bounded(self._engines.list_held(server))
        listed.addCallback(self._listed, server)
        listed.addErrback(self._list_failed)
        listed.addBoth(lambda _result: self._sweeping.discard(server))

    def _list_failed(self, failure: Any) -> None:
        failure.trap(CoordinationError, TimeoutError)
        self.counters[RecoveryCounter.LIST_FAILED] += 1

    def _listed(self, held: tuple[HeldRequest, ...], server: str) -> None:
        self.counters[RecoveryCounter.LISTED] += 1
        self._forget_sightings(server, {each.request_id for each in held})
        ids_by_instance: dict[str, list[str]] = {}
        for each in held:
            if self._gone(each):
                self.counters[RecoveryCounter.CANCELLED_OF_DEAD] += 1
                self.release(server, each.request_id)
            elif self._due(server, each):
                ids_by_instance.setdefault(each.instance, []).append(each.request_id)
        for instance, ids in sorted(ids_by_instance.items()):
            self._report(instance, HeldReport(server, tuple(ids)))

    def _gone(self, held: HeldRequest) -> bool:
        if held.incarnation <= self._fenced_by_instance.get(held.instance, -1):
            return True
        member = self._members.member(held.instance)
        if member is not None:
            self._absent_since.pop(held.instance, None)
            return held.incarnation < member.incarnation
        now = self._clock.seconds()
        since = self._absent_since.setdefault(held.instance, now)
        return now - since >= ABSENCE_FENCING.total_seconds()

    def _due(self, server: str, held: HeldRequest) -> bool:
        """Return whether to report a request to its instance now."""
        now = self._clock.seconds()
        key = (server, held.request_id)
        sighting = self._sightings.setdefault(key, _Sighting(now))
        if now - sighting.first < UNKNOWN_GRACE.total_seconds():
            return False
        last = sighting.reported
        if last is not None and now - last < REPORT_REPEAT.total_seconds():
            return False
        sighting.reported = now
        return True

    def _forget_sightings(self, server: str, held: set[str]) -> None:
        gone = [k for k in self._sightings if k[0] == server and k[1] not in held]
        for key in gone:
            del self._sightings[key]

    def _report(self, instance: str, report: HeldReport) -> None:
        if instance == self._members.own.instance:
            self._check_own(report.server, report.request_ids)
        elif self._sender is not None:
            self.counters[RecoveryCounter.REPORTS_SENT] += 1
            self._sender.send(instance, report)

    def _check_own(self, server: str, request_ids: tuple[str, ...]) -> None:
        own = self._members.own
        for text in request_ids:
            request_id = RequestId.parse(text)
            if request_id is None or request_id.instance != own.instance:
                continue
            if request_id.incarnation == own.incarnation and self._known(text):
                continue
            if request_id.incarnation <= own.incarnation:
                self.counters[RecoveryCounter.CANCELLED_UNKNOWN] += 1
                self.release(server, text)

    @inlineCallbacks
    def _release(
        self, server: str, request_id: str, delay: float
    ) -> Generator[Any, Any, None]:
        try:
            yield self._bounded(self._engines.cancel(server, request_id))
        except (CoordinationError, TimeoutError):
            self.counters[RecoveryCounter.CANCEL_RETRIED] += 1
            if server not in self._zones_by_server():
                self._releasing.discard((server, request_id))
                return
            longer = min(LONGEST_RETRY_DELAY.total_seconds(), delay * 2)
            self._clock.callLater(delay, self._release, server, request_id, longer)
        else:
            self._releasing.discard((server, request_id))

    def _bounded(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(ENGINE_TIMEOUT.total_seconds(), self._clock)
