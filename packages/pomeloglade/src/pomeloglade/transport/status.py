"""HTTP client that fetches the status of instances."""

from datetime import timedelta
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import readBody

from pomeloglade_coordination.errors import CoordinationError

from ..protocol.instances import STATUS_PATH, InstanceStatus, decode_status
from .call_timeouts import HTTP_OK, CallFailedError, HttpRequester, call_with_timeout

STATUS_TIMEOUT = timedelta(seconds=2)


class StatusUnavailableError(CoordinationError):
    """An instance did not return its status."""


class StatusClient(Protocol):
    """Fetches the status of an instance."""

    def fetch(self, address: str) -> "Deferred[InstanceStatus]":
        """Return the status of the instance at ``host:port``.

        Fails with ``StatusUnavailableError``.
        """


class HttpStatusClient:
    """Fetches the status over HTTP, with a timeout.

    Parameters
    ----------
    clock : IReactorTime
        Times the calls.
    client : HttpRequester
        Sends the requests.
    timeout : timedelta
        Timeout of each call.
    """

    def __init__(
        self,
        clock: IReactorTime,
        client: HttpRequester,
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

        fetched = call_with_timeout(self._clock, self._timeout, self._fetch(address))
        return fetched.addErrback(translate)

    async def _fetch(self, address: str) -> InstanceStatus:
        url = f"http://{address}{STATUS_PATH}"
        response = await self._client.request("GET", url, unbuffered=True)
        body = await readBody(response)
        if response.code != HTTP_OK:
            raise CallFailedError(f"status code {response.code}", sent=True)
        return decode_status(body)
