"""HTTP calls with a bound on their time and one kind of failure."""

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


class HttpClient(Protocol):
    """The part of ``treq.client.HTTPClient`` that is used."""

    def request(self, method: str, url: str, **options: Any) -> Deferred:
        """Send a request and return a Deferred of its response."""


class CallFailedError(Exception):
    """A call without a usable answer; ``sent`` is false if it surely never left."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


def http_client(reactor: Any, timeout: timedelta) -> HTTPClient:
    """Return a client that keeps connections and never resends a request.

    It gives up connecting after half of ``timeout``, so that a call which has
    not left can be told from one whose answer is missing.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
    pool.cachedConnectionTimeout = MAX_IDLE_CONNECTION_SECONDS
    connect_seconds = timeout.total_seconds() / 2
    return HTTPClient(Agent(reactor, connectTimeout=connect_seconds, pool=pool))


def bounded_call(
    clock: IReactorTime, bound: timedelta, call: Coroutine[Any, Any, Result]
) -> "Deferred[Result]":
    """Run ``call`` for at most ``bound``, then abort its connection.

    A ``CoordinationError`` passes through; every other failure becomes
    ``CallFailedError``.
    """
    ends = clock.seconds() + bound.total_seconds()

    def translate(failure: Failure) -> None:
        failure.trap(Exception)
        cause = failure.value
        if isinstance(cause, (CoordinationError, CallFailedError)):
            failure.raiseException()
        sent = not isinstance(cause, (ConnectError, DNSLookupError))
        reason = _describe(cause)
        if sent and clock.seconds() >= ends:
            reason = f"no answer within {format_duration(bound)}"
        raise CallFailedError(reason, sent=sent) from cause

    deferred = Deferred.fromCoroutine(call)
    deferred.addTimeout(bound.total_seconds(), clock)
    return deferred.addErrback(translate)


def _describe(cause: Exception) -> str:
    if isinstance(cause, msgspec.MsgspecError):
        return f"answer not understood: {cause}"
    if isinstance(cause, (ResponseFailed, RequestTransmissionFailed)):
        return "the connection was lost before the answer"
    return f"{type(cause).__name__}: {cause}"
