"""Release of engine memory held for requests that no instance handles any more."""

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
from .lasting_tasks import guarded
from .members import Member, MembershipView
from .peer import PeerMessage, PeerSender
from .rendezvous import owner
from .request_ids import RequestId, RequestIds

__all__ = ["HeldReport", "HeldRequest", "Recovery", "RequestId", "RequestIds"]

SWEEP_INTERVAL = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=250)
MAX_RETRY_DELAY = timedelta(seconds=1)
ENGINE_TIMEOUT = timedelta(seconds=1)
REPORT_DELAY = timedelta(seconds=2)
"""A held request is reported to its instance once it was first seen this long ago."""

REPORT_INTERVAL = timedelta(seconds=10)
ABSENCE_TIMEOUT = timedelta(seconds=30)


class RecoveryCounter(enum.Enum):
    """Counters of recovery."""

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


class HeldRequestAccess(Protocol):
    """Access to the requests that engines hold memory for."""

    def list_held(self, server: str) -> "Deferred[tuple[HeldRequest, ...]]":
        """Return the requests for which ``server`` holds memory."""

    def cancel(self, server: str, request_id: str) -> "Deferred[None]":
        """Release a request's memory; an unknown request is not an error."""


@dataclass(frozen=True, slots=True)
class HeldReport(PeerMessage):
    """Lists requests of the receiver for which a backend server holds memory."""

    server: str
    request_ids: tuple[str, ...]


@dataclass(slots=True)
class _Observation:
    first_seen: float
    last_reported: float | None = None


