"""Registration of the instance's address in the store, under a lease."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.python.failure import Failure

from pomeloglade_coordination.errors import (
    KeyValueError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from pomeloglade_coordination.key_value import ABSENT, KeyValueStore
from pomeloglade_coordination.lasting_tasks import report_failure

from .event_log import EventLog

LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
"""A third of the lease's time, so that two renewals may be lost."""

RETRY_SECONDS = 0.5
MAX_CONFLICTS = 3
"""Attempts in a row to write the key at the revision that the last one found."""


class StoredValue(NamedTuple):
    """The value of a key, ``None`` if it is absent, in a copy of the store.

    ``position`` is that of the copy, ``None`` before the first read.
    """

    value: bytes | None
    position: int | None


class Registration:
    """Writes one key under a lease and renews it.

    Each write names the revision that it replaces. The store may carry out a write that
    it has not answered seconds later, and would else tie the key to a lease that is not
    renewed any more. If the key is gone or another's nevertheless, it is written again.

    Parameters
    ----------
    key : str
        The key of the instance's entry.
    value : callable
        Returns the value to write.
    stored : callable
        Returns the key's value in the copy of the store that this instance follows.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: KeyValueStore,
        key: str,
        value: Callable[[], bytes],
        log: EventLog,
        stored: Callable[[], StoredValue] = lambda: StoredValue(None, None),
    ) -> None:
        self._clock = clock
        self._store = store
        self._key = key
        self._value = value
        self._log = log
        self._stored = stored
        self._revision = ABSENT
        self._written: bytes | None = None
        self._pause_timer: IDelayedCall | None = None
        store.era.subscribe(self._register_again)

    def start(self) -> "Deferred[None]":
        """Keep the key registered until the result is cancelled."""
        return Deferred.fromCoroutine(self._run())

    def _register_again(self) -> None:
        """End the pause: the store has returned from an older copy."""
        timer = self._pause_timer
        if timer is not None and timer.active():
            timer.reset(0)

    async def _wait(self, seconds: float) -> None:
        pause: Deferred[None] = Deferred()
        self._pause_timer = self._clock.callLater(seconds, pause.callback, None)
        await pause

    async def _run(self) -> None:
        lease = self._written = None
        while True:
            try:
                if lease is None:
                    lease = await self._store.grant_lease(
                        timedelta(seconds=LEASE_SECONDS)
                    )
                else:
                    await self._store.renew_lease(lease)
                if self._written is None:
                    await self._write(lease)
                elif self._replaced():
                    self._log.event("instance_unregistered", key=self._key)
                    self._written = None
                    await self._write(lease)
                await self._wait(RENEW_SECONDS)
            except LeaseNotFoundError as error:
                self._log.event("instance_lapsed", reason=str(error))
                lease = self._written = None
                self._revision = ABSENT
                await self._wait(RETRY_SECONDS)
            except KeyValueError as error:
                self._log.event("instance_not_renewed", reason=str(error))
                await self._wait(RETRY_SECONDS)
            except CancelledError:
                raise
            except Exception as error:
                report_failure(Failure(error), "registration")
                await self._wait(RETRY_SECONDS)

    async def _write(self, lease: str) -> None:
        """Write the key in place of what is there, also a write of an earlier run."""
        value = self._value()
        for attempt in range(MAX_CONFLICTS):
            try:
                self._revision = await self._store.put(
                    self._key, value, expected=self._revision, lease=lease
                )
                break
            except RevisionConflictError as error:
                self._revision = error.actual
                if attempt == MAX_CONFLICTS - 1:
                    raise
        self._written = value
        self._log.event("instance_registered", key=self._key)

    def _replaced(self) -> bool:
        """Return whether a copy that is new enough lacks what was written."""
        stored = self._stored()
        return (
            stored.position is not None
            and stored.position >= self._revision
            and stored.value != self._written
        )
