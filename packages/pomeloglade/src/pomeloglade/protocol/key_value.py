"""Messages of the key-value service's HTTP protocol.

All bodies are JSON; values are base64-encoded. A key is percent-encoded in the
path, slashes included.

=======  ==============================  ===================  ==================
Method   Path                            Body                 Response
=======  ==============================  ===================  ==================
GET      /v1/keys/KEY                                         EntryMessage
GET      /v1/keys?prefix=P                                    EntriesMessage
PUT      /v1/keys/KEY                    PutMessage           RevisionMessage
DELETE   /v1/keys/KEY?expected=N                              EmptyMessage
GET      /v1/watch?prefix=P&after=N                           EntriesMessage
         &timeout_ms=T
POST     /v1/leases                      LeaseRequestMessage  LeaseMessage
POST     /v1/leases/LEASE/renew                               EmptyMessage
=======  ==============================  ===================  ==================

An error is an ``ErrorMessage`` with the status from ``STATUS_BY_ERROR``, and
guarantees that nothing was applied.
"""

from dataclasses import dataclass
from typing import Literal, TypeVar

import msgspec

from pomeloglade_coordination.json_decoding import decode_json
from pomeloglade_coordination.key_value import Entry

ErrorName = Literal[
    "bad_request",
    "not_found",
    "conflict",
    "lease_not_found",
    "too_large",
    "unavailable",
]

STATUS_BY_ERROR: dict[ErrorName, int] = {
    "bad_request": 400,
    "not_found": 404,
    "conflict": 409,
    "lease_not_found": 410,
    "too_large": 413,
    "unavailable": 503,
}

CLIENT_HEADER = "X-Client"
"""Header with the name of the caller."""

Message = TypeVar("Message")


@dataclass(frozen=True, slots=True)
class EntryMessage:
    """One entry with the revision of its last write.

    In watches, a deleted key has an empty value and the revision of its deletion.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class EntriesMessage:
    """The entries under a prefix, sorted by key."""

    entries: tuple[EntryMessage, ...]


@dataclass(frozen=True, slots=True)
class PutMessage:
    """A write to one key; see ``KeyValueStore.put`` for the fields."""

    value: bytes
    expected: int | None = None
    lease: str = ""


@dataclass(frozen=True, slots=True)
class RevisionMessage:
    """The revision assigned to a write."""

    revision: int


@dataclass(frozen=True, slots=True)
class LeaseRequestMessage:
    """A request for a lease with a time to live in milliseconds."""

    time_to_live_ms: int


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """The id of a new lease."""

    lease: str


@dataclass(frozen=True, slots=True)
class EmptyMessage:
    """The response to an operation that returns nothing."""


@dataclass(frozen=True, slots=True)
class ErrorMessage:
    """An error; ``actual`` is the current revision if it is a conflict."""

    error: ErrorName
    message: str
    actual: int = 0


def encode(message: object) -> bytes:
    """Return ``message`` as a JSON body."""
    return msgspec.json.encode(message)


def decode(body: bytes, expected: type[Message]) -> Message:
    """Return the ``expected`` message in ``body``.

    Raises ``msgspec.MsgspecError`` naming the first invalid field.
    """
    return decode_json(body, expected)


def entries_message(entries: tuple[Entry, ...]) -> EntriesMessage:
    """Return the message that carries ``entries``."""
    return EntriesMessage(tuple(entry_message(entry) for entry in entries))


def entry_message(entry: Entry) -> EntryMessage:
    """Return the message that carries ``entry``."""
    return EntryMessage(entry.key, entry.value, entry.revision)


def entry_of(message: EntryMessage) -> Entry:
    """Return the entry that ``message`` carries."""
    return Entry(message.key, message.value, message.revision)
