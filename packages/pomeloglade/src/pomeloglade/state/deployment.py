"""The operators' configuration as frozen data classes."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Literal

RouteKind = Literal["model", "plain"]
BackendRole = Literal["prefill", "decode", "plain"]
BackendState = Literal["joining", "serving", "leaving"]
CutOffPolicy = Literal["serve", "refuse"]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its share of the fleet.

    ``rate`` is in tokens a second and ``burst`` in tokens, both over all
    instances together. ``key_digests`` maps the name of each key to its digest;
    the keys themselves are never stored. ``withdrawn_digests`` are digests that
    no publish may bring back; callers with such a key are told that it was
    withdrawn. ``weight`` is the account's share in fair queueing.
    ``when_cut_off`` tells what an instance that reaches neither the platform nor
    a peer that does answers this account.
    """

    name: str
    rate: int
    burst: int
    weight: int = 1
    key_digests: dict[str, str] = field(default_factory=dict)
    when_cut_off: CutOffPolicy = "serve"
    withdrawn_digests: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Route:
    """A path prefix with the pool that serves it and its promises.

    ``first_token`` and ``between_tokens`` are the latency targets of model
    routes; plain routes use ``first_token`` for the whole answer. Calls of a
    route that is not ``idempotent`` need an ``Idempotency-Key``. ``patient``
    routes wait past their first-token target instead of being refused.
    """

    name: str
    prefix: str
    kind: RouteKind
    pool: str
    open: bool = False
    idempotent: bool = True
    patient: bool = False
    first_token: timedelta = timedelta(seconds=1.1)
    between_tokens: timedelta = timedelta(milliseconds=47)
    timeout: timedelta = timedelta(seconds=60)
    plain_cost: int = 1


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A model engine or plain service that requests are routed to.

    ``slots`` is how many requests it runs at once. ``checks_fencing`` tells
    whether it refuses orders with an old fencing number.
    """

    name: str
    availability_zone: str
    address: str
    pool: str
    role: BackendRole
    state: BackendState = "serving"
    slots: int = 20
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Model:
    """A model name that callers may ask for, and the pool that runs it.

    ``version`` is what the pool's engines are ordered to load; they are left
    alone when it is empty. ``load_tokens`` is what one load costs of the weight
    store's rate.
    """

    name: str
    pool: str
    version: str = ""
    load_tokens: int = 0


@dataclass(frozen=True, slots=True)
class WeightStore:
    """How fast weights may be loaded.

    ``rate`` is in tokens a second and ``burst`` in tokens, both over the whole
    fleet.
    """

    rate: int
    burst: int


@dataclass(frozen=True, slots=True)
class FleetInstance:
    """The name of an entry instance and the zone that it runs in.

    A replacement takes over the name. Shares of rates and bursts are divided
    over these names, so no two processes may run under one name at a time.
    """

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """One accepted configuration; collections are keyed by name."""

    availability_zones: tuple[str, ...] = ()
    accounts_by_name: dict[str, ClientAccount] = field(default_factory=dict)
    routes_by_name: dict[str, Route] = field(default_factory=dict)
    backend_servers_by_name: dict[str, BackendServer] = field(default_factory=dict)
    models_by_name: dict[str, Model] = field(default_factory=dict)
    instances_by_name: dict[str, FleetInstance] = field(default_factory=dict)
    weight_store: WeightStore | None = None

    def pool(self, pool: str, role: BackendRole) -> tuple[BackendServer, ...]:
        """Return the backend servers of ``pool`` with ``role``, sorted by name."""
        return tuple(
            server
            for _, server in sorted(self.backend_servers_by_name.items())
            if server.pool == pool and server.role == role
        )
