"""Operators' commands as Python calls, from checking a folder to creating keys."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path

import msgspec
from twisted.internet.defer import Deferred

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.errors import CoordinationError
from pomeloglade_coordination.key_value import KeyValueStore

from .keys import create_key
from .protocol import quarantine
from .protocol.deployment import DeploymentTooLargeError, PublishedDeployment, encode
from .protocol.quarantine import QUARANTINE_PREFIX, QuarantineEntry
from .publishing import (
    Current,
    Draft,
    PublishConflictError,
    Publisher,
    Receipt,
    receipt_of,
)
from .rollout import Rollout, RolloutReader
from .state.deployment import BackendState, ClientAccount
from .state.folder import BadFolderError, Folder, read_folder
from .state.folder_checks import INVALID_NAME_REASON, Problem, is_name
from .state.folder_merge import FieldChange, MergeResult, diff_deployments, merge_folder
from .state.keys import digest_key
from .transport.status import StatusClient

DEFAULT_WAIT = timedelta(seconds=30)


class OperationRefusedError(CoordinationError):
    """The published configuration does not allow the command."""


@dataclass(frozen=True, slots=True)
class Difference:
    """What publishing a folder would change, computed from ``revision``."""

    revision: int
    publish_id: str
    changes: tuple[FieldChange, ...]
    notices: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PublishResult:
    """A folder that was published, with what it changed."""

    receipt: Receipt
    changes: tuple[FieldChange, ...]
    notices: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CreatedKey:
    """A new key; this is the only place where it can be read."""

    account: str
    key_name: str
    key: str
    receipt: Receipt


@dataclass(frozen=True, slots=True)
class EditResult:
    """The result of an edit; ``description`` states the change in one sentence."""

    description: str
    receipt: Receipt


@dataclass(frozen=True, slots=True)
class QuarantineList:
    """The quarantined keys, as 16 hexadecimal digits, with their entries.

    ``unreadable`` has the keys of entries that can't be decoded.
    """

    entries_by_key: dict[str, QuarantineEntry]
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LiftResult:
    """A quarantined key that was lifted."""

    key: str


def check(folder: Path) -> Folder:
    """Return the parsed contents of ``folder`` without publishing them.

    Raises ``BadFolderError`` with every error.
    """
    contents = read_folder(folder)
    try:
        encode(PublishedDeployment("", contents.deployment))
    except DeploymentTooLargeError as error:
        raise BadFolderError((Problem(str(folder), 0, "", str(error)),)) from error
    return contents


class Operations:
    """The operators' commands on one platform.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    statuses : StatusClient
        Asks instances what they have in force.
    clock : IReactorTime
        Delays retries and polls.
    publisher : Publisher, optional
        Replaces the published configuration.
    """

    def __init__(
        self,
        store: KeyValueStore,
        statuses: StatusClient,
        clock: Clock,
        publisher: Publisher | None = None,
    ) -> None:
        self._store = store
        self._publisher = publisher or Publisher(store, clock)
        self._rollouts = RolloutReader(store, statuses, clock)

    def show(self) -> "Deferred[Current]":
        """Return the published configuration."""
        return self._publisher.current()

    def diff(self, folder: Path) -> "Deferred[Difference]":
        """Return what publishing ``folder`` would change."""
        return Deferred.fromCoroutine(self._diff(folder))

    def publish(
        self, folder: Path, expected_revision: int | None = None
    ) -> "Deferred[PublishResult]":
        """Publish ``folder`` over the current configuration.

        With ``expected_revision``, usually that of an earlier ``diff``, fails with
        ``PublishConflictError`` if another revision is published.
        """
        return Deferred.fromCoroutine(self._publish(folder, expected_revision))

    def wait_in_force(
        self, receipt: Receipt, timeout: timedelta = DEFAULT_WAIT
    ) -> "Deferred[Rollout]":
        """Wait until ``receipt`` is in force everywhere or ``timeout`` has passed."""
        zones = receipt.availability_zones
        waiting = self._rollouts.wait(receipt.revision, zones, timeout)
        return Deferred.fromCoroutine(waiting)

    def status(self, addresses: tuple[str, ...] = ()) -> "Deferred[Rollout]":
        """Return which instances have the published configuration in force.

        With ``addresses`` only those instances are asked, not the platform; the
        newest revision that they know of is then taken as the published one.
        """
        return Deferred.fromCoroutine(self._status(addresses))

    def create_key(self, account: str, key_name: str) -> "Deferred[CreatedKey]":
        """Create a key for ``account`` and publish its digest."""
        return Deferred.fromCoroutine(self._create_key(account, key_name))

    def withdraw_key(self, account: str, key_name: str) -> "Deferred[EditResult]":
        """Withdraw a key permanently."""
        return Deferred.fromCoroutine(self._withdraw_key(account, key_name))

    def list_quarantine(self) -> "Deferred[QuarantineList]":
        """Return the requests and prompt parts that instances refuse."""
        return Deferred.fromCoroutine(self._list_quarantine())

    def lift_quarantine(self, key: str) -> "Deferred[LiftResult]":
        """Let instances send calls with a quarantined key again.

        Further ends of servers count anew. Fails with ``OperationRefusedError`` if the
        key is not quarantined.
        """
        return Deferred.fromCoroutine(self._lift_quarantine(key))

    def set_backend_state(
        self, backend: str, state: BackendState
    ) -> "Deferred[EditResult]":
        """Set the state of one backend server."""
        return Deferred.fromCoroutine(self._set_backend_state(backend, state))

    async def _diff(self, folder: Path) -> Difference:
        contents = check(folder)
        current = await self._publisher.current()
        merged = _merge(contents, current)
        return Difference(
            current.revision,
            current.published.publish_id,
            diff_deployments(current.published.deployment, merged.deployment),
            merged.notices,
        )

    async def _publish(
        self, folder: Path, expected_revision: int | None
    ) -> PublishResult:
        contents = check(folder)
        current = await self._publisher.current()
        if expected_revision not in (None, current.revision):
            raise PublishConflictError(
                f"nothing was published: the current revision is {current.revision}"
                f" (publish {current.published.publish_id or 'none'}),"
                f" expected {expected_revision}; run diff again before publishing",
                step="publish",
                peer="key-value service",
            )
        merged = _merge(contents, current)
        before = current.published.deployment
        changes = diff_deployments(before, merged.deployment)
        receipt = receipt_of(current.published, current.revision, changed=False)
        if changes:
            draft = Draft(merged.deployment, merged.withdrawn_digests)
            receipt = await self._publisher.publish(current, draft)
        return PublishResult(receipt, changes, merged.notices)

    async def _status(self, addresses: tuple[str, ...]) -> Rollout:
        if addresses:
            return await self._rollouts.ask(addresses)
        current = await self._publisher.current()
        zones = current.published.deployment.availability_zones
        return await self._rollouts.read(current.revision, zones)

    async def _create_key(self, account: str, key_name: str) -> CreatedKey:
        if not is_name(key_name):
            raise OperationRefusedError(
                f"{key_name!r} is {INVALID_NAME_REASON}", step="keys create"
            )
        key = create_key()
        digest = digest_key(key)

        def change(current: ClientAccount) -> ClientAccount | None:
            present = current.key_digests.get(key_name)
            if present == digest:
                return None
            if present is not None:
                raise OperationRefusedError(
                    f"account {account!r} already has a key named {key_name!r};"
                    " withdraw it first, or use another name",
                    step="keys create",
                )
            return replace(
                current, key_digests=current.key_digests | {key_name: digest}
            )

        receipt = await self._publisher.edit(_edit_account(account, change))
        return CreatedKey(account, key_name, key, receipt)

    async def _withdraw_key(self, account: str, key_name: str) -> EditResult:
        digest_to_withdraw = ""

        def change(current: ClientAccount) -> ClientAccount | None:
            nonlocal digest_to_withdraw
            digest = current.key_digests.get(key_name, "")
            if digest_to_withdraw and digest != digest_to_withdraw:
                # After a conflict, the name may be that of a newer key, which stays.
                return None
            if not digest:
                names = ", ".join(sorted(current.key_digests)) or "none"
                raise OperationRefusedError(
                    f"account {account!r} has no key named {key_name!r}; keys: {names}",
                    step="keys withdraw",
                )
            digest_to_withdraw = digest
            return _without_key(current, key_name)

        receipt = await self._publisher.edit(_edit_account(account, change))
        return EditResult(f"withdrew key {key_name!r} of account {account!r}", receipt)

    async def _list_quarantine(self) -> QuarantineList:
        entries_by_key, unreadable = {}, []
        for entry in await self._store.list(QUARANTINE_PREFIX):
            key = entry.key.removeprefix(QUARANTINE_PREFIX)
            try:
                entries_by_key[key] = quarantine.decode(entry.value)
            except msgspec.MsgspecError:
                unreadable.append(key)
        return QuarantineList(entries_by_key, tuple(unreadable))

    async def _lift_quarantine(self, key: str) -> LiftResult:
        step = "quarantine lift"
        name = QUARANTINE_PREFIX + key
        if await self._store.get(name) is None:
            entries = await self._store.list(QUARANTINE_PREFIX)
            known = ", ".join(e.key.removeprefix(QUARANTINE_PREFIX) for e in entries)
            raise OperationRefusedError(
                f"key {key!r} is not quarantined; quarantined: {known or 'none'}",
                step=step,
            )
        await self._store.delete(name)
        return LiftResult(key)

    async def _set_backend_state(self, backend: str, state: BackendState) -> EditResult:
        def change(published: PublishedDeployment) -> Draft | None:
            deployment = published.deployment
            servers = deployment.backend_servers_by_name
            if backend not in servers:
                known = ", ".join(sorted(servers)) or "none"
                raise OperationRefusedError(
                    f"backend server {backend!r} does not exist; known: {known}",
                    step="set state",
                )
            if servers[backend].state == state:
                return None
            changed = servers | {backend: replace(servers[backend], state=state)}
            deployment = replace(deployment, backend_servers_by_name=changed)
            return Draft(deployment, published.withdrawn_digests)

        receipt = await self._publisher.edit(change)
        return EditResult(f"backend server {backend!r} is {state}", receipt)


def _merge(contents: Folder, current: Current) -> MergeResult:
    published = current.published
    return merge_folder(contents, published.deployment, published.withdrawn_digests)


def _edit_account(
    account: str, change: Callable[[ClientAccount], ClientAccount | None]
) -> Callable[[PublishedDeployment], Draft | None]:
    """Return a configuration change that applies ``change`` to one client account."""

    def edit(published: PublishedDeployment) -> Draft | None:
        deployment = published.deployment
        accounts = deployment.accounts_by_name
        if account not in accounts:
            known = ", ".join(sorted(accounts)) or "none"
            raise OperationRefusedError(
                f"account {account!r} does not exist; known: {known}", step="keys"
            )
        changed = change(accounts[account])
        if changed is None:
            return None
        deployment = replace(deployment, accounts_by_name=accounts | {account: changed})
        return Draft(deployment, published.withdrawn_digests)

    return edit


def _without_key(account: ClientAccount, key_name: str) -> ClientAccount:
    digests = dict(account.key_digests)
    digest = digests.pop(key_name)
    withdrawn = (*account.withdrawn_digests, digest)
    return replace(account, key_digests=digests, withdrawn_digests=withdrawn)
