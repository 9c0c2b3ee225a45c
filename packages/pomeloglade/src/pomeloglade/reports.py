"""Results of operators' commands as plain lines and as JSON."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import singledispatch
from itertools import groupby
from typing import Any

import msgspec

from pomeloglade_coordination.errors import CoordinationError

from .porcelain import (
    CreatedKey,
    Difference,
    EditResult,
    LiftResult,
    PublishResult,
    QuarantineList,
)
from .publishing import Current, Receipt
from .rollout import InstanceRollout, Rollout
from .state.deployment import ClientAccount, Deployment, Route
from .state.durations import format_duration
from .state.folder import BadFolderError, Folder
from .state.folder_checks import Problem
from .state.folder_merge import FieldChange


@dataclass(frozen=True, slots=True)
class FolderReport:
    """The numbers of items in a valid folder."""

    accounts: int
    routes: int
    backend_servers: int
    models: int


@dataclass(frozen=True, slots=True)
class ErrorReport:
    """An error as it is printed, as lines or as JSON."""

    error: str
    message: str
    step: str = ""
    peer: str = ""
    problems: tuple[Problem, ...] = ()


def folder_report(folder: Folder) -> FolderReport:
    """Return the numbers of items in ``folder``."""
    deployment = folder.deployment
    return FolderReport(
        len(deployment.accounts_by_name),
        len(deployment.routes_by_name),
        len(deployment.backend_servers_by_name),
        len(deployment.models_by_name),
    )


def error_report(error: Exception) -> ErrorReport:
    """Return ``error`` as it is to be printed."""
    name = type(error).__name__
    if isinstance(error, BadFolderError):
        return ErrorReport(name, "the folder has errors", problems=error.problems)
    if isinstance(error, CoordinationError):
        return ErrorReport(name, str(error), error.step, error.peer)
    return ErrorReport(name, str(error))


def json_text(*results: Any) -> str:
    """Return one line of JSON for each of ``results``."""
    return "\n".join(msgspec.json.encode(result).decode() for result in results)


@singledispatch
def lines(result: Any) -> Iterator[str]:
    """Yield the lines that describe ``result`` to an operator."""
    raise TypeError(f"no report for {type(result).__name__}")


@lines.register
def _(result: FolderReport) -> Iterator[str]:
    yield (
        f"good: {result.accounts} client accounts, {result.routes} routes,"
        f" {result.backend_servers} backend servers, {result.models} models"
    )


@lines.register
def _(result: ErrorReport) -> Iterator[str]:
    for problem in result.problems:
        yield str(problem)
    location = [f"step {result.step}"] if result.step else []
    location += [f"peer {result.peer}"] if result.peer else []
    suffix = f" ({', '.join(location)})" if location else ""
    count = len(result.problems)
    suffix += f": {count}; nothing was published" if count else ""
    yield f"error: {result.message}{suffix}"


@lines.register
def _(result: Difference) -> Iterator[str]:
    yield from _change_lines(result.changes, result.notices)
    yield f"computed from revision {result.revision}"


@lines.register
def _(result: PublishResult) -> Iterator[str]:
    yield from _change_lines(result.changes, result.notices)
    yield from lines(result.receipt)


@lines.register
def _(result: Receipt) -> Iterator[str]:
    if not result.changed:
        yield f"nothing to change: revision {result.revision} is published"
        return
    if result.replaced:
        yield (
            f"the change took effect; publish {result.publish_id} (revision"
            f" {result.revision}) came after it and kept it"
        )
        return
    answer_lost = "; the store's answer was lost, but the publish took effect"
    yield (
        f"published revision {result.revision} (publish {result.publish_id})"
        f"{answer_lost if result.answer_lost else ''}"
    )


@lines.register
def _(result: EditResult) -> Iterator[str]:
    yield result.description
    yield from lines(result.receipt)


@lines.register
def _(result: CreatedKey) -> Iterator[str]:
    yield result.key
    yield (
        f"key {result.key_name!r} of account {result.account!r};"
        " it is not kept anywhere and cannot be shown again"
    )
    yield from lines(result.receipt)


@lines.register
def _(result: QuarantineList) -> Iterator[str]:
    if not result.entries_by_key and not result.unreadable:
        yield "nothing is quarantined"
    for key, entry in sorted(result.entries_by_key.items()):
        until = datetime.fromtimestamp(entry.until, UTC).isoformat(timespec="seconds")
        servers = ", ".join(server for server, _ in entry.servers)
        versions = ", ".join(entry.software_versions) or "none"
        yield f"{key} until {until}: service {entry.service or 'unknown'}"
        yield f"  ended servers: {servers}"
        yield f"  no trial by software versions: {versions}"
    yield from (f"{key}: entry can't be decoded" for key in result.unreadable)


@lines.register
def _(result: LiftResult) -> Iterator[str]:
    yield f"key {result.key} is lifted"


@lines.register
def _(result: Rollout) -> Iterator[str]:
    for zone, instances in groupby(result.instances, lambda i: i.availability_zone):
        yield f"{zone or 'zone unknown'}:"
        yield from (f"  {_format_instance(each)}" for each in instances)
    for zone in result.unreached_zones:
        yield f"unreached: no instance of availability zone {zone} has it in force"
    count = sum(each.state == "in force" for each in result.instances)
    yield (
        f"revision {result.revision} is in force at {count} of"
        f" {len(result.instances)} instances"
    )


@lines.register
def _(result: Current) -> Iterator[str]:
    if not result.revision:
        yield "nothing is published"
        return
    yield f"revision {result.revision} (publish {result.published.publish_id})"
    yield from _deployment_lines(result.published.deployment)


def _format_instance(rollout: InstanceRollout) -> str:
    parts = [rollout.state]
    if rollout.revision:
        parts.append(f"revision {rollout.revision}")
    if rollout.leaving:
        parts.append("leaving")
    if rollout.heard_from not in ("", rollout.instance):
        parts.append(f"reported by {rollout.heard_from}")
    if rollout.error:
        parts.append(rollout.error)
    return f"{rollout.instance}: {', '.join(parts)}"


def _change_lines(
    changes: tuple[FieldChange, ...], notices: tuple[str, ...]
) -> Iterator[str]:
    for change in changes:
        if change.before is None:
            yield f"+ {change.key} = {change.after}"
        elif change.after is None:
            yield f"- {change.key} = {change.before}"
        else:
            yield f"~ {change.key} = {change.after} (was {change.before})"
    for notice in notices:
        yield f"note: {notice}"
    if not changes:
        yield "no changes"


def _deployment_lines(deployment: Deployment) -> Iterator[str]:
    yield f"availability zones: {', '.join(deployment.availability_zones)}"
    for _, account in sorted(deployment.accounts_by_name.items()):
        yield f"account {account.name}: {_format_account(account)}"
    for _, route in sorted(deployment.routes_by_name.items()):
        yield f"route {route.name}: {_format_route(route)}"
    for _, server in sorted(deployment.backend_servers_by_name.items()):
        yield (
            f"backend server {server.name}: {server.state}, {server.role} of pool"
            f" {server.pool}, {server.availability_zone}, {server.address}"
        )
    for _, model in sorted(deployment.models_by_name.items()):
        yield f"model {model.name}: pool {model.pool}"


def _format_account(account: ClientAccount) -> str:
    keys = ", ".join(sorted(account.key_digests)) or "none"
    return (
        f"rate {account.rate}, burst {account.burst}, weight {account.weight},"
        f" when cut off {account.when_cut_off}, keys {keys},"
        f" {len(account.withdrawn_digests)} withdrawn"
    )


def _format_route(route: Route) -> str:
    traits = [
        "open" if route.open else "with key",
        "idempotent" if route.idempotent else "not idempotent",
        "patient" if route.patient else "interactive",
    ]
    return (
        f"{route.prefix}, {route.kind} pool {route.pool}, {', '.join(traits)},"
        f" first token {format_duration(route.first_token)}"
    )
