"""Requests that are suspected or proven to crash backend servers."""

import enum
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod

from .clock import Clock, nonnegative_timedelta
from .members import MembershipView
from .peer import PeerMessage, PeerSender
from .placement_messages import CrashReport, SuspectCleared, SuspectsFound
from .refusals import Reason, Refusal, Step

SUSPICION_SECONDS = 120.0
CONVICTION_SECONDS = 600.0

SAME_CRASH_SECONDS = 3.0
"""Reports for one server within this time count as one crash."""

REPORT_REPEAT_SECONDS = 1.0
REPORT_REPEATS = 3
"""Number of times that a report is sent again, as messages may be lost."""

MAX_SUSPECTS = 10_000
MAX_JOIN_SENDERS = 2
"""Number of instances that send all suspects to one that joins."""


class Admission(enum.Enum):
    """How a request may run."""

    RUN = "run"
    RUN_ALONE = "run_alone"


@dataclass(slots=True)
class _Suspect:
    """The crashes during which one request was in flight.

    ``alone`` says that a crash happened when the request ran as a suspect.
    """

    crashed_at_by_server: dict[str, float] = field(default_factory=dict)
    convicted_at: float | None = None
    alone: bool = False
    repeats_left: int = REPORT_REPEATS

    def last_crash_at(self) -> float:
        return max(self.crashed_at_by_server.values())


