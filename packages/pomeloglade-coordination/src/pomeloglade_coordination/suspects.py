"""Requests suspected or convicted of crashing backend servers."""

import enum
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod

from .clock import Clock, delay
from .members import MembershipView
from .peer import PeerMessage, PeerSender
from .placement_messages import CrashReport, SuspectCleared, SuspectsFound
from .refusals import Reason, Refusal, Step

SUSPICION_SECONDS = 120.0
CONVICTION_SECONDS = 600.0

SAME_CRASH_SECONDS = 3.0
"""Reports of one server closer together than this are taken for one crash."""

REPEAT_SECONDS = 1.0
REPEATS = 3
"""How often a report is sent again, as messages may be lost."""

MAX_SUSPECTS = 10_000
JOIN_HELPERS = 2
"""Instances that tell a joining one of all suspects."""


class Admission(enum.Enum):
    """How a request may run."""

    RUN = "run"
    RUN_ALONE = "run_alone"


@dataclass(slots=True)
class _Suspect:
    """Crashes by server, each with its instant; cleared ones are dropped."""

    crashed_at_by_server: dict[str, float] = field(default_factory=dict)
    convicted_at: float | None = None
    alone: bool = False
    repeats: int = REPEATS

    def newest(self) -> float:
        return max(self.crashed_at_by_server.values())


