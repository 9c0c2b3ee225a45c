"""HTTP client that asks instances for their status."""

from datetime import timedelta
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import readBody

from pomeloglade_coordination.errors import CoordinationError

from ..protocol.instances import STATUS_PATH, InstanceStatus, decode_status
from .calls import HTTP_OK, CallFailedError, HttpClient, bounded_call

STATUS_TIMEOUT = timedelta(seconds=2)


class StatusUnavailableError(CoordinationError):
    """An instance did not tell its status."""


class StatusClient(Protocol):
    """Asks an instance for its status."""

    def fetch(self, address: str) -> "Deferred[InstanceStatus]":
        """Return the status of the instance at ``host:port``.

        Fails with ``StatusUnavailableError``.
        """


class HttpStatusClient:
    """Asks over HTTP, with a bound on each call.

    Parameters
    ----------
    clock : IReactorTime
        Ends calls that take too long.
    client : HttpClient
        Sends the requests.
    timeout : timedelta
        Bound on each call.
    """

    def __init__(
        self,
        clock: IReactorTime,
        client: HttpClient,
        timeout: timedelta = STATUS_TIMEOUT,
    ) -> None:
        self._clock = clock
        self._client = client
        self._timeout = timeout

    def fetch(self, address: str) -> "Deferred[InstanceStatus]":
        """Return the status of the instance at ``host:port``."""

        def translate(failure: Failure) -> None:
            failure.trap(CallFailedError)
            reason = str(failure.value)
            raise StatusUnavailableError(reason, step="status", peer=address) from None

        fetched = bounded_call(self._clock, self._timeout, self._fetch(address))
        return fetched.addErrback(translate)

    async def _fetch(self, address: str) -> InstanceStatus:
        url = f"http://{address}{STATUS_PATH}"
        response = await self._client.request("GET", url, unbuffered=True)
        body = await readBody(response)
        if response.code != HTTP_OK:
            raise CallFailedError(f"status code {response.code}", sent=True)
        return decode_status(body)
