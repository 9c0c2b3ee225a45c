"""HTTP client for the platform's key-value service."""

from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import readBody

from pomeloglade_coordination.errors import (
    KeyValueError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    LeaseNotFoundError,
    RevisionConflictError,
)
from pomeloglade_coordination.key_value import (
    Entry,
    KeyValueStore,
)

from ..protocol.key_value import (
    CLIENT_HEADER,
    EmptyMessage,
    EntriesMessage,
    EntryMessage,
    ErrorMessage,
    LeaseMessage,
    LeaseRequestMessage,
    PutMessage,
    RevisionMessage,
    decode,
    encode,
    entry_of,
)
from .call_timeouts import (
    HTTP_OK,
    CallFailedError,
    HttpRequester,
    call_with_timeout,
    new_http_client,
)

PEER = "key-value service"
CALL_TIMEOUT = timedelta(seconds=2)

Result = TypeVar("Result")


def open_key_value_store(
    reactor: Any, url: str, *, timeout: timedelta = CALL_TIMEOUT, name: str = ""
) -> "HttpKeyValueStore":
    """Return a store at ``url`` with a connection pool of its own."""
    client = new_http_client(reactor, timeout)
    return HttpKeyValueStore(reactor, url, client, timeout=timeout, name=name)


class HttpKeyValueStore(KeyValueStore):
    """Calls the service with a timeout on every call.

    Errors carry the operation as their step. A call that was not sent, or that the
    service refused as unavailable, fails with ``KeyValueUnavailableError``; so does
    every read without a response. A write without a response fails with
    ``KeyValueOutcomeUnknownError`` and is never retried.

    Parameters
    ----------
    clock : IReactorTime
        Times the calls.
    url : str
        Address of the service, for example ``"http://10.0.0.9:2300"``.
    client : HttpRequester
        Sends the requests; see ``new_http_client``.
    timeout : timedelta
        Timeout of each call. A watch has it on top of its own wait.
    name : str
        Name of the caller, sent to the service with each call.
    """

    def __init__(
        self,
        clock: IReactorTime,
        url: str,
        client: HttpRequester,
        *,
        timeout: timedelta = CALL_TIMEOUT,
        name: str = "",
    ) -> None:
        self._clock = clock
        self._url = url.rstrip("/")
        self._client = client
        self._timeout = timeout
        self._headers = {"Content-Type": "application/json", CLIENT_HEADER: name}

    def get(self, key: str) -> "Deferred[Entry | None]":
        """Return the entry of ``key``, or ``None`` if it does not exist."""
        entry = self._read("get", _key_path(key), EntryMessage)
        return entry.addCallbacks(entry_of, _none_if_absent)

    def list(self, prefix: str) -> "Deferred[tuple[Entry, ...]]":
        """Return all entries whose key starts with ``prefix``, sorted by key."""
        path = "/v1/keys?" + urlencode({"prefix": prefix})
        return self._read("list", path, EntriesMessage).addCallback(_entries_of)

    def put(
        self, key: str, value: bytes, *, expected: int | None = None, lease: str = ""
    ) -> "Deferred[int]":
        """Store ``value`` and return its revision.

        A value over ``MAX_VALUE_BYTES`` fails with ``KeyValueError``.
        """
        body = PutMessage(value, expected, lease)
        stored = self._write("put", "PUT", _key_path(key), RevisionMessage, body)
        stored.addErrback(_add_conflict_details, key, expected)
        return stored.addCallback(lambda message: message.revision)

    def delete(self, key: str, *, expected: int | None = None) -> "Deferred[None]":
        """Delete ``key``; an absent key is an error only with ``expected``."""
        query = "" if expected is None else "?" + urlencode({"expected": expected})
        path = _key_path(key) + query
        deleted = self._write("delete", "DELETE", path, EmptyMessage)
        deleted.addErrback(_add_conflict_details, key, expected)
        return deleted.addCallback(lambda _: None)

    def watch(
        self, prefix: str, after: int, timeout: timedelta
    ) -> "Deferred[tuple[Entry, ...]]":
        """Wait for entries under ``prefix`` newer than revision ``after``.

        A watch without a response after ``timeout`` plus the timeout of a call fails
        with ``KeyValueUnavailableError`` and closes its connection.
        """
        milliseconds = int(timeout / timedelta(milliseconds=1))
        query = {"prefix": prefix, "after": after, "timeout_ms": milliseconds}
        path = "/v1/watch?" + urlencode(query)
        call_timeout = timeout + self._timeout
        entries = self._read("watch", path, EntriesMessage, timeout=call_timeout)
        return entries.addCallback(_entries_of)

    def grant_lease(self, time_to_live: timedelta) -> "Deferred[str]":
        """Create a lease and return its id."""
        body = LeaseRequestMessage(int(time_to_live / timedelta(milliseconds=1)))
        granted = self._write("grant", "POST", "/v1/leases", LeaseMessage, body)
        return granted.addCallback(lambda message: message.lease)

    def renew_lease(self, lease: str) -> "Deferred[None]":
        """Extend a lease by its time to live; ``LeaseNotFoundError`` if it expired."""
        path = f"/v1/leases/{quote(lease, safe='')}/renew"
        renewed = self._write("renew", "POST", path, EmptyMessage)
        return renewed.addCallback(lambda _: None)

    def _read(
        self,
        step: str,
        path: str,
        response_type: type[Result],
        *,
        timeout: timedelta | None = None,
    ) -> "Deferred[Result]":
        call = self._call(step, "GET", path, response_type, b"")
        return self._with_timeout(call, step, timeout or self._timeout, _unavailable)

    def _write(
        self,
        step: str,
        method: str,
        path: str,
        response_type: type[Result],
        message: object = None,
    ) -> "Deferred[Result]":
        body = b"" if message is None else encode(message)
        call = self._call(step, method, path, response_type, body)
        return self._with_timeout(call, step, self._timeout, _outcome_unknown)

    def _with_timeout(
        self,
        call: Coroutine[Any, Any, Result],
        step: str,
        timeout: timedelta,
        no_response_error: Callable[[str, str], KeyValueError],
    ) -> "Deferred[Result]":
        def translate(failure: Failure) -> None:
            failure.trap(CallFailedError)
            error = no_response_error if failure.value.sent else _unavailable
            raise error(step, str(failure.value)) from failure.value

        return call_with_timeout(self._clock, timeout, call).addErrback(translate)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        response_type: type[Result],
        body: bytes,
    ) -> Result:
        response = await self._client.request(
            method,
            self._url + path,
            headers=self._headers,
            data=body,
            unbuffered=True,
        )
        content = await readBody(response)
        if response.code == HTTP_OK:
            return decode(content, response_type)
        raise _error_of(step, response.code, decode(content, ErrorMessage))


