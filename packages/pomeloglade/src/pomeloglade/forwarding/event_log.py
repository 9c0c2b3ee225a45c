"""A non-blocking JSON log with a bounded rate."""

import os
from collections import deque
from typing import Any

import msgspec
from twisted.internet.interfaces import IReactorTime

MAX_LINES_PER_SECOND = 400
"""A call's line has about 300 bytes, so this limits the log to about 120 KB/s."""

MAX_BUFFERED_LINES = 2_000


class EventLog:
    """Writes one JSON line per event to a file descriptor.

    The descriptor is made non-blocking. Lines are dropped if the reader is slow or
    the rate limit is exceeded; a ``log_dropped`` event reports how many.

    Parameters
    ----------
    clock : IReactorTime
        Source of the timestamps, and of the seconds of the rate limit.
    descriptor : int
        Where lines go; standard output in a daemon.
    common : dict
        Fields of every line.
    """

    def __init__(self, clock: IReactorTime, descriptor: int, **common: object) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._common = common
        self._buffer: deque[bytes] = deque()
        self._unwritten = b""
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self._dropped_total = 0
        self._encode = msgspec.json.Encoder(enc_hook=str)
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A descriptor that can't be made non-blocking, such as a closed one,
            # fails again on write, where its lines are counted as dropped.
            self._dropped += 1

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped_total + self._dropped

    def event(self, name: str, **fields: Any) -> None:
        """Write an event, or drop it if this second's limit is used up."""
        now = self._clock.seconds()
        if int(now) != self._second:
            self._second, self._lines = int(now), 0
            self._report_dropped(now)
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self._dropped += 1
            return
        self._append({"event": name, "at": round(now, 4), **self._common, **fields})

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._unwritten or self._buffer:
            if not self._unwritten:
                self._unwritten = b"".join(self._buffer)
                self._buffer.clear()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: count the lines as dropped.
                self._dropped += self._unwritten.count(b"\n")
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _append(self, fields: dict[str, Any]) -> None:
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self._buffer.popleft()
            self._dropped += 1
        self._buffer.append(self._encode.encode(fields) + b"\n")
        self.flush()

    def _report_dropped(self, now: float) -> None:
        if not self._dropped:
            return
        dropped, self._dropped = self._dropped, 0
        self._dropped_total += dropped
        self._append(
            {"event": "log_dropped", "at": round(now, 4), "lines": dropped}
            | self._common
        )
