"""The configuration in force at this instance and what is derived from it."""

from collections.abc import Callable

from ..state.deployment import Deployment
from ..state.keys import KeyIndex
from ..state.routes import RouteTable


class InForce:
    """Holds the deployment adopted last and tells those who depend on it.

    ``revision`` is the platform's revision of that deployment; 0 before the
    first one, while the instance is not ready.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.deployment = Deployment()
        self.keys = KeyIndex(self.deployment)
        self.routes = RouteTable(self.deployment)
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each adopted deployment."""
        self._subscribers.append(changed)

    def adopt(self, revision: int, deployment: Deployment) -> bool:
        """Put a deployment in force unless a later one already is."""
        if revision <= self.revision:
            return False
        self.keys = KeyIndex(deployment)
        self.routes = RouteTable(deployment)
        self.deployment = deployment
        self.revision = revision
        for changed in self._subscribers:
            changed()
        return True
