"""Changes of the store that a contact passes on to the members of its group."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from pomeloglade_coordination.key_value import Entry

from .event_log import EventLog
from .fleet_news import FleetNews, NewsTopic
from .report_scope import ReportScope

TOPIC = NewsTopic(
    "changes",
    max_age=5.0,
    repeat_for=0.75,
    max_rows=50,
    max_reported=8,
    for_returned=False,
)
"""Changes are repeated once or twice, as datagrams may be lost. A member that has
missed one all the same, or was silent, asks the store."""

MAX_BATCH_BYTES = 4_096
"""Limit on the changes in one row. A larger one, such as a configuration of many
routes, is left to the store."""

MAX_PENDING_BATCHES = 50


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """All changes of what instances use between two positions of the store.

    Whoever has applied all changes up to ``after``, or later ones, has with ``entries``
    all up to ``position``.
    """

    after: int
    position: int
    entries: tuple[Entry, ...]


class ChangeRelay:
    """Passes changes of the store from contacts to members, within their groups.

    A contact watches the store. Without the relay each member fetches each change from
    the store by itself, so that calls to it grow with the fleet. The changes travel
    beside the contact's proof (``StoreProof``), which decides what a member may rely
    on: a change that is lost on the way only makes the member ask the store.

    Parameters
    ----------
    on_change : callable
        Called after a change was put in or out, to report it to the others.

    Attributes
    ----------
    position : int
        Position of the last change that a contact has passed on, or of its last full
        read.
    on_batch : callable
        Called with each batch that a contact reported.
    """

    def __init__(
        self, news: FleetNews, log: EventLog, on_change: Callable[[], None]
    ) -> None:
        self._news = news
        self._log = log
        self._on_change = on_change
        self._pending: list[ChangeBatch] = []
        self.position = 0
        self.on_batch: Callable[[], None] = lambda: None
        news.add_topic(TOPIC, self._receive)

    def restart(self, position: int) -> None:
        """Begin anew after a full read of the store up to ``position``."""
        self.position = position
        self._pending.clear()

    def publish(self, entries: Iterable[Entry], *, to_members: bool) -> None:
        """Pass on the next changes that matter, if this instance is a contact.

        They must be given in the order of their positions, and all of them.
        """
        batch = tuple(entries)
        if not batch:
            return
        after, self.position = self.position, max(each.revision for each in batch)
        if not to_members or sum(len(each.value) for each in batch) > MAX_BATCH_BYTES:
            return
        rows = [(each.key, each.value, each.revision) for each in batch]
        key = str(self.position)
        self._news.put(
            TOPIC.name, key, (after, self.position, rows), scope=ReportScope.FLEET
        )
        self._on_change()

    def take_applicable(self, revision: int) -> ChangeBatch | None:
        """Return the next batch for an instance with all changes up to ``revision``.

        Returns ``None`` if there is none, or if changes before it are missing.
        """
        self._pending = [each for each in self._pending if each.position > revision]
        ready = [each for each in self._pending if each.after <= revision]
        return min(ready, key=lambda each: each.position, default=None)

    def _receive(self, key: str, value: Any, age: float) -> None:
        try:
            after, position, rows = msgspec.convert(
                value, tuple[int, int, list[tuple[str, bytes, int]]]
            )
        except msgspec.ValidationError as error:
            self._log.event("bad_change_report", key=key, reason=str(error))
            return
        entries = tuple(Entry(*row) for row in rows)
        self._pending.append(ChangeBatch(after, position, entries))
        del self._pending[:-MAX_PENDING_BATCHES]
        self.on_batch()
