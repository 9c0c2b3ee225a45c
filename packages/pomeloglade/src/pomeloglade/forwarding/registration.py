"""Registration of the instance's address in the store, under a lease."""

from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from pomeloglade_coordination.errors import KeyValueError, LeaseNotFoundError
from pomeloglade_coordination.key_value import KeyValueStore

from .event_log import EventLog

LEASE_SECONDS = 6.0
RENEW_SECONDS = 2.0
"""A third of the lease's time, so that two renewals may be lost."""

RETRY_SECONDS = 0.5


class Registration:
    """Writes one key under a lease and renews it.

    Parameters
    ----------
    key : str
        The key of the instance's entry.
    value : callable
        Returns the value to write.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: KeyValueStore,
        key: str,
        value: Callable[[], bytes],
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._store = store
        self._key = key
        self._value = value
        self._log = log
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
        lease = None
        while True:
            try:
                if lease is None:
                    granted = await self._store.grant_lease(
                        timedelta(seconds=LEASE_SECONDS)
                    )
                    await self._store.put(self._key, self._value(), lease=granted)
                    lease = granted
                    self._log.event("instance_registered", key=self._key)
                else:
                    await self._store.renew_lease(lease)
                await self._wait(RENEW_SECONDS)
            except LeaseNotFoundError as error:
                self._log.event("instance_lapsed", reason=str(error))
                lease = None
                await self._wait(RETRY_SECONDS)
            except KeyValueError as error:
                self._log.event("instance_not_renewed", reason=str(error))
                await self._wait(RETRY_SECONDS)
