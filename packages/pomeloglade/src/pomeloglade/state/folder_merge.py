"""Joins a folder with what commands have changed since."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields, is_dataclass, replace
from datetime import timedelta
from functools import singledispatch
from typing import Any

from .deployment import BackendServer, ClientAccount, Deployment
from .durations import format_duration
from .folder import Folder


@dataclass(frozen=True, slots=True)
class Merged:
    """The deployment that publishing a folder leads to.

    ``withdrawn_digests`` are those of client accounts that the folder no longer
    holds. ``notices`` tell where commands were kept against the folder.
    """

    deployment: Deployment
    withdrawn_digests: tuple[str, ...]
    notices: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FieldChange:
    """One field that differs; ``None`` stands for absent."""

    key: str
    before: str | None
    after: str | None


def merge_folder(
    folder: Folder, published: Deployment, withdrawn_digests: tuple[str, ...]
) -> Merged:
    """Return what publishing ``folder`` over ``published`` leads to.

    A digest that was ever withdrawn stays withdrawn, whatever the folder says.
    Keys made by commands are kept beside those of the folder. A backend server
    keeps its published state unless the folder states one.
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
    kept = {d for account in accounts.values() for d in account.withdrawn_digests}
    return Merged(deployment, tuple(sorted(withdrawn - kept)), tuple(notices))


def _merge_account(
    account: ClientAccount,
    published: Deployment,
    withdrawn: set[str],
    notices: list[str],
) -> ClientAccount:
    earlier = published.accounts_by_name.get(account.name)
    earlier_digests = earlier.key_digests if earlier else {}
    digests = earlier_digests | account.key_digests
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
        withdrawn_digests=earlier.withdrawn_digests if earlier else (),
    )


def _merge_backend_server(
    server: BackendServer, folder: Folder, published: Deployment, notices: list[str]
) -> BackendServer:
    earlier = published.backend_servers_by_name.get(server.name)
    if earlier is None or server.name in folder.stated_states:
        return server
    if earlier.state != server.state:
        notices.append(
            f"backend_servers.{server.name}.state: stays {earlier.state},"
            " because the folder states none"
        )
    return replace(server, state=earlier.state)


def diff_deployments(before: Deployment, after: Deployment) -> tuple[FieldChange, ...]:
    """Return every field that differs, sorted by key."""
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
        yield key, _text(value)
        return
    for name, part in parts.items():
        name = name.removesuffix("_by_name")
        yield from _flatten(f"{key}.{name}" if key else name, part)


@singledispatch
def _text(value: Any) -> str:
    return str(value)


@_text.register
def _(value: tuple) -> str:
    return ", ".join(value) or "none"


@_text.register
def _(value: timedelta) -> str:
    return format_duration(value)


@_text.register
def _(value: bool) -> str:
    return str(value).lower()
