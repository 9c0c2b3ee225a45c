"""Validates the deployment read from a configuration folder."""

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from .addresses import parse_address
from .deployment import BackendServer, ClientAccount, Deployment, Model, Route
from .durations import format_duration

MAX_RATE = 10_000_000  # tokens per second
MAX_BURST = 1_000_000_000  # tokens
MAX_WEIGHT = 1_000
MAX_SLOTS = 100_000
MAX_PLAIN_COST = 1_000_000  # tokens
MAX_TIMEOUT = timedelta(hours=1)
WEIGHT_STORE_ACCOUNT = "@weight-store"
"""Account of the weight store's rate; no client account can have this name."""

RESERVED_PREFIXES = ("/admin", "/live", "/metrics", "/ready")

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,63}")
_VERSION = re.compile(r"[!-~]{0,128}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_PREFIX = re.compile(r"(/[A-Za-z0-9._~-]+)+")

INVALID_NAME_REASON = (
    "not a name; allowed: 1 to 64 lower-case letters, digits, '.', '_' and '-',"
    " the first a letter or digit"
)

KeyPath = tuple[str, ...]


def is_name(text: str) -> bool:
    """Return whether ``text`` can name an account, key, route, server or zone."""
    return _NAME.fullmatch(text) is not None


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One error in a folder; ``line`` is 0 when it is not known."""

    file: str
    line: int
    key: str
    reason: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return ": ".join(part for part in (place, self.key, self.reason) if part)


class Location(Protocol):
    """Where a value was set."""

    file: str
    line: int


@dataclass(frozen=True, slots=True)
class _Finding:
    path: KeyPath
    reason: str


def check_deployment(
    deployment: Deployment,
    locate: Callable[[KeyPath], Location],
    faulty_tables: frozenset[str] = frozenset(),
) -> list[Problem]:
    """Return all problems of ``deployment``; ``locate`` gives their file and line.

    Records of ``faulty_tables`` may be missing, so references to those tables are
    not checked.
    """
    problems = []
    for finding in _findings(deployment, faulty_tables):
        location = locate(finding.path)
        key = ".".join(finding.path)
        problems.append(Problem(location.file, location.line, key, finding.reason))
    return problems


def _findings(
    deployment: Deployment, faulty_tables: frozenset[str]
) -> Iterator[_Finding]:
    yield from _check_digests(deployment)
    yield from _check_duplicates(deployment)
    for account in deployment.accounts_by_name.values():
        yield from _check_account(account)
    for route in deployment.routes_by_name.values():
        yield from _check_route(route)
    for server in deployment.backend_servers_by_name.values():
        yield from _check_backend_server(server)
    yield from _check_weight_store(deployment)
    if "weight_store" not in faulty_tables:
        for model in deployment.models_by_name.values():
            yield from _check_model(model, deployment)
    if "availability_zones" not in faulty_tables:
        yield from _check_zones(deployment)
        yield from _check_instances(deployment)
    if "backend_servers" not in faulty_tables:
        yield from _check_pools(deployment)


def _check_zones(deployment: Deployment) -> Iterator[_Finding]:
    path = ("availability_zones",)
    zones = deployment.availability_zones
    if not zones:
        yield _Finding(path, "at least one availability zone is needed")
    if len(set(zones)) < len(zones):
        yield _Finding(path, "an availability zone is named twice")
    for zone in zones:
        if not is_name(zone):
            yield _Finding(path, f"{zone!r} is {INVALID_NAME_REASON}")
    for server in deployment.backend_servers_by_name.values():
        if server.availability_zone not in zones:
            path = ("backend_servers", server.name, "availability_zone")
            known = ", ".join(zones)
            reason = f"{server.availability_zone!r} is unknown; known: {known}"
            yield _Finding(path, reason)


def _check_instances(deployment: Deployment) -> Iterator[_Finding]:
    zones = deployment.availability_zones
    zones_with_instances = {
        each.availability_zone for each in deployment.instances_by_name.values()
    }
    for instance in deployment.instances_by_name.values():
        if instance.availability_zone not in zones:
            path = ("instances", instance.name, "availability_zone")
            reason = f"{instance.availability_zone!r} is unknown; known: "
            yield _Finding(path, reason + ", ".join(zones))
    for zone in zones:
        if deployment.accounts_by_name and zone not in zones_with_instances:
            reason = (
                f"zone {zone!r} has no instances,"
                " so no account could spend its share there"
            )
            yield _Finding(("instances",), reason)


def _check_digests(deployment: Deployment) -> Iterator[_Finding]:
    paths_by_digest: dict[str, KeyPath] = {}
    for account in deployment.accounts_by_name.values():
        for key_name, digest in account.key_digests.items():
            path = ("accounts", account.name, "key_digests", key_name)
            if not _DIGEST.fullmatch(digest):
                yield _Finding(path, "not a digest; allowed: 64 hexadecimal digits")
            other = paths_by_digest.setdefault(digest, path)
            if other != path:
                yield _Finding(path, f"the same digest as {'.'.join(other)}")


def _check_duplicates(deployment: Deployment) -> Iterator[_Finding]:
    names_by_address: dict[str, str] = {}
    for server in deployment.backend_servers_by_name.values():
        other = names_by_address.setdefault(server.address, server.name)
        if other != server.name:
            path = ("backend_servers", server.name, "address")
            yield _Finding(path, f"the same address as backend server {other!r}")
    names_by_prefix: dict[str, str] = {}
    for route in deployment.routes_by_name.values():
        other = names_by_prefix.setdefault(route.prefix, route.name)
        if other != route.name:
            path = ("routes", route.name, "prefix")
            yield _Finding(path, f"the same prefix as route {other!r}")


def _check_account(account: ClientAccount) -> Iterator[_Finding]:
    path = ("accounts", account.name)
    yield from _check_name(path)
    yield from _check_range(path, "rate", account.rate, 1, MAX_RATE)
    yield from _check_range(path, "burst", account.burst, 1, MAX_BURST)
    yield from _check_range(path, "weight", account.weight, 1, MAX_WEIGHT)
    for key_name in account.key_digests:
        yield from _check_name((*path, "key_digests", key_name))


def _check_route(route: Route) -> Iterator[_Finding]:
    path = ("routes", route.name)
    yield from _check_name(path)
    yield from _check_prefix((*path, "prefix"), route.prefix)
    for field in ("first_token", "between_tokens", "timeout"):
        value = getattr(route, field)
        shortest = timedelta(milliseconds=1)
        yield from _check_range(path, field, value, shortest, MAX_TIMEOUT)
    if route.timeout < route.first_token:
        first_token = format_duration(route.first_token)
        reason = f"{format_duration(route.timeout)} is less than first_token"
        yield _Finding((*path, "timeout"), f"{reason} ({first_token})")
    yield from _check_range(path, "plain_cost", route.plain_cost, 0, MAX_PLAIN_COST)


def _check_prefix(path: KeyPath, prefix: str) -> Iterator[_Finding]:
    if prefix != "/" and not _PREFIX.fullmatch(prefix):
        reason = "allowed: '/' or '/' and segments, without a last '/'"
        yield _Finding(path, f"{prefix!r} is not a prefix; {reason}")
    if any(f"{prefix}/".startswith(f"{each}/") for each in RESERVED_PREFIXES):
        reserved = ", ".join(RESERVED_PREFIXES)
        yield _Finding(path, f"{prefix!r} is reserved; reserved: {reserved}")


def _check_backend_server(server: BackendServer) -> Iterator[_Finding]:
    path = ("backend_servers", server.name)
    yield from _check_name(path)
    yield from _check_range(path, "slots", server.slots, 1, MAX_SLOTS)
    if not is_name(server.pool):
        yield _Finding((*path, "pool"), f"{server.pool!r} is {INVALID_NAME_REASON}")
    try:
        parse_address(server.address)
    except ValueError as error:
        yield _Finding((*path, "address"), str(error))


def _check_weight_store(deployment: Deployment) -> Iterator[_Finding]:
    weight_store = deployment.weight_store
    if weight_store is not None:
        path = ("weight_store",)
        yield from _check_range(path, "rate", weight_store.rate, 1, MAX_RATE)
        yield from _check_range(path, "burst", weight_store.burst, 1, MAX_BURST)


def _check_model(model: Model, deployment: Deployment) -> Iterator[_Finding]:
    path = ("models", model.name)
    if not _VERSION.fullmatch(model.version):
        reason = "allowed: at most 128 ASCII characters without spaces"
        yield _Finding((*path, "version"), f"{model.version!r}: {reason}")
    yield from _check_range(path, "load_tokens", model.load_tokens, 0, MAX_BURST)
    weight_store = deployment.weight_store
    if weight_store is not None and model.load_tokens > weight_store.burst:
        reason = f"is more than weight_store.burst ({weight_store.burst})"
        yield _Finding((*path, "load_tokens"), f"{model.load_tokens} {reason}")


def _check_pools(deployment: Deployment) -> Iterator[_Finding]:
    for route in deployment.routes_by_name.values():
        path = ("routes", route.name, "pool")
        yield from _check_pool(path, route.pool, route.kind, deployment)
    for model in deployment.models_by_name.values():
        path = ("models", model.name, "pool")
        yield from _check_pool(path, model.pool, "model", deployment)


def _check_pool(
    path: KeyPath, pool: str, kind: str, deployment: Deployment
) -> Iterator[_Finding]:
    servers = deployment.backend_servers_by_name.values()
    pools = sorted({server.pool for server in servers})
    if pool not in pools:
        known = ", ".join(pools) or "none"
        yield _Finding(path, f"no backend server is in pool {pool!r}; pools: {known}")
        return
    needed = ("prefill", "decode") if kind == "model" else ("plain",)
    for role in needed:
        if not deployment.pool(pool, role):
            yield _Finding(path, f"pool {pool!r} has no backend server of role {role}")


def _check_name(path: KeyPath) -> Iterator[_Finding]:
    if not is_name(path[-1]):
        yield _Finding(path, INVALID_NAME_REASON)


def _check_range(
    path: KeyPath, field: str, value: Any, lowest: Any, highest: Any
) -> Iterator[_Finding]:
    if not lowest <= value <= highest:
        if isinstance(value, timedelta):
            value, lowest, highest = map(format_duration, (value, lowest, highest))
        reason = f"{value} is out of range; allowed: {lowest} to {highest}"
        yield _Finding((*path, field), reason)
