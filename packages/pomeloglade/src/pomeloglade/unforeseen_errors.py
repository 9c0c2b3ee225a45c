"""Errors that no part of the process handles, as lines of its log."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.logger import (
    LogEvent,
    LogLevel,
    formatEvent,
    globalLogBeginner,
)
from twisted.python.failure import Failure

MAX_REASON_CHARACTERS = 200


def log_unforeseen_errors(write: Callable[..., Any]) -> None:
    """Pass errors that end a timer, a task or a result on to ``write``.

    Twisted prints them to standard error otherwise, apart from the log, and waits there
    if nobody reads it.
    """

    def observe(event: LogEvent) -> None:
        if event.get("log_level") is not LogLevel.critical:
            return
        failure = event.get("log_failure")
        write(
            "unforeseen_error",
            during=formatEvent(event)[:MAX_REASON_CHARACTERS],
            reason=repr(failure.value if failure else None)[:MAX_REASON_CHARACTERS],
            place=_place(failure),
        )

    globalLogBeginner.beginLoggingTo([observe], redirectStandardIO=False)


def _place(failure: Failure | None) -> str:
    """Return the file and line where a failure was raised, empty if unknown."""
    if failure is None or not failure.frames:
        return ""
    _, path, line, *_ = failure.frames[-1]
    return f"{Path(path).name}:{line}"
