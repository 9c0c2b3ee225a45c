"""HTTP calls with a timeout and a single error type."""

from collections.abc import Coroutine
from datetime import timedelta
from typing import Any, Protocol, TypeVar

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestTransmissionFailed,
    ResponseFailed,
)

from pomeloglade_coordination.errors import CoordinationError

from ..state.durations import format_duration

MAX_IDLE_CONNECTION_SECONDS = 30.0
MAX_IDLE_CONNECTIONS = 16
HTTP_OK = 200

Result = TypeVar("Result")


class HttpRequester(Protocol):
    """The methods of ``treq.client.HTTPClient`` that are used."""

    def request(self, method: str, url: str, **options: Any) -> Deferred:
        """Send a request and return a Deferred of its response."""


class CallFailedError(Exception):
    """A call got no valid response; ``sent`` is false if it was certainly not sent."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


def new_http_client(reactor: Any, timeout: timedelta) -> HTTPClient:
    """Return a client with a connection pool that never resends a request.

    Connecting times out after half of ``timeout``, so that a request that was not
    sent can be distinguished from one without a response.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
    pool.cachedConnectionTimeout = MAX_IDLE_CONNECTION_SECONDS
    connect_seconds = timeout.total_seconds() / 2
    return HTTPClient(Agent(reactor, connectTimeout=connect_seconds, pool=pool))


def call_with_timeout(
    clock: IReactorTime, timeout: timedelta, call: Coroutine[Any, Any, Result]
) -> "Deferred[Result]":
    """Run ``call``; after ``timeout``, cancel it, which aborts its connection.

    A ``CoordinationError`` passes through; every other failure becomes
    ``CallFailedError``.
    """
    deadline = clock.seconds() + timeout.total_seconds()

    def translate(failure: Failure) -> None:
        failure.trap(Exception)
        cause = failure.value
        if isinstance(cause, (CoordinationError, CallFailedError)):
            failure.raiseException()
        sent = not isinstance(cause, (ConnectError, DNSLookupError))
        reason = _describe(cause)
        if sent and clock.seconds() >= deadline:
            reason = f"no answer within {format_duration(timeout)}"
        raise CallFailedError(reason, sent=sent) from cause

    deferred = Deferred.fromCoroutine(call)
    deferred.addTimeout(timeout.total_seconds(), clock)
    return deferred.addErrback(translate)


def _describe(cause: Exception) -> str:
    if isinstance(cause, msgspec.MsgspecError):
        return f"invalid response: {cause}"
    if isinstance(cause, (ResponseFailed, RequestTransmissionFailed)):
        return "connection lost before the response was complete"
    return f"{type(cause).__name__}: {cause}"
