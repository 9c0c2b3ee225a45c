"""Dispatches messages from other instances to the component they are for."""

from collections.abc import Callable
from types import ModuleType

from pomeloglade_coordination.peer import PeerMessage

from ..state.metrics import Metrics

Receiver = Callable[[str, PeerMessage], None]


class PeerDispatch:
    """Finds the receiver of each message by the message's class."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._receivers_by_type: dict[type, Receiver] = {}

    def register(self, module: ModuleType, receiver: Receiver) -> None:
        """Deliver messages of the classes in ``module`` to ``receiver``."""
        for attribute in vars(module).values():
            if isinstance(attribute, type) and issubclass(attribute, PeerMessage):
                self._receivers_by_type[attribute] = receiver

    def receive(self, instance: str, message: PeerMessage) -> None:
        """Deliver one message; a class without a receiver is only counted."""
        receiver = self._receivers_by_type.get(type(message))
        if receiver is None:
            self._metrics.event("peers", "no_receiver")
            return
        receiver(instance, message)
