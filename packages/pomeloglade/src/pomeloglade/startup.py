"""What a process needs at its start and may lack for a moment: settings and ports."""

import errno
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from .errors import SettingsError

T = TypeVar("T")

SETTINGS_SECONDS = 5.0
"""Time after which settings that can't be read count as wrong, and not as being
written."""

SETTINGS_RETRY_SECONDS = 0.1

PORT_SECONDS = 15.0
"""Time after which a port in use ends the process: longer than a predecessor's grace
period."""

PORT_RETRY_SECONDS = 0.1

PASSING_ERRORS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))
"""Errors of ``bind`` that end by themselves: a port is in use, or an address that the
machine is to have has not been assigned yet."""


class Log(Protocol):
    """Receives the events of the start."""

    def event(self, name: str, **fields: Any) -> None:
        """Write an event."""


def read_settings(
    load: Callable[[], T],
    *,
    now: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], object] = time.sleep,
) -> T:
    """Return what ``load`` returns, also if the file is just being written.

    Raises the last ``SettingsError`` if there is still one after ``SETTINGS_SECONDS``.

    Examples
    --------
    >>> texts = iter(["", "name = 1"])
    >>> def load():
    ...     if not (text := next(texts)):
    ...         raise SettingsError("empty")
    ...     return text
    >>> read_settings(load, sleep=lambda seconds: None)
    'name = 1'
    """
    until = now() + SETTINGS_SECONDS
    while True:
        try:
            return load()
        except SettingsError:
            if now() >= until:
                raise
        sleep(SETTINGS_RETRY_SECONDS)


class PortOpener:
    """Listens on ports that another process may still hold for a moment.

    The holder may be the process's predecessor, an outgoing connection or another
    program on a machine that is shared.

    Parameters
    ----------
    clock : IReactorTime
        Times the retries.
    log : Log
        Gets a line for each port that is in use, and one when it is free.
    """

    def __init__(self, clock: IReactorTime, log: Log) -> None:
        self._clock = clock
        self._log = log

    async def open_required(
        self, purpose: str, listen: Callable[[], Awaitable[T]]
    ) -> T:
        """Listen on a port without which the process can't work.

        ``listen`` returns the port, or an object that listens on it.

        Raises ``CannotListenError`` if it is in use for ``PORT_SECONDS``.
        """
        return await self._open(purpose, listen, self._clock.seconds() + PORT_SECONDS)

    async def open_optional(
        self, purpose: str, listen: Callable[[], Awaitable[T]]
    ) -> T:
        """Listen on a port that no request needs, as soon as it is free."""
        return await self._open(purpose, listen, float("inf"))

    async def _open(
        self,
        purpose: str,
        listen: Callable[[], Awaitable[T]],
        until: float,
    ) -> T:
        started = self._clock.seconds()
        reported = False
        while True:
            try:
                port = await listen()
            except CannotListenError as error:
                passing = getattr(error.socketError, "errno", 0) in PASSING_ERRORS
                if not passing or self._clock.seconds() >= until:
                    raise
                if not reported:
                    reported = True
                    self._log.event("port_in_use", purpose=purpose, reason=str(error))
            else:
                if reported:
                    waited = round(self._clock.seconds() - started, 3)
                    self._log.event("port_free", purpose=purpose, waited=waited)
                return port
            await deferLater(self._clock, PORT_RETRY_SECONDS)
