"""Stand-in for the platform's key-value service over HTTP.

It serves the protocol of ``pomeloglade.protocol.key_value`` from memory, and two
endpoints for tests: ``POST /faults`` takes a ``Faults`` message that replaces the
active faults, and ``GET /counters`` returns a ``Counters`` message.

    curl -d '{"down": true}' http://127.0.0.1:2300/faults
"""

import enum
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatch
from typing import Any
from urllib.parse import unquote

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import deferLater
from twisted.web.iweb import IRequest
from twisted.web.server import NOT_DONE_YET, Site

from pomeloglade.protocol.key_value import (
    CLIENT_HEADER,
    STATUS_BY_ERROR,
    EmptyMessage,
    ErrorMessage,
    LeaseMessage,
    LeaseRequestMessage,
    PutMessage,
    RevisionMessage,
    decode,
    encode,
    entries_message,
    entry_message,
)
from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.errors import LeaseNotFoundError, RevisionConflictError
from pomeloglade_coordination.key_value import MAX_VALUE_BYTES, MemoryKeyValueStore

KEYS_PATH = b"/v1/keys/"


class Operation(enum.Enum):
    """Kinds of calls that are counted; a long-polling watch counts once."""

    GET = "get"
    LIST = "list"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"
    GRANT = "grant"
    RENEW = "renew"


