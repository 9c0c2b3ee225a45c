"""Stores a configuration of any size under a single key with compare-and-swap."""

import random as random_module
from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.defer import inlineCallbacks

from .configuration_delta import digest, split_by_content
from .errors import (
    CoordinationError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    RevisionConflictError,
)
from .json_decoding import decode_json
from .key_value import ABSENT, Entry, KeyValueStore

CONFIGURATION_KEY = "configuration"
SHARD_PREFIX = "deployment-shard/"
MAX_UNSHARDED_BYTES = 64_000
"""Up to this size a value is stored directly under its key, without shards."""

SHARD_BYTES = 32_000
PUBLISH_ATTEMPTS = 5

_MANIFEST_HEADER = b"pomeloglade manifest\n"


class PublishOvertakenError(KeyValueOutcomeUnknownError):
    """The answer to a write was lost, and another operator has published since.

    The write may have been in force in between.
    """

    def __init__(self, expected: int, actual: int) -> None:
        super().__init__(
            f"the answer to a write based on revision {expected} was lost, and the"
            f" configuration is now at revision {actual}",
            step="publish",
            peer="key-value service",
        )


class ManifestError(CoordinationError):
    """A manifest does not decode, or its shards are missing or do not match."""


@dataclass(frozen=True, slots=True)
class Shard:
    """A part of the value: its key without ``SHARD_PREFIX``, and its hex digest."""

    name: str
    digest: str


@dataclass(frozen=True, slots=True)
class Manifest:
    """The list of shards that the configuration key holds for a large value."""

    digest: str
    shards: tuple[Shard, ...]


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """A configuration as read, and its revision as the base of a change."""

    value: bytes
    revision: int


def decode_manifest(value: bytes) -> Manifest | None:
    """Return the manifest in ``value``, or ``None`` if it is a whole configuration."""
    if not value.startswith(_MANIFEST_HEADER):
        return None
    try:
        return decode_json(value[len(_MANIFEST_HEADER) :], Manifest)
    except msgspec.DecodeError as error:
        raise ManifestError(f"the manifest can't be decoded: {error}") from error