class _AbsentKeyError(KeyValueError):
    """The key that was read does not exist."""


def _key_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="")


def _entries_of(message: EntriesMessage) -> tuple[Entry, ...]:
    return tuple(entry_of(each) for each in message.entries)


def _none_if_absent(failure: Any) -> None:
    failure.trap(_AbsentKeyError)


def _add_conflict_details(failure: Any, key: str, expected: int | None) -> None:
    failure.trap(RevisionConflictError)
    raise RevisionConflictError(key, expected or 0, failure.value.actual) from None


def _error_of(step: str, status: int, refusal: ErrorMessage) -> KeyValueError:
    message = f"{PEER} refused to {step}: {refusal.message} (status {status})"
    if refusal.error == "conflict":
        return RevisionConflictError("", 0, refusal.actual)
    types_by_error: dict[str, type[KeyValueError]] = {
        "not_found": _AbsentKeyError,
        "lease_not_found": LeaseNotFoundError,
        "unavailable": KeyValueUnavailableError,
    }
    return types_by_error.get(refusal.error, KeyValueError)(
        message, step=step, peer=PEER
    )


def _unavailable(step: str, reason: str) -> KeyValueUnavailableError:
    message = f"{step} failed at the {PEER}: {reason}"
    return KeyValueUnavailableError(message, step=step, peer=PEER)


def _outcome_unknown(step: str, reason: str) -> KeyValueOutcomeUnknownError:
    message = f"unknown whether the {PEER} applied the {step}: {reason}"
    return KeyValueOutcomeUnknownError(message, step=step, peer=PEER)
