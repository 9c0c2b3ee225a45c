"""Status and registration records of instances, as shown to operators."""

from dataclasses import dataclass, field

import msgspec

from pomeloglade_coordination.json_decoding import decode_json

from ..state.instance_record import INSTANCES_PREFIX, InstanceRecord

STATUS_PATH = "/admin/status"
"""Path at which an instance serves its ``InstanceStatus``."""

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
    """Status of an instance, for operators.

    ``revision`` is that of the configuration in force on the instance, and
    ``in_force_by_instance`` has the revisions that the other instances last reported.
    ``cut_off`` is true if neither the platform nor a peer that reaches it has
    responded recently.
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
    """Decode a record; ``msgspec.MsgspecError`` if it is invalid."""
    return decode_json(value, InstanceRecord)


def decode_status(body: bytes) -> InstanceStatus:
    """Decode a status; ``msgspec.MsgspecError`` if it is invalid."""
    return decode_json(body, InstanceStatus)


def encode(message: InstanceRecord | InstanceStatus) -> bytes:
    """Return ``message`` as JSON."""
    return msgspec.json.encode(message)
