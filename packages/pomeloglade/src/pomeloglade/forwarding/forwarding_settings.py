"""Start-up settings of a forwarding instance."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..transport.held_memory import DEFAULT_MACHINE_BYTES
from .cold_rate import ColdBound
from .resend_budget import ResendLimit
from .server_choice import ServerChoicePolicy
from .stage_orders import PREFILL_SHARE


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Start-up settings of a forwarding instance; durations are in seconds."""

    instance: str
    availability_zone: str
    host: str
    front_port: int
    ready_port: int
    ready_path: bytes
    peer_port: int
    metrics_port: int
    shutdown_grace_seconds: float
    config_apply_seconds: float
    key_revoke_seconds: float | None
    transit_seconds: float
    server_drain_seconds: float
    order_pause_seconds: float
    resend_limit: ResendLimit
    usage_window: float
    usage_startup_burst: float
    server_choice: ServerChoicePolicy = ServerChoicePolicy.LEAST_LOADED
    prefill_share: float = PREFILL_SHARE
    machine_bytes: int = DEFAULT_MACHINE_BYTES
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    region: str = ""
    cold_bound: ColdBound = ColdBound()
