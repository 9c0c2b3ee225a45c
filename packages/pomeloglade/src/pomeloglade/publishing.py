"""Publishes configurations by compare-and-swap and resolves lost answers."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.configuration_shards import (
    MAX_UNSHARDED_BYTES,
    ManifestError,
    ShardedConfiguration,
)
from pomeloglade_coordination.errors import (
    CoordinationError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    RevisionConflictError,
)
from pomeloglade_coordination.key_value import ABSENT, KeyValueStore

from .protocol.deployment import CONFIGURATION_KEY, PublishedDeployment, decode, encode
from .state.deployment import Deployment

MAX_RECENT_PUBLISHES = 32
RESOLVE_ATTEMPTS = 5
RESOLVE_DELAY_SECONDS = 1.0
EDIT_ATTEMPTS = 10
EDIT_DELAY_SECONDS = 0.1

PUBLISH_STEP = "publish"


@dataclass(frozen=True, slots=True)
class Current:
    """The published configuration as read, with its revision.

    ``in_shards`` is true if it is stored in several values.
    """

    published: PublishedDeployment
    revision: int
    in_shards: bool = False

    def includes(self, publish_id: str) -> bool:
        """Return whether that publish is the current one or a recent earlier one."""
        published = self.published
        return publish_id in (published.publish_id, *published.recent_publish_ids)

    def has_history_since(self, base: "Current") -> bool:
        """Return whether the recent publish ids cover all publishes since ``base``."""
        listed = len(self.published.recent_publish_ids)
        return listed < MAX_RECENT_PUBLISHES or self.includes(base.published.publish_id)


@dataclass(frozen=True, slots=True)
class Receipt:
    """The published configuration after a command.

    ``changed`` is false if the configuration already was as wanted, so that nothing
    was stored. ``answer_lost`` is true if a write's answer was lost and its outcome
    had to be determined afterwards. ``replaced`` is true if the publish named here
    is a later one of another operator, which kept the change.
    ``availability_zones`` are those in which the configuration has to come into
    force.
    """

    publish_id: str
    revision: int
    availability_zones: tuple[str, ...]
    changed: bool = True
    answer_lost: bool = False
    replaced: bool = False


def receipt_of(
    published: PublishedDeployment,
    revision: int,
    *,
    changed: bool = True,
    answer_lost: bool = False,
    replaced: bool = False,
) -> Receipt:
    """Return the receipt of ``published`` at ``revision``."""
    zones = published.deployment.availability_zones
    return Receipt(
        published.publish_id, revision, zones, changed, answer_lost, replaced
    )


@dataclass(frozen=True, slots=True)
class Draft:
    """The configuration to store in place of the current one."""

    deployment: Deployment
    withdrawn_digests: tuple[str, ...] = ()


class UnreadableConfigurationError(CoordinationError):
    """The stored configuration can't be decoded by this version."""


class PublishConflictError(CoordinationError):
    """Another operator published first, and nothing of this publish took effect."""


class PublishReplacedError(CoordinationError):
    """This publish took effect, and another one has replaced it since."""


class PublishUnknownError(CoordinationError):
    """The outcome of this publish could not be determined."""


