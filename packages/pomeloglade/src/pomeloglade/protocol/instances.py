"""Messages in which instances and the platform describe the fleet to operators."""

from dataclasses import dataclass, field
from typing import Literal

import msgspec

INSTANCES_PREFIX = "instances/"
"""Prefix of the platform's own list of instances, one key for each."""

STATUS_PATH = "/admin/status"
"""Path at which an instance answers with its ``InstanceStatus``."""


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An entry of the platform's list, which lags behind the fleet.

    ``address`` is the ``host:port`` for callers and operators, ``peer_address``
    that for other instances.
    """

    instance: str
    availability_zone: str
    address: str
    peer_address: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What an instance tells operators of itself.

    ``revision`` is that of the configuration in force here, and
    ``in_force_by_instance`` what the other instances last reported of theirs.
    """

    instance: str
    availability_zone: str
    incarnation: int
    revision: int
    ready: bool
    in_force_by_instance: dict[str, int] = field(default_factory=dict)


def decode_record(value: bytes) -> InstanceRecord:
    """Return the record in ``value``; ``msgspec.MsgspecError`` if it is bad."""
    return msgspec.json.decode(value, type=InstanceRecord)


def decode_status(body: bytes) -> InstanceStatus:
    """Return the status in ``body``; ``msgspec.MsgspecError`` if it is bad."""
    return msgspec.json.decode(body, type=InstanceStatus)


def encode(message: InstanceRecord | InstanceStatus) -> bytes:
    """Return ``message`` as JSON."""
    return msgspec.json.encode(message)