WRITE_OPERATIONS = {Operation.PUT, Operation.DELETE, Operation.GRANT, Operation.RENEW}


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults that are active until the next ``Faults`` message.

    ``down`` refuses every call without applying it, ``unreachable`` neither
    answers nor applies calls, ``slow_seconds`` delays each call before it is
    applied, ``lose_answers`` is the number of next writes whose connection is
    aborted after they were applied, ``silent_watches`` never answers watches, and
    ``cut_clients`` names callers for whom the service is unreachable.
    """

    down: bool = False
    unreachable: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False
    cut_clients: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Counters:
    """Calls received by operation, failed ones included, and watches now waiting."""

    calls_by_operation: dict[str, int] = field(default_factory=dict)
    waiting_watches: int = 0


class BadCallError(Exception):
    """A call that violates the protocol."""


class KeyValueService:
    """Serves a ``MemoryKeyValueStore`` over HTTP and injects faults on request.

    Parameters
    ----------
    clock : IReactorTime
        Expires leases, ends watches and delays slow calls.
    """

    app = Klein()

    def __init__(self, clock: Clock) -> None:
        self.store = MemoryKeyValueStore(clock)
        self.faults = Faults()
        self._clock = clock
        self._calls: Counter[Operation] = Counter()
        self._waiting_watches = 0
        self._lost_answers = 0

    @property
    def counters(self) -> Counters:
        """Calls received so far, and watches now waiting."""
        calls = {operation.value: self._calls[operation] for operation in Operation}
        return Counters(calls, self._waiting_watches)

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        self._lost_answers = 0

    @app.route("/faults", methods=["POST"])
    def change_faults(self, request: IRequest) -> bytes:
        """Replace the active faults by those in the request."""
        try:
            self.set_faults(decode(request.content.read(), Faults))
        except msgspec.MsgspecError as error:
            return _write(request, error_message(BadCallError(str(error))))
        return _write(request, EmptyMessage())

    @app.route("/counters", methods=["GET"])
    def show_counters(self, request: IRequest) -> bytes:
        """Return the counters."""
        return _write(request, self.counters)

    @app.route("/v1/keys", methods=["GET"])
    def list_keys(self, request: IRequest) -> Any:
        """Return the entries under a prefix."""
        return self._serve(request, Operation.LIST, self._list)

    @app.route("/v1/keys/", methods=["GET"], branch=True)
    def get_key(self, request: IRequest) -> Any:
        """Return the entry of a key."""
        return self._serve(request, Operation.GET, self._get)

    @app.route("/v1/keys/", methods=["PUT"], branch=True)
    def put_key(self, request: IRequest) -> Any:
        """Store the value of a key."""
        return self._serve(request, Operation.PUT, self._put)

    @app.route("/v1/keys/", methods=["DELETE"], branch=True)
    def delete_key(self, request: IRequest) -> Any:
        """Delete a key."""
        return self._serve(request, Operation.DELETE, self._delete)

    @app.route("/v1/watch", methods=["GET"])
    def watch_keys(self, request: IRequest) -> Any:
        """Wait for newer entries under a prefix."""
        return self._serve(request, Operation.WATCH, self._watch)

    @app.route("/v1/leases", methods=["POST"])
    def grant_lease(self, request: IRequest) -> Any:
        """Create a lease."""
        return self._serve(request, Operation.GRANT, self._grant)

    @app.route("/v1/leases/<lease>/renew", methods=["POST"])
    def renew_lease(self, request: IRequest, lease: str) -> Any:
        """Extend a lease."""
        return self._serve(request, Operation.RENEW, lambda _: self._renew(lease))

    def _serve(self, request: IRequest, operation: Operation, call: Any) -> Any:
        self._calls[operation] += 1
        client = request.getHeader(CLIENT_HEADER) or ""
        if self.faults.unreachable or client in self.faults.cut_clients:
            return _no_answer()
        if self.faults.down:
            return _write(request, ErrorMessage("unavailable", "the service is down"))
        return Deferred.fromCoroutine(self._answer(request, operation, call))

    async def _answer(self, request: IRequest, operation: Operation, call: Any) -> Any:
        if self.faults.slow_seconds > 0:
            await deferLater(self._clock, self.faults.slow_seconds)
        try:
            answer = await call(request)
        except Exception as error:
            answer = error_message(error)
        if (
            operation in WRITE_OPERATIONS
            and self._lost_answers < self.faults.lose_answers
        ):
            self._lost_answers += 1
            request.transport.abortConnection()
            return NOT_DONE_YET
        return _write(request, answer)

    async def _get(self, request: IRequest) -> Any:
        entry = await self.store.get(_key(request))
        if entry is None:
            return ErrorMessage("not_found", f"key {_key(request)!r} does not exist")
        return entry_message(entry)

    async def _list(self, request: IRequest) -> Any:
        return entries_message(await self.store.list(_argument(request, "prefix")))

    async def _put(self, request: IRequest) -> Any:
        change = decode(request.content.read(), PutMessage)
        if len(change.value) > MAX_VALUE_BYTES:
            return ErrorMessage(
                "too_large",
                f"the value has {len(change.value)} bytes;"
                f" allowed: at most {MAX_VALUE_BYTES}",
            )
        revision = await self.store.put(
            _key(request), change.value, expected=change.expected, lease=change.lease
        )
        return RevisionMessage(revision)

    async def _delete(self, request: IRequest) -> Any:
        expected = _argument(request, "expected")
        revision = _integer(request, "expected") if expected else None
        await self.store.delete(_key(request), expected=revision)
        return EmptyMessage()

    async def _watch(self, request: IRequest) -> Any:
        if self.faults.silent_watches:
            return await _no_answer()
        timeout = timedelta(milliseconds=_integer(request, "timeout_ms"))
        self._waiting_watches += 1
        try:
            entries = await self.store.watch(
                _argument(request, "prefix"), _integer(request, "after"), timeout
            )
        finally:
            self._waiting_watches -= 1
        if self.faults.silent_watches:
            return await _no_answer()
        return entries_message(entries)

    async def _grant(self, request: IRequest) -> Any:
        grant = decode(request.content.read(), LeaseRequestMessage)
        time_to_live = timedelta(milliseconds=grant.time_to_live_ms)
        return LeaseMessage(await self.store.grant_lease(time_to_live))

    async def _renew(self, lease: str) -> Any:
        await self.store.renew_lease(lease)
        return EmptyMessage()


def run_key_value(reactor: Any, host: str, port: int) -> "Deferred[int]":
    """Serve an empty store and return its port once it listens.

    A ``port`` of 0 picks a free one.
    """
    service = KeyValueService(reactor)
    endpoint = TCP4ServerEndpoint(reactor, port, interface=host)
    listening = endpoint.listen(Site(service.app.resource()))
    return listening.addCallback(lambda listener: listener.getHost().port)


@singledispatch
def error_message(error: Exception) -> ErrorMessage:
    """Return the error response for ``error``; re-raise unexpected errors."""
    raise error


@error_message.register
def _(error: RevisionConflictError) -> ErrorMessage:
    return ErrorMessage("conflict", str(error), error.actual)


@error_message.register
def _(error: LeaseNotFoundError) -> ErrorMessage:
    return ErrorMessage("lease_not_found", str(error))


@error_message.register(BadCallError)
@error_message.register(msgspec.MsgspecError)
def _(error: Exception) -> ErrorMessage:
    return ErrorMessage("bad_request", str(error))


def _write(request: IRequest, message: object) -> bytes:
    status = 200
    if isinstance(message, ErrorMessage):
        status = STATUS_BY_ERROR[message.error]
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return encode(message)


def _no_answer() -> "Deferred[bytes]":
    return Deferred()


def _key(request: IRequest) -> str:
    return unquote(request.path[len(KEYS_PATH) :].decode())


def _argument(request: IRequest, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def _integer(request: IRequest, name: str) -> int:
    text = _argument(request, name)
    try:
        return int(text)
    except ValueError:
        raise BadCallError(f"{name} is {text!r}, expected a whole number") from None