class Publisher:
    """Reads and replaces the published configuration.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    clock : IReactorTime
        Delays the next attempt after a conflict or a lost answer.
    new_publish_id : callable
        Returns an id that no other publish has.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        new_publish_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._store = store
        self._sharded = ShardedConfiguration(store)
        self._clock = clock
        self._new_publish_id = new_publish_id

    def current(self) -> "Deferred[Current]":
        """Return the published configuration, an empty one at revision 0 if none."""
        return Deferred.fromCoroutine(self._current())

    def publish(self, base: Current, draft: Draft) -> "Deferred[Receipt]":
        """Store ``draft`` if ``base`` is still the current configuration.

        Fails with ``PublishConflictError``, ``PublishReplacedError`` or
        ``PublishUnknownError``; with ``KeyValueUnavailableError`` nothing took
        effect.
        """
        return Deferred.fromCoroutine(self._publish(base, draft))

    def edit(
        self, change: Callable[[PublishedDeployment], Draft | None]
    ) -> "Deferred[Receipt]":
        """Apply ``change`` to the current configuration and store the result.

        ``change`` returns ``None`` if the configuration needs no change. If another
        operator publishes first, ``change`` is applied again to what was published,
        so it must modify only the fields that it is for.
        """
        return Deferred.fromCoroutine(self._edit(change))

    async def _current(self) -> Current:
        entry = await self._store.get(CONFIGURATION_KEY)
        if entry is None:
            return Current(PublishedDeployment("", Deployment()), ABSENT)
        try:
            value = await self._sharded.assemble(entry)
            in_shards = value is not entry.value
            return Current(decode(value), entry.revision, in_shards)
        except (msgspec.MsgspecError, ManifestError) as error:
            raise UnreadableConfigurationError(
                f"the published configuration (revision {entry.revision}) cannot be"
                f" read: {error}",
                step="read configuration",
                peer="key-value service",
            ) from error

    async def _publish(self, base: Current, draft: Draft) -> Receipt:
        published = self._build_published(base.published, draft)
        try:
            revision = await self._put(base, published)
        except RevisionConflictError as error:
            raise await self._describe_conflict(base, error.actual) from error
        except KeyValueOutcomeUnknownError as error:
            return await self._resolve_lost_answer(base, published, error)
        return receipt_of(published, revision)

    def _build_published(
        self, before: PublishedDeployment, draft: Draft
    ) -> PublishedDeployment:
        earlier = (before.publish_id, *before.recent_publish_ids)
        recent = tuple(publish_id for publish_id in earlier if publish_id)
        return PublishedDeployment(
            self._new_publish_id(),
            draft.deployment,
            recent[:MAX_RECENT_PUBLISHES],
            draft.withdrawn_digests,
        )

    def _put(self, base: Current, published: PublishedDeployment) -> "Deferred[int]":
        value = encode(published)
        if base.in_shards or len(value) > MAX_UNSHARDED_BYTES:
            return self._sharded.publish(value, base.revision)
        return self._store.put(CONFIGURATION_KEY, value, expected=base.revision)

    async def _describe_conflict(
        self, base: Current, actual: int
    ) -> PublishConflictError:
        try:
            current = await self._current()
        except KeyValueUnavailableError:
            return _conflict_error(base, actual, "unknown")
        return _conflict_error(base, current.revision, current.published.publish_id)

    async def _resolve_lost_answer(
        self, base: Current, published: PublishedDeployment, cause: Exception
    ) -> Receipt:
        """Determine the outcome of a publish whose answer was lost.

        While the platform still holds ``base``, the same value is sent again: at
        most one of the two writes can pass the compare-and-swap.
        """
        for _ in range(RESOLVE_ATTEMPTS):
            try:
                current = await self._current()
                if current.revision != base.revision:
                    return _outcome_from(base, current, published)
                revision = await self._put(base, published)
                return receipt_of(published, revision, answer_lost=True)
            except RevisionConflictError:
                continue
            except (KeyValueOutcomeUnknownError, KeyValueUnavailableError) as error:
                cause = error
            await deferLater(self._clock, RESOLVE_DELAY_SECONDS)
        raise PublishUnknownError(
            f"publish {published.publish_id} may or may not take effect: {cause};"
            " check the published configuration once the platform answers again",
            step=PUBLISH_STEP,
            peer=getattr(cause, "peer", ""),
        ) from cause

    async def _edit(
        self, change: Callable[[PublishedDeployment], Draft | None]
    ) -> Receipt:
        for attempt in range(1, EDIT_ATTEMPTS + 1):
            base = await self._current()
            draft = change(base.published)
            if draft is None:
                return receipt_of(base.published, base.revision, changed=False)
            try:
                return await self._publish(base, draft)
            except PublishConflictError:
                if attempt == EDIT_ATTEMPTS:
                    raise
            except PublishReplacedError as error:
                return await self._confirm_kept(change, error)
            await deferLater(self._clock, EDIT_DELAY_SECONDS * attempt)
        raise AssertionError("the last attempt returns or raises")

    async def _confirm_kept(
        self, change: Callable[[PublishedDeployment], Draft | None], replaced: Exception
    ) -> Receipt:
        """Return a receipt if the publish that replaced this edit kept its change."""
        try:
            current = await self._current()
        except KeyValueUnavailableError:
            raise replaced from None
        if _is_kept(change, current.published):
            return receipt_of(
                current.published, current.revision, answer_lost=True, replaced=True
            )
        raise PublishReplacedError(
            f"the change took effect, and publish {current.published.publish_id}"
            f" (revision {current.revision}) has undone it since",
            step=PUBLISH_STEP,
        )


def _is_kept(
    change: Callable[[PublishedDeployment], Draft | None],
    published: PublishedDeployment,
) -> bool:
    try:
        return change(published) is None
    except CoordinationError:
        return False


def _outcome_from(
    base: Current, current: Current, published: PublishedDeployment
) -> Receipt:
    """Return the receipt of ``published``, or raise an error if it is not current."""
    publish_id = published.publish_id
    if current.published.publish_id == publish_id:
        return receipt_of(published, current.revision, answer_lost=True)
    latest = f"publish {current.published.publish_id} (revision {current.revision})"
    if current.includes(publish_id):
        raise PublishReplacedError(
            f"publish {publish_id} took effect, and {latest} has replaced it since;"
            " run diff again before publishing",
            step=PUBLISH_STEP,
        )
    if current.has_history_since(base):
        raise _conflict_error(base, current.revision, current.published.publish_id)
    raise PublishUnknownError(
        f"cannot tell whether publish {publish_id} took effect before {latest}:"
        f" more than {MAX_RECENT_PUBLISHES} publishes lie between",
        step=PUBLISH_STEP,
    )


def _conflict_error(base: Current, actual: int, publish_id: str) -> Exception:
    return PublishConflictError(
        "nothing was published: the change was computed from revision"
        f" {base.revision}, and publish {publish_id} (revision {actual}) came first;"
        " run diff again before publishing",
        step=PUBLISH_STEP,
        peer="key-value service",
    )
