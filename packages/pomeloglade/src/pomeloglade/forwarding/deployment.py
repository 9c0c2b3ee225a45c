"""The operator's configuration of forwarded calls, with look-ups of routes and keys."""

import enum
from dataclasses import dataclass
from datetime import timedelta

from ..state.connection_limits import ConnectionLimits
from ..state.key_digest import digest_key

DEFAULT_OBJECTIVE_SECONDS = 1.0


class CallKind(enum.Enum):
    """How calls of a route may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service and its weight among those that a route is split over."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix with the services behind it and its objectives.

    An answer, or a stream's first event, is on time if it arrives within
    ``objective``; the next events are if no pause between two of them is longer than
    ``longest_pause``. At most ``max_servers`` backend servers may run a call. A
    ``resumable`` stream may be continued by another backend server. Calls are sent to
    servers in ``allowed_regions`` only; an empty set allows all.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[ServiceWeight, ...]
    timeout: timedelta
    objective: timedelta
    priority: int = 0
    max_servers: int = 1
    public: bool = False
    resumable: bool = False
    longest_pause: timedelta = timedelta(seconds=1)
    allowed_regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Whether a call may run more than once."""
        return self.kind is CallKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class EnginePool:
    """The engines of a model service.

    ``kv_capacity`` is in tokens for each engine. A prefilled prompt's KV cache
    is kept for ``handle_seconds``.
    """

    slots: int
    kv_capacity: int
    handle_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of backend server; ``engines`` is set for model services.

    Servers answer at ``health_path`` whether they are healthy. One that starts during
    traffic is cold for ``cold_start_seconds``, and a cold one tolerates about
    ``cold_per_second`` requests a second; with 0, it is never cold.
    """

    name: str
    max_connections: int
    engines: EnginePool | None = None
    health_path: str = "/"
    cold_start_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its limits in units over all instances.

    ``rate`` is in units per second and ``burst`` in units; a rate of 0 means no
    limit. Units are tokens if ``counts_tokens`` is set, else calls. A call without
    token counts costs ``plain_cost`` tokens. Calls with a lower ``priority`` go
    first; ``None`` means the route's priority. ``allowed_regions`` are like those of a
    route; where both name regions, both restrictions apply.
    """

    name: str
    key_digests: frozenset[str]
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    plain_cost: int = 1
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()

    def cost(self, tokens: int | None) -> int:
        """Return the cost of a call with ``tokens`` prompt and output tokens."""
        if not self.counts_tokens:
            return 1
        return self.plain_cost if tokens is None else tokens


class Deployment:
    """One version of the configuration, indexed for look-ups.

    >>> from datetime import timedelta
    >>> second = timedelta(seconds=1)
    >>> def route(name, prefix):
    ...     return Route(name, "a.example", prefix, CallKind.SAFE, (), second, second)
    >>> deployment = Deployment(1, (route("all", "/"), route("deep", "/x/")), (), ())
    >>> deployment.route("a.example", "/x/1").name
    'deep'
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        accounts: tuple[Account, ...],
        limits: ConnectionLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.limits = limits or ConnectionLimits()
        self.has_accounts = bool(accounts)
        self.services_by_name = {each.name: each for each in services}
        self.accounts_by_name = {each.name: each for each in accounts}
        self._accounts_by_digest = {
            digest: account for account in accounts for digest in account.key_digests
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        for each in routes:
            self._routes_by_host.setdefault(each.host, []).append(each)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix."""
        for each in self._routes_by_host.get(host, ()):
            if path.startswith(each.prefix):
                return each
        return None

    def shortest_objective(self, service: str) -> float:
        """Return the shortest objective of the routes to a service, in seconds."""
        return min(
            (
                route.objective.total_seconds()
                for route in self.routes
                if any(each.service == service for each in route.services)
            ),
            default=DEFAULT_OBJECTIVE_SECONDS,
        )

    def account(self, key: str) -> Account | None:
        """Return the account that holds ``key``."""
        return self._accounts_by_digest.get(digest_key(key))