class ShardedConfiguration:
    """Publishes and reads the configuration, split into shards when it is large.

    A publish writes the changed shards under new keys, then replaces the manifest by
    compare-and-swap. Two operators can therefore write shards at the same time, and
    one of them gets a ``RevisionConflictError``. After a lost answer the key is read
    back to find out whether the write was applied.

    Parameters
    ----------
    store : KeyValueStore
        The platform's key-value service.
    random : random.Random
        Generates the names of new shards.
    """

    def __init__(
        self, store: KeyValueStore, random: random_module.Random | None = None
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._store = store
        self._random = random or random_module.SystemRandom()
        self._shards_by_name: dict[str, bytes] = {}

    @inlineCallbacks
    def read(self) -> Generator[Any, Any, PublishedConfiguration | None]:
        """Return the configuration in the store, or ``None`` if there is none."""
        entry = yield self._store.get(CONFIGURATION_KEY)
        if entry is None:
            return None
        value = yield self.assemble(entry)
        return PublishedConfiguration(value, entry.revision)

    @inlineCallbacks
    def assemble(self, entry: Entry) -> Generator[Any, Any, bytes]:
        """Return the whole value for an entry of the configuration key.

        Shards of the last assembled value are cached and not read again.
        """
        manifest = decode_manifest(entry.value)
        if manifest is None:
            return entry.value
        shards_by_name = {}
        for shard in manifest.shards:
            data = self._shards_by_name.get(shard.name)
            if data is None:
                data = yield self._read_shard(shard)
            shards_by_name[shard.name] = data
        value = b"".join(shards_by_name[each.name] for each in manifest.shards)
        if digest(value).hex() != manifest.digest:
            raise ManifestError(
                f"the digest of the joined shards is not {manifest.digest}",
                step="assemble",
            )
        self._shards_by_name = shards_by_name
        return value

    @inlineCallbacks
    def _read_shard(self, shard: Shard) -> Generator[Any, Any, bytes]:
        self.counters["shards_read"] += 1
        entry = yield self._store.get(SHARD_PREFIX + shard.name)
        if entry is None:
            raise ManifestError(f"shard {shard.name} is missing", step="assemble")
        if digest(entry.value).hex() != shard.digest:
            raise ManifestError(
                f"the digest of shard {shard.name} is not {shard.digest}",
                step="assemble",
            )
        return entry.value

    @inlineCallbacks
    def publish(self, value: bytes, expected: int) -> Generator[Any, Any, int]:
        """Replace the configuration at revision ``expected``; return the new revision.

        Fails with ``RevisionConflictError`` if another operator published first; the
        shards of this publish are then deleted. Fails with ``PublishOvertakenError``
        if it can't be determined whether this publish was applied before another.
        """
        if len(value) <= MAX_UNSHARDED_BYTES and expected == ABSENT:
            revision = yield self._compare_and_swap(value, expected)
            return revision
        before = yield self._store.get(CONFIGURATION_KEY)
        actual = before.revision if before else ABSENT
        if actual != expected:
            raise RevisionConflictError(CONFIGURATION_KEY, expected, actual)
        old = decode_manifest(before.value) if before else None
        old_shards = old.shards if old else ()
        written, stored = yield self._write_shards(value, old_shards)
        try:
            revision = yield self._compare_and_swap(stored, expected)
        except (RevisionConflictError, KeyValueUnavailableError):
            yield self._delete_shards(written)
            raise
        kept = decode_manifest(stored)
        kept_names = {each.name for each in kept.shards} if kept else set()
        unused = [each.name for each in old_shards if each.name not in kept_names]
        yield self._delete_shards(unused)
        return revision

    @inlineCallbacks
    def _write_shards(
        self, value: bytes, old: tuple[Shard, ...]
    ) -> Generator[Any, Any, tuple[list[str], bytes]]:
        """Write the shards that ``old`` lacks.

        Returns the names written and the value for the configuration key.
        """
        if len(value) <= MAX_UNSHARDED_BYTES:
            return [], value
        name_by_digest = {each.digest: each.name for each in old}
        publish = f"{self._random.getrandbits(48):012x}"
        written: list[str] = []
        shards: list[Shard] = []
        for number, piece in enumerate(split_by_content(value, SHARD_BYTES)):
            piece_digest = digest(piece).hex()
            name = name_by_digest.get(piece_digest)
            if name is None:
                name = f"{publish}-{number}"
                name_by_digest[piece_digest] = name
                written.append(name)
                yield self._write_shard(SHARD_PREFIX + name, piece)
            shards.append(Shard(name, piece_digest))
        manifest = Manifest(digest(value).hex(), tuple(shards))
        return written, _MANIFEST_HEADER + msgspec.json.encode(manifest)

    @inlineCallbacks
    def _write_shard(self, key: str, value: bytes) -> Generator[Any, Any, None]:
        """Write a shard with retries; no other publish writes its key."""
        self.counters["shards_written"] += 1
        for _ in range(PUBLISH_ATTEMPTS - 1):
            try:
                yield self._store.put(key, value)
            except (KeyValueOutcomeUnknownError, KeyValueUnavailableError):
                self.counters["shard_retries"] += 1
            else:
                return
        yield self._store.put(key, value)

    @inlineCallbacks
    def _compare_and_swap(
        self, value: bytes, expected: int
    ) -> Generator[Any, Any, int]:
        try:
            revision = yield self._store.put(
                CONFIGURATION_KEY, value, expected=expected
            )
        except KeyValueOutcomeUnknownError:
            self.counters["answers_lost"] += 1
        else:
            return revision
        revision = yield self._resolve_lost_answer(value, expected)
        return revision

    @inlineCallbacks
    def _resolve_lost_answer(
        self, value: bytes, expected: int
    ) -> Generator[Any, Any, int]:
        """Determine by reading back whether a write was applied; retry it if not."""
        for _ in range(PUBLISH_ATTEMPTS):
            entry = yield self._read_back()
            actual = entry.revision if entry else ABSENT
            if entry is not None and actual != expected and entry.value == value:
                return actual
            if actual != expected:
                raise PublishOvertakenError(expected, actual)
            try:
                revision = yield self._store.put(
                    CONFIGURATION_KEY, value, expected=expected
                )
            except (KeyValueOutcomeUnknownError, RevisionConflictError):
                self.counters["answers_lost"] += 1
            else:
                return revision
        raise KeyValueOutcomeUnknownError(
            "no write of the configuration was answered",
            step="publish",
            peer="key-value service",
        )

    @inlineCallbacks
    def _read_back(self) -> Generator[Any, Any, Entry | None]:
        try:
            entry = yield self._store.get(CONFIGURATION_KEY)
        except KeyValueUnavailableError as error:
            raise KeyValueOutcomeUnknownError(
                "the configuration could not be read back after an unanswered write",
                step="publish",
                peer="key-value service",
            ) from error
        return entry

    @inlineCallbacks
    def _delete_shards(self, names: list[str]) -> Generator[Any, Any, None]:
        """Delete shards that no manifest names; count those that can't be deleted."""
        for name in names:
            try:
                yield self._store.delete(SHARD_PREFIX + name)
            except (KeyValueOutcomeUnknownError, KeyValueUnavailableError):
                self.counters["shards_left_behind"] += 1
