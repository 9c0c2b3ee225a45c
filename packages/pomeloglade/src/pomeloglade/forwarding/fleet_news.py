"""Rows that instances tell each other, by topic, with ages and bounds."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import cbor2
import msgspec
from twisted.internet.interfaces import IReactorTime

from .report_progress import ReportProgress
from .report_scope import ReportScope

DATAGRAM_MARK = "news"
"""First field of a datagram with rows, which tells it from a report."""

MAX_DATAGRAM_BYTES = 60_000

NewsRows = dict[str, list[tuple[str, Any, float]]]
"""Reported rows by topic, each with its key, its value and its age in seconds."""


@dataclass(frozen=True, slots=True)
class NewsTopic:
    """One kind of row, with its bounds; times are in seconds.

    A row is dropped at ``max_age`` and reported again for ``repeat_for`` after it was
    learned. At most ``max_rows`` are kept, and at most ``max_reported`` are reported
    within ``REPEAT_SECONDS``. An instance that was silent is sent the newest rows
    ``for_returned``.
    """

    name: str
    max_age: float
    repeat_for: float = 2.0
    max_rows: int = 1_000
    max_reported: int = 100
    for_returned: bool = True


@dataclass(frozen=True, slots=True)
class NewsRow:
    """The value of a key as it was observed at a time of this instance's clock."""

    value: Any
    observed_at: float


@dataclass(frozen=True, slots=True)
class NewsDatagram:
    """Rows on their way to another instance, with the sender's name and run."""

    instance: str
    run: int
    kind: int
    rows: NewsRows


@dataclass(frozen=True, slots=True)
class _Entry:
    row: NewsRow
    serial: int
    learned_at: float
    scope: ReportScope


@dataclass(slots=True)
class _Table:
    topic: NewsTopic
    on_row: Callable[[str, Any, float], None]
    entries_by_key: dict[str, _Entry] = field(default_factory=dict)
    progress_by_scope: dict[ReportScope, ReportProgress] = field(
        default_factory=lambda: defaultdict(ReportProgress)
    )


