"""Signals of a process, from before its imports until it ends."""

import contextlib
import os
import signal
import time
from collections.abc import Callable
from types import FrameType

from .standard_streams import STDOUT

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Handles SIGHUP, SIGTERM and SIGINT while a process starts and while it runs.

    A program creates it before it imports anything that takes time: until a handler is
    installed, each of these signals ends the process. A request to reload the settings
    is kept until the program has started. A request to stop ends the process with
    status 0, as it has taken no work yet.

    Examples
    --------
    >>> signals = ProcessSignals()
    >>> signal.raise_signal(signal.SIGHUP)
    >>> calls = []
    >>> signals.deliver(lambda call: call(), lambda: calls.append("reload"), exit)
    >>> signal.raise_signal(signal.SIGHUP)
    >>> calls
    ['reload', 'reload']
    """

    def __init__(self) -> None:
        self._on_reload: Callable[[], None] | None = None
        self._on_stop: Callable[[], None] | None = None
        self._reload_pending = False
        signal.signal(signal.SIGHUP, self._reload)
        for number in STOP_SIGNALS:
            signal.signal(number, self._stop)

    def deliver(
        self,
        schedule: Callable[[Callable[[], None]], object],
        on_reload: Callable[[], None],
        on_stop: Callable[[], None],
    ) -> None:
        """Pass the signals on to a running program.

        ``schedule`` runs a callable outside the signal handler. A request to reload
        that has arrived before is passed on now.
        """
        self._on_reload = lambda: schedule(on_reload)
        self._on_stop = lambda: schedule(on_stop)
        if self._reload_pending:
            self._on_reload()

    def _reload(self, number: int, frame: FrameType | None) -> None:
        if self._on_reload is None:
            self._reload_pending = True
        else:
            self._on_reload()

    def _stop(self, number: int, frame: FrameType | None) -> None:
        if self._on_stop is not None:
            self._on_stop()
            return
        name = signal.Signals(number).name
        line = (
            f'{{"event":"stopped_early","at":{time.monotonic():.4f},"signal":"{name}"}}'
        )
        with contextlib.suppress(OSError):
            # A reader that has stopped must not hold up the end.
            os.set_blocking(STDOUT, False)
            os.write(STDOUT, line.encode() + b"\n")
        # An import that is interrupted might catch an exception raised here.
        os._exit(0)