class Suspects:
    """Records which requests were in flight when a backend server crashed.

    Requests are identified by a fingerprint of account and body. All that were
    in flight on a crashed server become suspects at every instance. A suspect is
    run only on a server without other suspects. A second crash convicts it, which
    means that it is refused. A suspect that is answered in full is cleared.
    Suspicions and convictions expire.

    Crashes are reported before the crashed requests' slots are freed, and
    messages to one instance arrive in order. The placement owner checks ``admit``
    again before each grant, so it knows of the first crash before it can place a
    copy of the request on another server.

    Parameters
    ----------
    conviction : timedelta
        How long a convicted request is refused.

    >>> from twisted.internet.task import Clock
    >>> from pomeloglade_coordination.members import FixedMembership, Member
    >>> members = FixedMembership(Member("i1", "zone-a", 1))
    >>> suspects = Suspects(clock=Clock(), members=members, sender=None)
    >>> suspects.request_sent("request", "server-1")
    >>> suspects.server_crashed("server-1")
    >>> suspects.admit("request")
    <Admission.RUN_ALONE: 'run_alone'>
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: MembershipView,
        sender: PeerSender,
        conviction: timedelta = timedelta(seconds=CONVICTION_SECONDS),
    ) -> None:
        self._clock = clock
        self._members = members
        self._sender = sender
        self._conviction = conviction.total_seconds()
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        self._cleared_at_by_fingerprint: dict[str, float] = {}
        self._runs_by_server: dict[str, Counter[str]] = {}
        self._runs_alone: set[tuple[str, str]] = set()
        self._last_repeat_at = clock.seconds()
        self._live_instances = {m.instance for m in members.live()}
        self._counters: Counter[str] = Counter()
        members.subscribe(self._members_changed)

    def admit(self, fingerprint: str) -> Admission | Refusal:
        """Return how a request may run, or a refusal if it is convicted."""
        suspect = self._current_suspect(fingerprint)
        if suspect is None:
            return Admission.RUN
        if suspect.convicted_at is None:
            return Admission.RUN_ALONE
        self._counters["refused"] += 1
        wait = suspect.convicted_at + self._conviction - self._clock.seconds()
        return Refusal(
            Reason.SUSPECT, Step.ADMIT, retry_after=nonnegative_timedelta(wait)
        )

    def request_sent(self, fingerprint: str, server: str) -> None:
        """Record that a request is about to be sent to a backend server."""
        self._runs_by_server.setdefault(server, Counter())[fingerprint] += 1
        if self._current_suspect(fingerprint) is not None:
            self._runs_alone.add((fingerprint, server))

    def request_ended(self, fingerprint: str, server: str) -> None:
        """Record that a request left a backend server; this clears no suspect."""
        runs = self._runs_by_server.get(server)
        if runs is None or not runs[fingerprint]:
            return
        runs[fingerprint] -= 1
        if not runs[fingerprint]:
            del runs[fingerprint]
            self._runs_alone.discard((fingerprint, server))
        if not runs:
            del self._runs_by_server[server]

    def request_completed(self, fingerprint: str) -> None:
        """Record that a request was answered in full, which clears a suspect."""
        for server in list(self._runs_by_server):
            self.request_ended(fingerprint, server)
        suspect = self._current_suspect(fingerprint)
        if suspect is None or suspect.convicted_at is not None:
            return
        self._clear(fingerprint, self._clock.seconds())
        self._broadcast(SuspectCleared(fingerprint, 0.0))

    def server_crashed(self, server: str) -> None:
        """Make suspects of all this instance's requests on a crashed server.

        Call it before the requests' slots are released.
        """
        runs = self._runs_by_server.pop(server, None)
        if not runs:
            return
        self._counters["crashes"] += 1
        reports = tuple(
            CrashReport(
                fingerprint, server, 0.0, (fingerprint, server) in self._runs_alone
            )
            for fingerprint in sorted(runs)
        )
        self._runs_alone -= {(fingerprint, server) for fingerprint in runs}
        for report in reports:
            self._record_crash(report)
        self._broadcast(SuspectsFound(reports))

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Handle a message from another instance; other types are ignored."""
        self._receive(message)

    @singledispatchmethod
    def _receive(self, message: PeerMessage) -> None:
        pass

    @_receive.register
    def _(self, message: SuspectsFound) -> None:
        for report in message.reports:
            self._record_crash(report)

    @_receive.register
    def _(self, message: SuspectCleared) -> None:
        self._clear(message.fingerprint, self._clock.seconds() - message.age)

    def tick(self) -> None:
        """Drop expired suspects and repeat recent reports."""
        now = self._clock.seconds()
        for fingerprint in list(self._suspects_by_fingerprint):
            self._current_suspect(fingerprint)
        for fingerprint, at in list(self._cleared_at_by_fingerprint.items()):
            if now - at > SUSPICION_SECONDS:
                del self._cleared_at_by_fingerprint[fingerprint]
        if now - self._last_repeat_at < REPORT_REPEAT_SECONDS:
            return
        self._last_repeat_at = now
        due = [
            fingerprint
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.repeats_left > 0
        ]
        for fingerprint in due:
            self._suspects_by_fingerprint[fingerprint].repeats_left -= 1
        if due:
            self._broadcast(SuspectsFound(self._reports(due)))

    def counters(self) -> dict[str, int]:
        """Return counts of events, and of current suspects and convicted requests."""
        counts = dict(self._counters)
        suspects = self._suspects_by_fingerprint.values()
        counts["convicted"] = sum(each.convicted_at is not None for each in suspects)
        counts["suspects"] = len(suspects) - counts["convicted"]
        return counts

    def _current_suspect(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if self._clock.seconds() < self._expires_at(suspect):
            return suspect
        del self._suspects_by_fingerprint[fingerprint]
        self._counters["expired"] += 1
        return None

    def _expires_at(self, suspect: _Suspect) -> float:
        if suspect.convicted_at is not None:
            return suspect.convicted_at + self._conviction
        return suspect.last_crash_at() + SUSPICION_SECONDS

    def _record_crash(self, report: CrashReport) -> None:
        crashed_at = self._clock.seconds() - report.age
        if crashed_at <= self._cleared_at_by_fingerprint.get(report.fingerprint, -1.0):
            return
        suspect = self._suspects_by_fingerprint.get(report.fingerprint)
        if suspect is None:
            if len(self._suspects_by_fingerprint) >= MAX_SUSPECTS:
                oldest = next(iter(self._suspects_by_fingerprint))
                del self._suspects_by_fingerprint[oldest]
            suspect = _Suspect()
            self._suspects_by_fingerprint[report.fingerprint] = suspect
        previous = suspect.crashed_at_by_server.get(report.server)
        repeated = previous is not None and crashed_at - previous > SAME_CRASH_SECONDS
        suspect.crashed_at_by_server[report.server] = max(
            crashed_at, previous or crashed_at
        )
        suspect.alone = suspect.alone or report.alone
        second_crash = (
            repeated or suspect.alone or len(suspect.crashed_at_by_server) > 1
        )
        if second_crash and suspect.convicted_at is None:
            suspect.convicted_at = suspect.last_crash_at()

    def _clear(self, fingerprint: str, cleared_at: float) -> None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.convicted_at is not None:
            return
        if suspect.last_crash_at() <= cleared_at:
            del self._suspects_by_fingerprint[fingerprint]
            self._cleared_at_by_fingerprint[fingerprint] = cleared_at
            self._counters["cleared"] += 1

    def _reports(self, fingerprints: list[str]) -> tuple[CrashReport, ...]:
        now = self._clock.seconds()
        return tuple(
            CrashReport(fingerprint, server, now - at, suspect.alone)
            for fingerprint in fingerprints
            for suspect in (self._suspects_by_fingerprint[fingerprint],)
            for server, at in suspect.crashed_at_by_server.items()
        )

    def _members_changed(self) -> None:
        live = [member.instance for member in self._members.live()]
        joined = [name for name in live if name not in self._live_instances]
        self._live_instances = set(live)
        own = self._members.own.instance
        fingerprints = list(self._suspects_by_fingerprint)
        senders = [name for name in live if name not in joined][:MAX_JOIN_SENDERS]
        if not fingerprints or own not in senders:
            return
        for instance in joined:
            self._sender.send(instance, SuspectsFound(self._reports(fingerprints)))

    def _broadcast(self, message: PeerMessage) -> None:
        own = self._members.own.instance
        for member in self._members.live():
            if member.instance != own:
                self._sender.send(member.instance, message)