class Recovery:
    """Cancels requests that engines hold but that no instance handles any more.

    Each backend server is swept by one instance: its rendezvous owner among the
    live members of the server's availability zone, or of the fleet when that zone
    has none. The sweep cancels requests of fenced or earlier incarnations, and of
    instances that have been missing from the membership for ``ABSENCE_TIMEOUT``.
    Requests of live instances are reported to those, which cancel the ones that
    are no longer in progress.

    Parameters
    ----------
    engines : HeldRequestAccess
        Lists and cancels held requests.
    availability_zones_by_server : callable
        Returns the zone of each backend server that may hold requests.
    is_in_progress : callable
        Returns whether a request of this incarnation is still in progress.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        engines: HeldRequestAccess,
        random: random.Random,
        availability_zones_by_server: Callable[[], Mapping[str, str]],
        is_in_progress: Callable[[str], bool],
        sender: PeerSender | None = None,
    ) -> None:
        self.counters: Counter[RecoveryCounter] = Counter()
        self._clock = clock
        self._members = members
        self._engines = engines
        self._random = random
        self._zones_by_server = availability_zones_by_server
        self._in_progress = is_in_progress
        self._sender = sender
        self._fenced_incarnations: dict[str, int] = {}
        self._absent_since: dict[str, float] = {}
        self._observations: dict[tuple[str, str], _Observation] = {}
        self._releasing: set[tuple[str, str]] = set()
        self._sweeping: set[str] = set()
        self._running = False
        self._sweep_call: Any = None

    def start(self) -> None:
        """Start periodic sweeps."""
        self._running = True
        self._sweep_periodically()

    def stop(self) -> None:
        """Stop sweeping; releases in progress continue."""
        self._running = False
        if self._sweep_call is not None and self._sweep_call.active():
            self._sweep_call.cancel()

    def member_fenced(self, member: Member) -> None:
        """Record that ``member`` has been fenced, and sweep at once."""
        incarnation = self._fenced_incarnations.get(member.instance, 0)
        self._fenced_incarnations[member.instance] = max(
            incarnation, member.incarnation
        )
        self.sweep()

    def release(self, server: str, request_id: str) -> None:
        """Cancel a request; retry until it is confirmed or the server is removed."""
        if (server, request_id) not in self._releasing:
            self._releasing.add((server, request_id))
            self._release(server, request_id, RETRY_DELAY.total_seconds())

    def receive(self, _instance: str, message: PeerMessage) -> None:
        """Handle a message from another instance."""
        if isinstance(message, HeldReport):
            self._release_if_not_in_progress(message.server, message.request_ids)

    def sweep(self) -> None:
        """Sweep each backend server that is assigned to this instance."""
        for server, zone in sorted(self._zones_by_server().items()):
            if self._sweep_owner(server, zone) == self._members.own.instance:
                self._sweep_server(server)

    def _sweep_periodically(self) -> None:
        guarded("sweep", self.sweep)()
        delay = SWEEP_INTERVAL.total_seconds() * self._random.uniform(0.9, 1.0)
        self._sweep_call = self._clock.callLater(delay, self._sweep_periodically)

    def _sweep_owner(self, server: str, zone: str) -> str | None:
        members = self._members.live(zone) or self._members.live()
        return owner(server, [member.instance for member in members])

    def _sweep_server(self, server: str) -> None:
        if server in self._sweeping:
            return
        self._sweeping.add(server)
        listed = self._with_timeout(self._engines.list_held(server))
        listed.addCallback(self._handle_listing, server)
        listed.addErrback(self._list_failed)
        listed.addBoth(lambda _result: self._sweeping.discard(server))

    def _list_failed(self, failure: Any) -> None:
        failure.trap(CoordinationError, TimeoutError)
        self.counters[RecoveryCounter.LIST_FAILED] += 1

    def _handle_listing(self, held: tuple[HeldRequest, ...], server: str) -> None:
        self.counters[RecoveryCounter.LISTED] += 1
        self._drop_observations(server, {each.request_id for each in held})
        ids_by_instance: dict[str, list[str]] = {}
        for each in held:
            if self._is_orphaned(each):
                self.counters[RecoveryCounter.CANCELLED_OF_DEAD] += 1
                self.release(server, each.request_id)
            elif self._should_report(server, each):
                ids_by_instance.setdefault(each.instance, []).append(each.request_id)
        for instance, ids in sorted(ids_by_instance.items()):
            self._report(instance, HeldReport(server, tuple(ids)))

    def _is_orphaned(self, held: HeldRequest) -> bool:
        if held.incarnation <= self._fenced_incarnations.get(held.instance, -1):
            return True
        member = self._members.member(held.instance)
        if member is not None:
            self._absent_since.pop(held.instance, None)
            return held.incarnation < member.incarnation
        now = self._clock.seconds()
        since = self._absent_since.setdefault(held.instance, now)
        return now - since >= ABSENCE_TIMEOUT.total_seconds()

    def _should_report(self, server: str, held: HeldRequest) -> bool:
        """Return whether to report a request now, and note that it is reported."""
        now = self._clock.seconds()
        key = (server, held.request_id)
        observation = self._observations.setdefault(key, _Observation(now))
        if now - observation.first_seen < REPORT_DELAY.total_seconds():
            return False
        last = observation.last_reported
        if last is not None and now - last < REPORT_INTERVAL.total_seconds():
            return False
        observation.last_reported = now
        return True

    def _drop_observations(self, server: str, held_ids: set[str]) -> None:
        released = [
            k for k in self._observations if k[0] == server and k[1] not in held_ids
        ]
        for key in released:
            del self._observations[key]

    def _report(self, instance: str, report: HeldReport) -> None:
        if instance == self._members.own.instance:
            self._release_if_not_in_progress(report.server, report.request_ids)
        elif self._sender is not None:
            self.counters[RecoveryCounter.REPORTS_SENT] += 1
            self._sender.send(instance, report)

    def _release_if_not_in_progress(
        self, server: str, request_ids: tuple[str, ...]
    ) -> None:
        own = self._members.own
        for text in request_ids:
            request_id = RequestId.parse(text)
            if request_id is None or request_id.instance != own.instance:
                continue
            if request_id.incarnation == own.incarnation and self._in_progress(text):
                continue
            if request_id.incarnation <= own.incarnation:
                self.counters[RecoveryCounter.CANCELLED_UNKNOWN] += 1
                self.release(server, text)

    @inlineCallbacks
    def _release(
        self, server: str, request_id: str, delay: float
    ) -> Generator[Any, Any, None]:
        try:
            yield self._with_timeout(self._engines.cancel(server, request_id))
        except (CoordinationError, TimeoutError):
            self.counters[RecoveryCounter.CANCEL_RETRIED] += 1
            if server not in self._zones_by_server():
                self._releasing.discard((server, request_id))
                return
            longer = min(MAX_RETRY_DELAY.total_seconds(), delay * 2)
            self._clock.callLater(delay, self._release, server, request_id, longer)
        else:
            self._releasing.discard((server, request_id))

    def _with_timeout(self, call: "Deferred[Any]") -> "Deferred[Any]":
        return call.addTimeout(ENGINE_TIMEOUT.total_seconds(), self._clock)
