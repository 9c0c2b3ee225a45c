"""Requests and prompts that end the servers that run them, known to all instances."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from twisted.internet.interfaces import IReactorTime

from .crash_news import (
    MAX_REPORTED_KEYS,
    REPORTED_SECONDS,
    CrashNews,
    ReportedCrashes,
    ServerRun,
    by_run,
)
from .event_log import EventLog
from .report_progress import REPEAT_SECONDS
from .report_scope import ReportScope

CRASHES_TO_QUARANTINE = 3
"""Servers that end under a key before its calls are refused. A sound call that is lost
with its server, and again at the next one, may still be sent."""

MAX_TIED_CRASHES = 6
"""Servers that end under two keys alike before one of them is refused."""

QUARANTINE_SECONDS = 600.0
"""Time after the last crash for which calls are refused. After it, one more crash
renews the quarantine."""

MEMORY_SECONDS = 3_600.0
"""Time for which crashes are remembered."""

SOUND_SECONDS = 30.0
"""Time after an answer in which servers that end under its keys don't count."""

MAX_RECORDS = 5_000
"""Limit on the keys with crashes, and on those with answers, that are kept."""

MAX_LIFTED = 1_000
"""Limit on the keys whose quarantine was ended with the runs that don't count then."""


@dataclass(slots=True)
class _Record:
    """The server runs that ended under one key."""

    runs: set[ServerRun] = field(default_factory=set)
    last_crash_at: float = 0.0
    seen_here: bool = False


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A quarantined key: the servers that ended, and how long it is refused, in s.

    ``seen_here`` tells whether this instance has lost a call to the last of them.
    """

    runs: frozenset[ServerRun]
    seconds_left: float
    seen_here: bool


class CrashQuarantine:
    """Finds out which calls end the servers that run them, by what they have in common.

    Calls have keys: one is the same for each attempt of a request, others for all
    prompts with the same part. When a server ends, all calls that it runs are lost,
    most of them sound. A key is quarantined once several runs of servers have ended
    under it, none of its calls was answered, and those ends are not explained by
    another key that as many or more runs ended under. Instances report crashes, and
    answers under keys with crashes.

    Attributes
    ----------
    on_disproved : callable
        Called with each key with enough ends that an answer here showed to be sound.
    on_not_ended : callable
        Called with each run that answered after its supposed end.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> quarantine = CrashQuarantine(Clock(), EventLog(Clock(), 2))
    >>> for server in ("a", "b"):
    ...     quarantine.record_crash([17], (server, 0))
    >>> quarantine.seconds_left([17])
    0.0
    >>> quarantine.apply_reported([("c", 0, [17])], [], ReportScope.FLEET)
    >>> quarantine.seconds_left([17])
    600.0
    """

    def __init__(self, clock: IReactorTime, log: EventLog) -> None:
        self._clock = clock
        self._log = log
        self._records_by_key: dict[int, _Record] = {}
        self._keys_by_run: dict[ServerRun, set[int]] = {}
        self._ended_at_by_run: dict[ServerRun, float] = {}
        self._alive_at_by_run: dict[ServerRun, float] = {}
        self._answered_at_by_key: dict[int, float] = {}
        self._sound_at_by_key: dict[int, float] = {}
        self._news = CrashNews(clock, self.count_ends)
        self._lifted_runs_by_key: dict[int, frozenset[ServerRun]] = {}
        self.on_disproved: Callable[[int], None] = lambda key: None
        self.on_not_ended: Callable[[ServerRun], None] = lambda run: None

    def count_suspected(self) -> int:
        """Return the number of keys under which enough servers ended."""
        return sum(map(self._has_enough_ends, self._records_by_key))

    def count_ends(self, key: int) -> int:
        """Return how many server runs ended under a key."""
        record = self._records_by_key.get(key)
        return len(record.runs) if record is not None else 0

    def record_crash(
        self, keys: Iterable[int], run: ServerRun, last_part: int | None = None
    ) -> None:
        """Record that a server run ended while it ran a call with these keys.

        ``last_part`` is the key among them that other calls hardly have.
        """
        for key in keys:
            self._add_crash(key, run, ReportScope.OWN, key == last_part)

    def record_answer(self, keys: Iterable[int]) -> bool:
        """Record that a call with these keys was run to its end.

        Returns whether that is news for the other instances.
        """
        last_serial = self._news.last_serial
        for key in keys:
            self._put_time(self._answered_at_by_key, key)
            if key in self._records_by_key:
                self._mark_sound(key, ReportScope.OWN)
        return self._news.last_serial > last_serial

    def record_alive(self, run: ServerRun, sent_at: float) -> None:
        """Record that a server run has answered a request sent at ``sent_at``.

        If that was after its supposed end, only its connection was lost.
        """
        ended_at = self._ended_at_by_run.get(run)
        if ended_at is not None and sent_at > ended_at:
            self.withdraw(run)
            self.on_not_ended(run)

    def withdraw(self, run: ServerRun, age: float = 0.0) -> None:
        """Forget that a server run ended, if that was ``age`` seconds ago or earlier.

        Reports of its end are ignored as long as others may repeat them.
        """
        at = self._clock.seconds() - age
        if self._ended_at_by_run.get(run, at) > at:
            return
        self._alive_at_by_run[run] = at
        self._news.withdraw(run)
        self._ended_at_by_run.pop(run, None)
        for key in self._keys_by_run.pop(run, ()):
            record = self._records_by_key[key]
            record.runs.discard(run)
            if not record.runs:
                del self._records_by_key[key]

    def believe(self, run: ServerRun) -> None:
        """Count reports that a run ended, though it was withdrawn before."""
        self._alive_at_by_run.pop(run, None)

    def report_again(self, run: ServerRun) -> None:
        """Report again that a run ended, as this instance has seen."""
        for key in sorted(self._keys_by_run.get(run, ())):
            self._news.add(ReportScope.OWN, key, run)

    def seconds_left(self, keys: Sequence[int]) -> float:
        """Return for how long a call with these keys is refused; 0 if it is not."""
        return max(map(self._refused_for, self.refused_keys(keys)), default=0.0)

    def refused_keys(self, keys: Sequence[int]) -> list[int]:
        """Return those of a call's keys for which it is refused."""
        return [
            key
            for key in keys
            if self._has_enough_ends(key)
            and self._refused_for(key) > 0
            and self._unexplained(key, keys) >= CRASHES_TO_QUARANTINE
        ]

    def quarantined(self) -> dict[int, Quarantine]:
        """Return the keys for which calls are refused, alone or with another key.

        Keys that always came together, with equally many ends, are all among them.
        """
        return {
            key: Quarantine(
                frozenset(record.runs), self._refused_for(key), record.seen_here
            )
            for key, record in self._records_by_key.items()
            if len(record.runs) >= CRASHES_TO_QUARANTINE
            and self._refused_for(key) > 0
            and self._blamed(key)
        }

    def restore(self, key: int, runs: Iterable[ServerRun], seconds_left: float) -> None:
        """Learn a quarantined key that was stored, unless it is known to be sound."""
        if self.is_sound(key) or self._was_answered(key):
            return
        crashed_at = self._clock.seconds() + seconds_left - QUARANTINE_SECONDS
        for run in runs:
            self._add_crash(key, run, ReportScope.FLEET, at=crashed_at)

    def lift(self, key: int) -> None:
        """End a key's quarantine; only further ends of servers count under it."""
        record = self._records_by_key.get(key)
        if record is None:
            return
        self._log.event("quarantine_lifted", key=f"{key:016x}")
        while len(self._lifted_runs_by_key) >= MAX_LIFTED:
            del self._lifted_runs_by_key[next(iter(self._lifted_runs_by_key))]
        earlier = self._lifted_runs_by_key.pop(key, frozenset())
        self._lifted_runs_by_key[key] = earlier | record.runs
        self._forget(key)

    def is_sound(self, key: int) -> bool:
        """Return whether an answer has shown a key to be sound a short time ago."""
        sound_at = self._sound_at_by_key.get(key, float("-inf"))
        return self._clock.seconds() - sound_at <= SOUND_SECONDS

    def apply_reported(
        self, crashes: ReportedCrashes, sound: Iterable[int], scope: ReportScope
    ) -> None:
        """Learn crashes, and keys without fault, that another instance reported."""
        for key in sound:
            if not self.is_sound(key):
                self._mark_sound(key, scope)
        now = self._clock.seconds()
        for server, started_ms, keys in crashes:
            run = (server, started_ms)
            alive_at = self._alive_at_by_run.get(run, float("-inf"))
            if now - alive_at <= REPORTED_SECONDS + REPEAT_SECONDS:
                continue
            for key in keys:
                if self._was_answered(key):
                    self._mark_sound(key, ReportScope.OWN)
                else:
                    self._add_crash(key, run, scope)

    def take_due(self, widest: ReportScope) -> tuple[ReportedCrashes, list[int]]:
        """Return the crashes and the sound keys for the next report of a scope."""
        return self._news.take_due(widest)

    def everything(self) -> ReportedCrashes:
        """Return the crashes for an instance that may have missed some.

        Those of the keys with the most crashes go first.
        """
        self._drop_old()
        records = sorted(
            self._records_by_key.items(), key=lambda each: -len(each[1].runs)
        )
        pairs = [(run, key) for key, record in records for run in record.runs]
        return by_run(pairs[:MAX_REPORTED_KEYS])

    def _has_enough_ends(self, key: int) -> bool:
        return self.count_ends(key) >= CRASHES_TO_QUARANTINE

    def _refused_for(self, key: int) -> float:
        ends_at = self._records_by_key[key].last_crash_at + QUARANTINE_SECONDS
        return max(0.0, ends_at - self._clock.seconds())

    def _blamed(self, key: int) -> bool:
        """Return whether enough ends came under no other key with more ends."""
        ends = self.count_ends(key)
        unexplained = sum(
            all(self.count_ends(other) <= ends for other in self._keys_by_run[run])
            for run in self._records_by_key[key].runs
        )
        return unexplained >= CRASHES_TO_QUARANTINE

    def _unexplained(self, key: int, keys: Sequence[int]) -> int:
        """Return how many ends under ``key`` no key outside ``keys`` explains.

        A key explains ends that came under it too, if it has as many or more.
        """
        return sum(
            not any(
                other not in keys and self._explains(other, key)
                for other in self._keys_by_run[run]
            )
            for run in self._records_by_key[key].runs
        )

    def _explains(self, other: int, key: int) -> bool:
        """Return whether ends under both keys are blamed on ``other``.

        While two keys have equally few ends, calls with either are sent, as the next
        answer or end tells them apart. Not so if that has not happened for long.
        """
        ends, others_ends = self.count_ends(key), self.count_ends(other)
        if ends == others_ends >= MAX_TIED_CRASHES:
            return other > key
        return others_ends >= ends

    def _was_answered(self, key: int) -> bool:
        """Return whether this instance had an answer under a key a short time ago."""
        answered_at = self._answered_at_by_key.get(key, float("-inf"))
        return self._clock.seconds() - answered_at <= SOUND_SECONDS

    def _add_crash(
        self,
        key: int,
        run: ServerRun,
        scope: ReportScope,
        last_part: bool = False,
        at: float | None = None,
    ) -> None:
        """Add an end under a key, now or at an earlier time of this clock."""
        if self.is_sound(key) or self._was_answered(key):
            return
        if run in self._lifted_runs_by_key.get(key, ()):
            return
        self._drop_old()
        record = self._records_by_key.get(key) or _Record()
        if run in record.runs:
            return
        # The dictionary is in the order of the last crashes.
        self._records_by_key.pop(key, None)
        self._records_by_key[key] = record
        crashed_at = self._clock.seconds() if at is None else at
        record.last_crash_at = max(record.last_crash_at, crashed_at)
        record.seen_here = scope is ReportScope.OWN
        record.runs.add(run)
        self._keys_by_run.setdefault(run, set()).add(key)
        self._ended_at_by_run.setdefault(run, crashed_at)
        if at is None:
            self._news.add(scope, key, run, last_part)
        if len(record.runs) == CRASHES_TO_QUARANTINE:
            servers = sorted(server for server, _ in record.runs)
            self._log.event("crashes_suspected", key=f"{key:016x}", servers=servers)

    def _mark_sound(self, key: int, scope: ReportScope) -> None:
        """Forget the crashes under a key, and tell the others."""
        if self._has_enough_ends(key):
            self._log.event("crashes_disproved", key=f"{key:016x}")
            if scope is ReportScope.OWN:
                self.on_disproved(key)
        self._forget(key)
        if not self.is_sound(key):
            self._news.add(scope, key)
        self._put_time(self._sound_at_by_key, key)

    def _put_time(self, times_by_key: dict[int, float], key: int) -> None:
        """Set a key's time to now, and drop the times that no longer matter."""
        now = self._clock.seconds()
        times_by_key.pop(key, None)
        while times_by_key:
            oldest, at = next(iter(times_by_key.items()))
            if now - at <= SOUND_SECONDS and len(times_by_key) < MAX_RECORDS:
                break
            del times_by_key[oldest]
        times_by_key[key] = now

    def _forget(self, key: int) -> None:
        record = self._records_by_key.pop(key, None)
        if record is None:
            return
        for run in record.runs:
            self._keys_by_run[run].discard(key)
            if not self._keys_by_run[run]:
                del self._keys_by_run[run]
                del self._ended_at_by_run[run]

    def _drop_old(self) -> None:
        """Drop old records, and beyond the limit one with as few ends as possible.

        Most keys with one end are of requests and last parts that come only once.
        """
        now = self._clock.seconds()
        for run, alive_at in list(self._alive_at_by_run.items()):
            if now - alive_at > SOUND_SECONDS:
                del self._alive_at_by_run[run]
        while self._records_by_key:
            key, record = next(iter(self._records_by_key.items()))
            if now - record.last_crash_at <= MEMORY_SECONDS:
                break
            self._forget(key)
        if len(self._records_by_key) >= MAX_RECORDS:
            self._forget(self._lightest())

    def _lightest(self) -> int:
        """Return the oldest key with one end, or else the one with the fewest."""
        lightest = next(iter(self._records_by_key))
        for key in self._records_by_key:
            if self.count_ends(key) < self.count_ends(lightest):
                lightest = key
            if self.count_ends(lightest) == 1:
                break
        return lightest
