"""Tasks that last as long as the process, whatever error one of their steps meets."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from .clock import Clock

RESTART_SECONDS = 1.0
"""Pause after a failed run of a task, so that it doesn't fail without a break."""

_logger = Logger()


def report_failure(failure: Failure, task: str) -> None:
    """Log an error that a task did not foresee."""
    _logger.failure("{task} failed", failure, task=task)


def guarded(task: str, step: Callable[[], Any]) -> Callable[[], "Deferred[Any]"]:
    """Return ``step`` such that its errors are logged and end this call of it only.

    A ``LoopingCall`` or a chain of timers would end for good with the first error.

    Examples
    --------
    >>> guarded("division", lambda: 1 / 0)().result is None
    True
    """

    def call() -> "Deferred[Any]":
        return maybeDeferred(step).addErrback(report_failure, task)

    return call


def keep_running(clock: Clock, task: str, start: Callable[[], "Deferred[Any]"]) -> None:
    """Start a task that has no end, and start it again after a pause if it fails."""

    def failed(failure: Failure) -> None:
        report_failure(failure, task)
        clock.callLater(RESTART_SECONDS, run)

    def run() -> None:
        maybeDeferred(start).addErrback(failed)

    run()
