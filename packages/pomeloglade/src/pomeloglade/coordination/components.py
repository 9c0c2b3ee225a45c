"""The components that the request tasks use."""

from dataclasses import dataclass

from pomeloglade_coordination.claims import Claims
from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.placement import Placement
from pomeloglade_coordination.retries import RetryBudget
from pomeloglade_coordination.shares import Shares
from pomeloglade_coordination.suspects import Suspects

from ..state.metrics import Metrics
from .current_configuration import CurrentConfiguration
from .engine import Engines, Services
from .health import HealthMonitor
from .local_choice import LocalChoice


@dataclass(frozen=True, slots=True)
class Components:
    """The components of an instance that take part in answering requests."""

    clock: Clock
    in_force: CurrentConfiguration
    shares: Shares
    placement: Placement
    suspects: Suspects
    retries: RetryBudget
    claims: Claims
    engines: Engines
    services: Services
    health: HealthMonitor
    local_choice: LocalChoice
    metrics: Metrics
