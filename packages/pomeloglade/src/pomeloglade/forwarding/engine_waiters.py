"""Calls that wait for a decode engine, and what they need from it."""

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from .backends import BackendServer
from .remote_queues import QueueRank


@dataclass(frozen=True, slots=True)
class EngineRequirements:
    """What a call needs from a decode engine.

    ``tokens`` is the KV memory. If no prefill engine is available, the decode engine
    prefills ``prompt_tokens`` itself, which pauses its streams; ``longest_pause`` is
    the pause in seconds that they allow. Engines in ``excluded`` are not chosen. A
    ``cached`` call is prefilled and goes first, because its KV cache expires soon. A
    call that goes on with a stream needs an engine of its ``software_version``. With
    ``zones``, engines and prefill engines must be in these zones. A call that is not
    ``repeatable`` avoids engines whose last calls have all failed.
    """

    tokens: int
    prompt_tokens: int = 0
    longest_pause: float = 1.0
    excluded: frozenset[str] = frozenset()
    cached: bool = False
    software_version: str | None = None
    zones: frozenset[str] | None = None
    repeatable: bool = True

    @property
    def restricted(self) -> bool:
        """Whether some engines can't take the call although they may have room."""
        return self.software_version is not None or self.zones is not None


@dataclass(order=True)
class Waiter:
    """A waiting call; waiters sort in the order in which they are placed."""

    uncached: bool
    rank: QueueRank
    sequence: int
    requirements: "EngineRequirements" = field(compare=False)
    due: float = field(compare=False)
    placed: "Deferred[BackendServer]" = field(compare=False)
