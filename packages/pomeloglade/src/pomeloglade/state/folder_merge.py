"""Merges a folder with the changes that commands have made since."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass, replace
from datetime import timedelta
from functools import singledispatch
from typing import Any

from .deployment import BackendServer, ClientAccount, Deployment
from .durations import format_duration
from .folder import Folder


@dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of publishing a folder.

    ``withdrawn_digests`` are those of client accounts that are no longer in the
    folder. ``notices`` name the changes by commands that were kept although the
    folder does not contain them.
    """

    deployment: Deployment
    withdrawn_digests: tuple[str, ...]
    notices: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs between two deployments; ``None`` means absent."""

    key: str
    before: str | None
    after: str | None


def merge_folder(
    folder: Folder, published: Deployment, withdrawn_digests: tuple[str, ...]
) -> MergeResult:
    """Return the result of publishing ``folder`` over ``published``.

    A digest that was ever withdrawn stays withdrawn, even if the folder contains
    it. Keys created by commands are kept in addition to those of the folder. A
    backend server keeps its published state unless the folder sets one.
    """
    withdrawn = set(withdrawn_digests)
    for account in published.accounts_by_name.values():
        withdrawn.update(account.withdrawn_digests)
    notices: list[str] = []
    accounts = {
        name: _merge_account(account, published, withdrawn, notices)
        for name, account in folder.deployment.accounts_by_name.items()
    }
    servers = {
        name: _merge_backend_server(server, folder, published, notices)
        for name, server in folder.deployment.backend_servers_by_name.items()
    }
    deployment = replace(
        folder.deployment, accounts_by_name=accounts, backend_servers_by_name=servers
    )
    recorded = {d for account in accounts.values() for d in account.withdrawn_digests}
    return MergeResult(deployment, tuple(sorted(withdrawn - recorded)), tuple(notices))


def _merge_account(
    account: ClientAccount,
    published: Deployment,
    withdrawn: set[str],
    notices: list[str],
) -> ClientAccount:
    previous = published.accounts_by_name.get(account.name)
    previous_digests = previous.key_digests if previous else {}
    digests = previous_digests | account.key_digests
    for key_name in sorted(digests):
        key = f"accounts.{account.name}.key_digests.{key_name}"
        if digests[key_name] in withdrawn:
            del digests[key_name]
            notices.append(f"{key}: was withdrawn and stays so")
        elif key_name not in account.key_digests:
            notices.append(f"{key}: kept, though the folder does not hold it")
    return replace(
        account,
        key_digests=digests,
        withdrawn_digests=previous.withdrawn_digests if previous else (),
    )


def _merge_backend_server(
    server: BackendServer, folder: Folder, published: Deployment, notices: list[str]
) -> BackendServer:
    previous = published.backend_servers_by_name.get(server.name)
    if previous is None or server.name in folder.stated_states:
        return server
    if previous.state != server.state:
        notices.append(
            f"backend_servers.{server.name}.state: stays {previous.state},"
            " because the folder states none"
        )
    return replace(server, state=previous.state)


def diff_deployments(before: Deployment, after: Deployment) -> tuple[FieldChange, ...]:
    """Return all fields that differ, sorted by key."""
    old = dict(_flatten("", before))
    new = dict(_flatten("", after))
    return tuple(
        FieldChange(key, old.get(key), new.get(key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    )


def _flatten(key: str, value: Any) -> Iterator[tuple[str, str]]:
    if is_dataclass(value):
        names = [field.name for field in fields(value) if field.name != "name"]
        parts = {name: getattr(value, name) for name in names}
    elif isinstance(value, Mapping):
        parts = value
    else:
        yield key, _format_value(value)
        return
    for name, part in parts.items():
        name = name.removesuffix("_by_name")
        yield from _flatten(f"{key}.{name}" if key else name, part)


@singledispatch
def _format_value(value: Any) -> str:
    return str(value)


@_format_value.register
def _(value: tuple) -> str:
    return ", ".join(value) or "none"


@_format_value.register
def _(value: timedelta) -> str:
    return format_duration(value)


@_format_value.register
def _(value: bool) -> str:
    return str(value).lower()
