"""Encoding of services' software versions as values of the key-value service."""

from dataclasses import dataclass

import msgspec

from pomeloglade_coordination.json_decoding import Count, Name, UnixTime, decode_json

SOFTWARE_VERSIONS_PREFIX = "pomeloglade/software-versions/"
"""Prefix of the records of software versions in the platform's key-value service."""


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The software versions that a service's servers have, and had a short time ago.

    ``last_seen_by_version`` has the seconds of Unix time at which the last server of a
    version left, or ``None`` while there are some. ``era`` is that of the store when
    the record was written. Before ``complete_since``, in seconds of Unix time, servers
    of further versions may have served.
    """

    last_seen_by_version: dict[Name, UnixTime | None]
    era: Count = 0
    complete_since: UnixTime = 0.0


def service_of(store_key: str) -> str:
    """Return the service of a record's key.

    >>> service_of(store_key("llm"))
    'llm'
    """
    return store_key.removeprefix(SOFTWARE_VERSIONS_PREFIX)


def store_key(service: str) -> str:
    """Return the key of the record of a service."""
    return SOFTWARE_VERSIONS_PREFIX + service


def encode(record: VersionRecord) -> bytes:
    """Return ``record`` as JSON."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> VersionRecord:
    """Decode a record; ``msgspec.MsgspecError`` if it is invalid."""
    return decode_json(value, VersionRecord)
