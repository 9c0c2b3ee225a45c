"""Encoding of quarantined keys as values of the key-value service."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from pomeloglade_coordination.json_decoding import Count, Name, UnixTime, decode_json

QUARANTINE_PREFIX = "pomeloglade/quarantine/"
"""Prefix of the quarantined keys in the platform's key-value service."""


KEY_DIGITS = 16


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A request or prompt part that ended servers, and for how long it is refused.

    ``servers`` has the ids of the servers and the starts of their runs, ``until`` is in
    seconds of Unix time. ``software_versions`` are those of the service that get no
    trial: the versions that ended, and those that were registered when they did or had
    their trial. ``trial_claimed`` tells whether an instance has claimed the one trial
    by another version. ``written_by`` is the instance that wrote the entry last.
    """

    service: Name
    servers: Annotated[tuple[tuple[Name, Count], ...], msgspec.Meta(max_length=64)]
    software_versions: Annotated[tuple[Name, ...], msgspec.Meta(max_length=1_000)]
    until: UnixTime
    written_by: Name = ""
    trial_claimed: bool = False


def key_of(store_key: str) -> int:
    """Return the crash key of an entry's key, or raise ``ValueError``.

    >>> key_of(store_key(17))
    17
    """
    digits = store_key.removeprefix(QUARANTINE_PREFIX)
    if len(digits) != KEY_DIGITS or not set(digits) <= set("0123456789abcdef"):
        raise ValueError(f"key {digits[:40]!r} is not {KEY_DIGITS} hexadecimal digits")
    return int(digits, 16)


def store_key(key: int) -> str:
    """Return the key of the entry of a crash key."""
    return f"{QUARANTINE_PREFIX}{key:0{KEY_DIGITS}x}"


def encode(entry: QuarantineEntry) -> bytes:
    """Return ``entry`` as JSON."""
    return msgspec.json.encode(entry)


def decode(value: bytes) -> QuarantineEntry:
    """Decode an entry; ``msgspec.MsgspecError`` if it is invalid."""
    return decode_json(value, QuarantineEntry)