class FleetNews:
    """Tables of rows that all instances share, one for each topic.

    Of two rows with the same key the one that was observed later holds. A row travels
    as a report does: a member tells its contact, contacts tell each other, and each
    tells its members. Rows of a topic that this instance does not know are ignored, so
    that instances of different software versions may run side by side.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> news = FleetNews(clock)
    >>> news.add_topic(NewsTopic("pace", max_age=2.0))
    >>> news.put("pace", "server-1", 130)
    True
    >>> news.take_due(ReportScope.OWN)
    {'pace': [('server-1', 130, 0.0)]}
    >>> clock.advance(3.0)
    >>> news.rows("pace")
    {}
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._tables_by_topic: dict[str, _Table] = {}
        self._rows_for_started_by_topic: dict[str, Callable[[], dict[str, Any]]] = {}
        self._last_serial = 0

    def add_topic(
        self,
        topic: NewsTopic,
        on_row: Callable[[str, Any, float], None] = lambda key, value, age: None,
    ) -> None:
        """Keep a topic; ``on_row`` gets each row that another instance reported.

        It is called with the row's key, its value and its age in seconds, if the row is
        newer than what is known. It must not fail on values of another shape.
        """
        self._tables_by_topic[topic.name] = _Table(topic, on_row)

    def add_rows_for_started(
        self, topic: str, rows: Callable[[], dict[str, Any]]
    ) -> None:
        """Send what ``rows`` returns, by key, to instances that have just started."""
        self._rows_for_started_by_topic[topic] = rows

    def put(
        self,
        topic: str,
        key: str,
        value: Any,
        *,
        age: float = 0.0,
        scope: ReportScope = ReportScope.OWN,
    ) -> bool:
        """Keep what this instance has observed; return whether that is news.

        With ``ReportScope.FLEET``, only members of this instance's group are told, by
        it as their contact.
        """
        observed_at = self._clock.seconds() - age
        table = self._tables_by_topic[topic]
        return self._put(table, key, NewsRow(value, observed_at), scope)

    def rows(self, topic: str) -> dict[str, NewsRow]:
        """Return the rows of a topic that are not too old, by key."""
        table = self._tables_by_topic[topic]
        self._drop_old(table)
        return {key: entry.row for key, entry in table.entries_by_key.items()}

    def apply(self, rows: NewsRows, scope: ReportScope) -> None:
        """Learn the rows that another instance reported."""
        now = self._clock.seconds()
        for topic, reported in rows.items():
            table = self._tables_by_topic.get(topic)
            for key, value, age in reported if table is not None else ():
                if not 0 <= age < table.topic.max_age:
                    continue
                if self._put(table, key, NewsRow(value, now - age), scope):
                    table.on_row(key, value, age)

    def take_due(self, widest: ReportScope) -> NewsRows:
        """Return the rows for the next datagram of a scope.

        These are the ones that were not reported yet, and now and then all recent ones.
        """
        due = {}
        for name, table in self._tables_by_topic.items():
            rows = self._due_rows(table, widest)
            if rows:
                due[name] = rows
        return due

    def everything(self, *, started: bool = True) -> NewsRows:
        """Return the newest rows for an instance that may have missed some.

        One that has not just ``started`` was only silent for a while.
        """
        everything = {}
        for name, table in self._tables_by_topic.items():
            if not table.topic.for_returned:
                continue
            self._drop_old(table)
            newest = list(table.entries_by_key.items())[-table.topic.max_reported :]
            if newest:
                everything[name] = self._reported(newest)
        if not started:
            return everything
        for name, rows in self._rows_for_started_by_topic.items():
            reported = [(key, value, 0.0) for key, value in rows().items()]
            if reported:
                everything[name] = reported
        return everything

    def _put(self, table: _Table, key: str, row: NewsRow, scope: ReportScope) -> bool:
        known = table.entries_by_key.get(key)
        if known is not None and row.observed_at <= known.row.observed_at:
            return False
        self._last_serial += 1
        now = self._clock.seconds()
        # The newest entries are at the end, as the oldest are dropped first.
        table.entries_by_key.pop(key, None)
        table.entries_by_key[key] = _Entry(row, self._last_serial, now, scope)
        self._drop_old(table)
        return True

    def _drop_old(self, table: _Table) -> None:
        entries, topic = table.entries_by_key, table.topic
        oldest = self._clock.seconds() - topic.max_age
        for key, entry in list(entries.items()):
            if entry.row.observed_at <= oldest:
                del entries[key]
        while len(entries) > topic.max_rows:
            del entries[next(iter(entries))]

    def _due_rows(
        self, table: _Table, widest: ReportScope
    ) -> list[tuple[str, Any, float]]:
        now = self._clock.seconds()
        progress = table.progress_by_scope[widest]
        after = progress.begin(
            now=now, last_serial=self._last_serial, limit=table.topic.max_reported
        )
        self._drop_old(table)
        due = [
            (key, entry)
            for key, entry in table.entries_by_key.items()
            if entry.serial > after
            and entry.scope <= widest
            and now - entry.learned_at <= table.topic.repeat_for
        ]
        # The newest rows go first if there are too many.
        due = due[len(due) - min(len(due), progress.left) :]
        progress.left -= len(due)
        return self._reported(due)

    def _reported(self, entries: list[tuple[str, _Entry]]) -> list:
        now = self._clock.seconds()
        return [
            (key, entry.row.value, round(now - entry.row.observed_at, 3))
            for key, entry in entries
        ]


def encode_news(datagram: NewsDatagram) -> bytes:
    """Return a datagram with rows as a CBOR array."""
    return cbor2.dumps(
        [
            DATAGRAM_MARK,
            datagram.instance,
            datagram.run,
            datagram.kind,
            datagram.rows,
        ]
    )


def decode_news(values: list[Any]) -> NewsDatagram:
    """Return the rows in a decoded CBOR array, or raise ``ValueError``."""
    names = ("instance", "run", "kind", "rows")
    try:
        named: Mapping[str, Any] = dict(zip(names, values[1:], strict=True))
        return msgspec.convert(named, NewsDatagram)
    except (ValueError, msgspec.ValidationError) as error:
        raise ValueError(f"datagram has no rows: {error}") from error
