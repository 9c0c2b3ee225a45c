"""The queues of all services with engines of an instance."""

from random import Random

from .engine_queue import EngineQueue
from .placement_spread import PlacementSpread
from .prefills import Prefills
from .remote_queues import QueueSummary, RemoteQueues
from .send_context import SendContext
from .server_choice import ServerChoice
from .store_view import StoreView
from .version_history import VersionHistory


class EngineQueues:
    """Makes the queue of each service with engines, and keeps its settings current."""

    def __init__(
        self,
        *,
        context: SendContext,
        store_view: StoreView,
        prefills: Prefills,
        versions: VersionHistory,
        remote_queues: RemoteQueues,
        availability_zone: str,
        server_choice: ServerChoice,
        random: Random,
    ) -> None:
        self._context = context
        self._store_view = store_view
        self._prefills = prefills
        self._versions = versions
        self._remote_queues = remote_queues
        self._availability_zone = availability_zone
        self._server_choice = server_choice
        self._random = random
        self._queues_by_service: dict[str, EngineQueue] = {}

    def for_service(self, service: str) -> EngineQueue:
        """Return the queue of a service, made on first use."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = self._make(service)
        configured = self._store_view.deployment.services_by_name.get(service)
        if configured is not None and configured.engines is not None:
            queue.pool = configured.engines
        return queue

    def summaries(self) -> dict[str, QueueSummary]:
        """Return the summaries of all queues by service for the other instances."""
        summaries = {
            service: queue.summary()
            for service, queue in self._queues_by_service.items()
        }
        return {name: each for name, each in summaries.items() if each is not None}

    def place_waiting(self) -> None:
        """Place waiting calls, as engines may have room again."""
        for queue in self._queues_by_service.values():
            queue.place_waiting()

    def _make(self, service: str) -> EngineQueue:
        context, prefills = self._context, self._prefills
        spread = PlacementSpread(
            context.clock,
            self._random,
            self._server_choice,
            lambda: max(1, len(self._store_view.instances)),
        )
        queue = EngineQueue(
            service,
            clock=context.clock,
            backends=context.backends,
            loads=context.loads,
            health=context.health,
            limits=context.limits,
            availability_zone=self._availability_zone,
            server_choice=spread.choose,
            remote_queues=self._remote_queues,
            on_change=context.on_load_changed,
            pace=context.pace,
            random=self._random,
        )
        objective = self._store_view.deployment.shortest_objective(service)
        queue.prefill_available = lambda: prefills.available(service, objective)
        queue.prefill_available_in = lambda zones: prefills.available(
            service, objective, zones
        )
        queue.local_prefill_rate = prefills.local_prefill_rate
        queue.prefill_too_long = lambda tokens: prefills.pauses.too_long(
            service, tokens
        )
        queue.recorded = self._versions.recorded
        return queue
