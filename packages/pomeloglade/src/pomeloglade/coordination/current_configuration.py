"""The configuration in force at this instance, and indexes built from it."""

from collections.abc import Callable

from ..state.deployment import Deployment
from ..state.keys import KeyIndex
from ..state.routes import RouteTable


class CurrentConfiguration:
    """Holds the deployment adopted last and notifies subscribers of changes.

    ``revision`` is the platform's revision of that deployment. It is 0 until the
    first one is adopted; the instance is not ready until then.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.deployment = Deployment()
        self.keys = KeyIndex(self.deployment)
        self.routes = RouteTable(self.deployment)
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` after each deployment that is adopted."""
        self._subscribers.append(on_change)

    def adopt(self, revision: int, deployment: Deployment) -> bool:
        """Put a deployment in force; return false if its revision is not newer."""
        if revision <= self.revision:
            return False
        self.keys = KeyIndex(deployment)
        self.routes = RouteTable(deployment)
        self.deployment = deployment
        self.revision = revision
        for on_change in self._subscribers:
            on_change()
        return True
