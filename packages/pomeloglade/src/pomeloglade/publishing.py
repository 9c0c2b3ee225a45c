"""Stores configurations by compare-and-swap and settles lost answers."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from pomeloglade_coordination.clock import Clock
from pomeloglade_coordination.configuration_shards import (
    WHOLE_VALUE_BYTES,
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

from .protocol.deployment import CONFIGURATION_KEY, Published, decode, encode
from .state.deployment import Deployment

RECENT_PUBLISHES = 32
SETTLE_ATTEMPTS = 5
SETTLE_DELAY_SECONDS = 1.0
EDIT_ATTEMPTS = 10
EDIT_DELAY_SECONDS = 0.1

STEP = "publish"


@dataclass(frozen=True, slots=True)
class Current:
    """The published configuration as read, with its revision.

    ``in_shards`` tells that it is stored in several values.
    """

    published: Published
    revision: int
    in_shards: bool = False

    def knows(self, publish_id: str) -> bool:
        """Return whether that publish took effect, here or before."""
        published = self.published
        return publish_id in (published.publish_id, *published.recent_publish_ids)

    def follows(self, base: "Current") -> bool:
        """Return whether all publishes since ``base`` are listed."""
        listed = len(self.published.recent_publish_ids)
        return listed < RECENT_PUBLISHES or self.knows(base.published.publish_id)


@dataclass(frozen=True, slots=True)
class Receipt:
    """A configuration in force at the platform.

    ``changed`` is false when it already was as wanted and nothing was stored.
    ``answer_lost`` tells that reading back had to settle whether it was stored.
    ``replaced`` tells that the publish named came after it and kept the change.
    ``availability_zones`` are where it has to come into force.
    """

    publish_id: str
    revision: int
    availability_zones: tuple[str, ...]
    changed: bool = True
    answer_lost: bool = False
    replaced: bool = False


def receipt_of(
    published: Published,
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
    """What is to be stored in place of the current configuration."""

    deployment: Deployment
    withdrawn_digests: tuple[str, ...] = ()


class UnreadableConfigurationError(CoordinationError):
    """What the platform holds is not a configuration of this version."""


class PublishConflictError(CoordinationError):
    """Another operator published first, and nothing of this publish took effect."""


class PublishReplacedError(CoordinationError):
    """This publish took effect, and another one has replaced it since."""


class PublishUnknownError(CoordinationError):
    """Whether this publish took effect could not be settled."""


class Publisher:
    """Reads and replaces the published configuration.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    clock : IReactorTime
        Spaces attempts to settle a lost answer.
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

    def edit(self, change: Callable[[Published], Draft | None]) -> "Deferred[Receipt]":
        """Store what ``change`` makes of the current configuration.

        ``change`` returns ``None`` when nothing is left to do. It is applied
        again to what a racing operator published, so it must touch only fields
        of its own.
        """
        return Deferred.fromCoroutine(self._edit(change))

    async def _current(self) -> Current:
        entry = await self._store.get(CONFIGURATION_KEY)
        if entry is None:
            return Current(Published("", Deployment()), ABSENT)
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
        published = self._published(base.published, draft)
        try:
            revision = await self._put(base, published)
        except RevisionConflictError as error:
            raise await self._conflict(base, error.actual) from error
        except KeyValueOutcomeUnknownError as error:
            return await self._settle(base, published, error)
        return receipt_of(published, revision)

    def _published(self, before: Published, draft: Draft) -> Published:
        earlier = (before.publish_id, *before.recent_publish_ids)
        recent = tuple(publish_id for publish_id in earlier if publish_id)
        return Published(
            self._new_publish_id(),
            draft.deployment,
            recent[:RECENT_PUBLISHES],
            draft.withdrawn_digests,
        )

    def _put(self, base: Current, published: Published) -> "Deferred[int]":
        value = encode(published)
        if base.in_shards or len(value) > WHOLE_VALUE_BYTES:
            return self._sharded.publish(value, base.revision)
        return self._store.put(CONFIGURATION_KEY, value, expected=base.revision)

    async def _conflict(self, base: Current, actual: int) -> PublishConflictError:
        try:
            current = await self._current()
        except KeyValueUnavailableError:
            return _conflict_error(base, actual, "unknown")
        return _conflict_error(base, current.revision, current.published.publish_id)

    async def _settle(
        self, base: Current, published: Published, cause: Exception
    ) -> Receipt:
        """Find out what became of a publish whose answer was lost.

        The same change is sent again while the platform still holds ``base``: only
        one of the two can pass the comparison.
        """
        for _ in range(SETTLE_ATTEMPTS):
            try:
                current = await self._current()
                if current.revision != base.revision:
                    return _outcome(base, current, published)
                revision = await self._put(base, published)
                return receipt_of(published, revision, answer_lost=True)
            except RevisionConflictError:
                continue
            except (KeyValueOutcomeUnknownError, KeyValueUnavailableError) as error:
                cause = error
            await deferLater(self._clock, SETTLE_DELAY_SECONDS)
        raise PublishUnknownError(
            f"publish {published.publish_id} may or may not take effect: {cause};"
            " look at the published configuration once the platform answers",
            step=STEP,
            peer=getattr(cause, "peer", ""),
        ) from cause

    async def _edit(self, change: Callable[[Published], Draft | None]) -> Receipt:
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
                return await self._confirm(change, error)
            await deferLater(self._clock, EDIT_DELAY_SECONDS * attempt)
        raise AssertionError("the last attempt returns or raises")

    async def _confirm(
        self, change: Callable[[Published], Draft | None], replaced: Exception
    ) -> Receipt:
        """Return a receipt if the edit outlived the publish that replaced it."""
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
            step=STEP,
        )


def _is_kept(change: Callable[[Published], Draft | None], published: Published) -> bool:
    try:
        return change(published) is None
    except CoordinationError:
        return False


def _outcome(base: Current, current: Current, published: Published) -> Receipt:
    publish_id = published.publish_id
    if current.published.publish_id == publish_id:
        return receipt_of(published, current.revision, answer_lost=True)
    by = f"publish {current.published.publish_id} (revision {current.revision})"
    if current.knows(publish_id):
        raise PublishReplacedError(
            f"publish {publish_id} took effect, and {by} has replaced it since;"
            " compare the folder with it again",
            step=STEP,
        )
    if current.follows(base):
        raise _conflict_error(base, current.revision, current.published.publish_id)
    raise PublishUnknownError(
        f"cannot tell whether publish {publish_id} took effect before {by}:"
        f" more than {RECENT_PUBLISHES} publishes lie between",
        step=STEP,
    )


def _conflict_error(base: Current, actual: int, publish_id: str) -> Exception:
    return PublishConflictError(
        f"nothing was published: this was computed from revision {base.revision},"
        f" and publish {publish_id} (revision {actual}) came first;"
        " compare the folder with it again",
        step=STEP,
        peer="key-value service",
    )
