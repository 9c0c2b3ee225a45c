"""Structured log lines whose volume is bounded and whose writer never blocks."""

import os
from collections import deque
from typing import Any

import msgspec
from twisted.internet.interfaces import IReactorTime

MAX_LINES_PER_SECOND = 400
"""A decision line is some 300 bytes, so this is about 120 KB a second."""

MAX_BUFFERED_LINES = 2_000


class EventLog:
    """Writes one JSON line for each event to a file descriptor.

    The descriptor is made non-blocking. Lines that a slow reader or the limit
    keeps from being written are counted, and a line tells how many are missing.

    Parameters
    ----------
    clock : IReactorTime
        Stamps the lines and bounds their rate.
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
        self._rest = b""
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self._dropped_in_all = 0
        self._encode = msgspec.json.Encoder(enc_hook=str)
        try:
            os.set_blocking(descriptor, False)
        except OSError:
            # A descriptor that can't be switched, such as a closed one, fails
            # again when it is written to, and lines are counted as dropped.
            self._dropped += 1

    @property
    def dropped(self) -> int:
        """Lines that were never written."""
        return self._dropped_in_all + self._dropped

    def event(self, name: str, **fields: Any) -> None:
        """Write an event with its fields, unless there are too many."""
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
        """Write what the reader takes now; the rest stays buffered."""
        while self._rest or self._buffer:
            if not self._rest:
                self._rest = b"".join(self._buffer)
                self._buffer.clear()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: the lines are lost, and counted as such.
                self._dropped += self._rest.count(b"\n")
                self._rest = b""
                return
            self._rest = self._rest[written:]

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
        self._dropped_in_all += dropped
        self._append(
            {"event": "log_dropped", "at": round(now, 4), "lines": dropped}
            | self._common
        )
