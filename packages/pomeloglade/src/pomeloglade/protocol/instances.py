"""Messages in which instances and the platform describe the fleet to operators."""

from dataclasses import dataclass, field

import msgspec

from ..state.instance_record import INSTANCES_PREFIX, InstanceRecord

STATUS_PATH = "/admin/status"
"""Path at which an instance answers with its ``InstanceStatus``."""

__all__ = [
    "INSTANCES_PREFIX",
    "STATUS_PATH",
    "InstanceRecord",
    "InstanceStatus",
    "decode_record",
    "decode_status",
    "encode",
]


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What an instance tells operators of itself.

    ``revision`` is that of the configuration in force here, and
    ``in_force_by_instance`` what the other instances last reported of theirs.
    ``cut_off`` tells that neither the platform nor a peer that reaches it has
    answered lately.
    """

    instance: str
    availability_zone: str
    incarnation: int
    revision: int
    ready: bool
    in_force_by_instance: dict[str, int] = field(default_factory=dict)
    draining: bool = False
    cut_off: bool = False
    open_requests: int = 0
    live_instances: tuple[str, ...] = ()


def decode_record(value: bytes) -> InstanceRecord:
    """Return the record in ``value``; ``msgspec.MsgspecError`` if it is bad."""
    return msgspec.json.decode(value, type=InstanceRecord)


def decode_status(body: bytes) -> InstanceStatus:
    """Return the status in ``body``; ``msgspec.MsgspecError`` if it is bad."""
    return msgspec.json.decode(body, type=InstanceStatus)


def encode(message: InstanceRecord | InstanceStatus) -> bytes:
    """Return ``message`` as JSON."""
    return msgspec.json.encode(message)