class Suspects:
    """Remembers which requests were in flight when a backend server crashed.

    Requests are known by a fingerprint of account and body. All that were in
    flight on a crashed server become suspects at every instance; a suspect runs
    alone, and a second crash convicts it. A suspect that finishes is cleared.
    Suspicions and convictions expire.

    Every instance is told of a crash before the crashed requests' slots are
    freed, as messages to one instance arrive in order. So the placing owner,
    which asks ``admit`` again before it grants, knows of the first crash before
    it can place a copy elsewhere.

    >>> from twisted.internet.task import Clock
    >>> from pomeloglade_coordination.members import FixedMembership, Member
    >>> members = FixedMembership(Member("i1", "zone-a", 1))
    >>> suspects = Suspects(clock=Clock(), members=members, sender=None)
    >>> suspects.started("request", "server-1")
    >>> suspects.crashed("server-1")
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
        self._alone: set[tuple[str, str]] = set()
        self._repeated_at = clock.seconds()
        self._known_instances = {m.instance for m in members.live()}
        self._counters: Counter[str] = Counter()
        members.subscribe(self._members_changed)

    def admit(self, fingerprint: str) -> Admission | Refusal:
        """Return how a request may run, or a refusal if it is convicted."""
        suspect = self._suspect(fingerprint)
        if suspect is None:
            return Admission.RUN
        if suspect.convicted_at is None:
            return Admission.RUN_ALONE
        self._counters["refused"] += 1
        wait = suspect.convicted_at + self._conviction - self._clock.seconds()
        return Refusal(Reason.SUSPECT, Step.ADMIT, retry_after=delay(wait))

    def started(self, fingerprint: str, server: str) -> None:
        """Note that a request is about to be sent to a backend server."""
        self._runs_by_server.setdefault(server, Counter())[fingerprint] += 1
        if self._suspect(fingerprint) is not None:
            self._alone.add((fingerprint, server))

    def ended(self, fingerprint: str, server: str) -> None:
        """Note that a request left a backend server; it proves no innocence."""
        runs = self._runs_by_server.get(server)
        if runs is None or not runs[fingerprint]:
            return
        runs[fingerprint] -= 1
        if not runs[fingerprint]:
            del runs[fingerprint]
            self._alone.discard((fingerprint, server))
        if not runs:
            del self._runs_by_server[server]

    def completed(self, fingerprint: str) -> None:
        """Note that a request was answered in full, which clears a suspect."""
        for server in list(self._runs_by_server):
            self.ended(fingerprint, server)
        suspect = self._suspect(fingerprint)
        if suspect is None or suspect.convicted_at is not None:
            return
        self._clear(fingerprint, self._clock.seconds())
        self._tell_all(SuspectCleared(fingerprint, 0.0))

    def crashed(self, server: str) -> None:
        """Suspect all that this instance has in flight on a crashed server.

        Call it before the requests' slots are released.
        """
        runs = self._runs_by_server.pop(server, None)
        if not runs:
            return
        self._counters["crashes"] += 1
        reports = tuple(
            CrashReport(fingerprint, server, 0.0, (fingerprint, server) in self._alone)
            for fingerprint in sorted(runs)
        )
        self._alone -= {(fingerprint, server) for fingerprint in runs}
        for report in reports:
            self._take(report)
        self._tell_all(SuspectsFound(reports))

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Take a message of another instance; other types are ignored."""
        self._receive(message)

    @singledispatchmethod
    def _receive(self, message: PeerMessage) -> None:
        pass

    @_receive.register
    def _(self, message: SuspectsFound) -> None:
        for report in message.reports:
            self._take(report)

    @_receive.register
    def _(self, message: SuspectCleared) -> None:
        self._clear(message.fingerprint, self._clock.seconds() - message.age)

    def tick(self) -> None:
        """Drop what has expired and repeat recent reports."""
        now = self._clock.seconds()
        for fingerprint in list(self._suspects_by_fingerprint):
            self._suspect(fingerprint)
        for fingerprint, at in list(self._cleared_at_by_fingerprint.items()):
            if now - at > SUSPICION_SECONDS:
                del self._cleared_at_by_fingerprint[fingerprint]
        if now - self._repeated_at < REPEAT_SECONDS:
            return
        self._repeated_at = now
        due = [
            fingerprint
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.repeats > 0
        ]
        for fingerprint in due:
            self._suspects_by_fingerprint[fingerprint].repeats -= 1
        if due:
            self._tell_all(SuspectsFound(self._reports(due)))

    def counters(self) -> dict[str, int]:
        """Return counts of crashes, refusals, clearings and what is held."""
        counts = dict(self._counters)
        held = self._suspects_by_fingerprint.values()
        counts["convicted"] = sum(each.convicted_at is not None for each in held)
        counts["suspects"] = len(held) - counts["convicted"]
        return counts

    def _suspect(self, fingerprint: str) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if self._clock.seconds() < self._expires(suspect):
            return suspect
        del self._suspects_by_fingerprint[fingerprint]
        self._counters["expired"] += 1
        return None

    def _expires(self, suspect: _Suspect) -> float:
        if suspect.convicted_at is not None:
            return suspect.convicted_at + self._conviction
        return suspect.newest() + SUSPICION_SECONDS

    def _take(self, report: CrashReport) -> None:
        at = self._clock.seconds() - report.age
        if at <= self._cleared_at_by_fingerprint.get(report.fingerprint, -1.0):
            return
        suspect = self._suspects_by_fingerprint.get(report.fingerprint)
        if suspect is None:
            if len(self._suspects_by_fingerprint) >= MAX_SUSPECTS:
                oldest = next(iter(self._suspects_by_fingerprint))
                del self._suspects_by_fingerprint[oldest]
            suspect = _Suspect()
            self._suspects_by_fingerprint[report.fingerprint] = suspect
        known = suspect.crashed_at_by_server.get(report.server)
        again = known is not None and at - known > SAME_CRASH_SECONDS
        suspect.crashed_at_by_server[report.server] = max(at, known or at)
        suspect.alone = suspect.alone or report.alone
        second = again or suspect.alone or len(suspect.crashed_at_by_server) > 1
        if second and suspect.convicted_at is None:
            suspect.convicted_at = suspect.newest()

    def _clear(self, fingerprint: str, at: float) -> None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.convicted_at is not None:
            return
        if suspect.newest() <= at:
            del self._suspects_by_fingerprint[fingerprint]
            self._cleared_at_by_fingerprint[fingerprint] = at
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
        joined = [name for name in live if name not in self._known_instances]
        self._known_instances = set(live)
        own = self._members.own.instance
        known = list(self._suspects_by_fingerprint)
        helpers = [name for name in live if name not in joined][:JOIN_HELPERS]
        if not known or own not in helpers:
            return
        for instance in joined:
            self._sender.send(instance, SuspectsFound(self._reports(known)))

    def _tell_all(self, message: PeerMessage) -> None:
        own = self._members.own.instance
        for member in self._members.live():
            if member.instance != own:
                self._sender.send(member.instance, message)
