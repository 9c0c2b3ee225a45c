"""The parts that the request tasks share, joined by the daemon."""

from dataclasses import dataclass

from pomeloglade_coordination.claims import Claims
from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.placement import Placement
from pomeloglade_coordination.retries import RetryBudget
from pomeloglade_coordination.shares import Shares
from pomeloglade_coordination.suspects import Suspects

from ..state.metrics import Metrics
from .engine import Engines, Services
from .health import Health
from .in_force import InForce
from .local_choice import LocalChoice


@dataclass(frozen=True, slots=True)
class Parts:
    """Everything that answering a request needs."""

    clock: Clock
    in_force: InForce
    shares: Shares
    placement: Placement
    suspects: Suspects
    retries: RetryBudget
    claims: Claims
    engines: Engines
    services: Services
    health: Health
    local_choice: LocalChoice
    metrics: Metrics
