"""What reports tell other instances of ended servers and of keys without fault."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from twisted.internet.interfaces import IReactorTime

from .report_progress import ReportProgress
from .report_scope import ReportScope

REPORTED_SECONDS = 2.0
"""For how long reports repeat a crash. Datagrams may be lost, and a contact that dies
is replaced within 1.5 s."""

MAX_REPORTED_KEYS = 200
"""Limit on the keys that reports have within ``REPEAT_SECONDS``: some 4 KB/s."""

ServerRun = tuple[str, int]
"""The id of a backend server and the start of its run."""

ReportedCrashes = list[tuple[str, int, list[int]]]
"""Servers' ids and starts, each with the keys of the calls under which it ended."""


@dataclass(frozen=True, slots=True)
class _News:
    """A crash under a key, or without ``run`` an answer that shows the key sound."""

    serial: int
    learned_at: float
    scope: ReportScope
    key: int
    run: ServerRun | None = None
    last_part: bool = False


class CrashNews:
    """Recent crashes and sound keys, and which of them reports of a scope have had.

    Parameters
    ----------
    count_ends : callable
        Returns how many server runs ended under a key.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> news = CrashNews(Clock(), lambda key: 1)
    >>> news.add(ReportScope.OWN, 17, ("a", 0))
    >>> news.take_due(ReportScope.OWN)
    ([('a', 0, [17])], [])
    >>> news.take_due(ReportScope.OWN)
    ([], [])
    """

    def __init__(self, clock: IReactorTime, count_ends: Callable[[int], int]) -> None:
        self._clock = clock
        self._count_ends = count_ends
        self._news: list[_News] = []
        self._progress_by_scope: dict[ReportScope, ReportProgress] = defaultdict(
            ReportProgress
        )
        self.last_serial = 0

    def add(
        self,
        scope: ReportScope,
        key: int,
        run: ServerRun | None = None,
        last_part: bool = False,
    ) -> None:
        """Add a crash under a key, or without ``run`` that the key is sound."""
        self.last_serial += 1
        now = self._clock.seconds()
        self._news.append(_News(self.last_serial, now, scope, key, run, last_part))

    def withdraw(self, run: ServerRun) -> None:
        """Report no more that a run ended."""
        self._news = [each for each in self._news if each.run != run]

    def take_due(self, widest: ReportScope) -> tuple[ReportedCrashes, list[int]]:
        """Return the crashes and the sound keys for the next report of a scope.

        These are the ones that were not reported yet, and now and then all recent ones.
        If they are too many, the keys with the most crashes go first, and of those with
        equally many, last parts that this instance has lost go last.
        """
        now = self._clock.seconds()
        oldest = now - REPORTED_SECONDS
        self._news = [each for each in self._news if each.learned_at >= oldest]
        progress = self._progress_by_scope[widest]
        after = progress.begin(
            now=now, last_serial=self.last_serial, limit=MAX_REPORTED_KEYS
        )
        due = [
            each
            for each in reversed(self._news)
            if each.serial > after and each.scope <= widest
        ]
        if len(due) > progress.left:
            due.sort(key=lambda each: (-self._count_ends(each.key), each.last_part))
            del due[progress.left :]
        progress.left -= len(due)
        sound = [each.key for each in due if each.run is None]
        return by_run((each.run, each.key) for each in due if each.run), sound


def by_run(pairs: Iterable[tuple[ServerRun, int]]) -> ReportedCrashes:
    """Return pairs of runs and keys as reports have them.

    >>> by_run([(("a", 0), 1), (("b", 0), 1), (("a", 0), 2)])
    [('a', 0, [1, 2]), ('b', 0, [1])]
    """
    keys_by_run: dict[ServerRun, list[int]] = {}
    for run, key in pairs:
        keys_by_run.setdefault(run, []).append(key)
    return [(server, started, keys) for (server, started), keys in keys_by_run.items()]
