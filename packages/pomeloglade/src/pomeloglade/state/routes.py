"""Finds the route of a path by its longest matching prefix."""

from .deployment import Deployment, Route


class RouteTable:
    """Routes of the configuration in force, longest prefix first."""

    def __init__(self, deployment: Deployment) -> None:
        self._routes = sorted(
            deployment.routes_by_name.values(), key=lambda route: -len(route.prefix)
        )

    def find(self, path: str) -> Route | None:
        """Return the route of ``path``; a prefix matches complete segments only.

        >>> from .deployment import Deployment, Route
        >>> route = Route("roster", "/roster", "plain", "roster-api")
        >>> table = RouteTable(Deployment(routes_by_name={"roster": route}))
        >>> table.find("/roster/officials").name, table.find("/rosters")
        ('roster', None)
        """
        for route in self._routes:
            prefix = route.prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None
