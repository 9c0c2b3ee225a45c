"""HTTP client that asks instances for their status."""

from datetime import timedelta
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import readBody

from pomeloglade_coordination.errors import CoordinationError

from ..protocol.instances import STATUS_PATH, InstanceStatus, decode_status
from .key_value import HttpClient

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
        fetched = Deferred.fromCoroutine(self._fetch(address))
        fetched.addTimeout(self._timeout.total_seconds(), self._clock)
        return fetched.addErrback(self._translate, address)

    async def _fetch(self, address: str) -> InstanceStatus:
        url = f"http://{address}{STATUS_PATH}"
        response = await self._client.request("GET", url, unbuffered=True)
        body = await readBody(response)
        if response.code != 200:
            raise ValueError(f"status code {response.code}")
        return decode_status(body)

    def _translate(self, failure: Any, address: str) -> None:
        cause = failure.value
        reason = str(cause) or type(cause).__name__
        if isinstance(cause, msgspec.MsgspecError):
            reason = f"answer not understood: {cause}"
        raise StatusUnavailableError(reason, step="status", peer=address) from cause
