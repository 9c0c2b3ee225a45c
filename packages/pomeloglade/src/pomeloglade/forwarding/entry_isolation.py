"""Keeps one entry of the store from hiding the others by an unforeseen error."""

from collections.abc import Callable
from typing import TypeVar

from pomeloglade_coordination.key_value import Entry

from .event_log import EventLog

T = TypeVar("T")


def isolated(log: EventLog, entry: Entry, use: Callable[[], T], default: T) -> T:
    """Return ``use()``, or log its error and return ``default``.

    Decoders raise typed errors for what they reject. An error that none of them
    foresees would otherwise end the task that follows the store, and the process with
    it, again after each restart while the entry is there.
    """
    try:
        return use()
    except Exception as error:
        log.event("entry_failed", key=entry.key[:80], reason=repr(error)[:200])
        return default
