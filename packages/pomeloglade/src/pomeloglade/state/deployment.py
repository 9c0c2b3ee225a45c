"""Data classes of the operators' configuration."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Literal

RouteKind = Literal["model", "plain"]
BackendRole = Literal["prefill", "decode", "plain"]
BackendState = Literal["joining", "serving", "leaving"]
CutOffPolicy = Literal["serve", "refuse"]


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its keys and limits.

    ``rate`` is in tokens per second and ``burst`` in tokens, both over all
    instances together. ``key_digests`` maps the name of each key to its digest;
    the keys themselves are never stored. ``withdrawn_digests`` are digests that
    no publish may make valid again; callers with such a key are told that it was
    withdrawn. ``weight`` is the account's weight in fair queueing.
    ``when_cut_off`` is the policy for this account's requests at an instance that
    can reach neither the platform nor a peer that can.
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
    """A path prefix, the pool that serves it, and the guarantees of its calls.

    ``first_token`` and ``between_tokens`` are the latency targets of model
    routes; plain routes use ``first_token`` for the complete answer. Calls of a
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

    ``slots`` is how many requests it runs at once. ``checks_fencing`` is whether
    it rejects orders with an old fencing token.
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

    ``version`` is what the pool's engines are ordered to load; if it is empty,
    they get no orders. ``load_tokens`` is the cost of one load, taken from the
    weight store's rate.
    """

    name: str
    pool: str
    version: str = ""
    load_tokens: int = 0


@dataclass(frozen=True, slots=True)
class WeightStore:
    """Limits on the loading of model weights.

    ``rate`` is in tokens per second and ``burst`` in tokens, both over the whole
    fleet.
    """

    rate: int
    burst: int


@dataclass(frozen=True, slots=True)
class FleetInstance:
    """The name of an entry instance and the zone that it runs in.

    A replacement process takes over the name. Rates and bursts are divided among
    these names, so two processes must never run under one name at the same time.
    """

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """One accepted configuration; its records are keyed by their names."""

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
