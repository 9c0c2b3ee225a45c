"""Stores a configuration of any size under one compare-and-swap revision."""

import random as random_module
from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.defer import inlineCallbacks

from .configuration_delta import digest, pieces
from .errors import (
    CoordinationError,
    KeyValueOutcomeUnknownError,
    KeyValueUnavailableError,
    RevisionConflictError,
)
from .key_value import ABSENT, Entry, KeyValueStore

CONFIGURATION_KEY = "configuration"
SHARD_PREFIX = "deployment-shard/"
WHOLE_VALUE_BYTES = 64_000
"""Up to this size a value stands under its key as it is, without shards."""

SHARD_BYTES = 32_000
PUBLISH_ATTEMPTS = 5

_MANIFEST_MARK = b"pomeloglade manifest\n"


class PublishOvertakenError(KeyValueOutcomeUnknownError):
    """An answer was lost, and another operator has published since.

    The lost write may have been in force in between.
    """

    def __init__(self, expected: int, actual: int) -> None:
        super().__init__(
            f"the configuration went on from revision {expected} to {actual}"
            " after an answer was lost",
            step="publish",
            peer="key-value service",
        )


class ManifestError(CoordinationError):
    """A manifest that does not decode, or whose shards are missing or wrong."""


@dataclass(frozen=True, slots=True)
class Shard:
    """A part of the value: the rest of its key, and its digest in hex."""

    name: str
    digest: str


@dataclass(frozen=True, slots=True)
class Manifest:
    """What the configuration key holds in place of a large value."""

    digest: str
    shards: tuple[Shard, ...]


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """A configuration read back, with the revision to compute a change from."""

    value: bytes
    revision: int


def decode_manifest(value: bytes) -> Manifest | None:
    """Return the manifest in ``value``, or ``None`` when it stands for itself."""
    if not value.startswith(_MANIFEST_MARK):
        return None
    try:
        return msgspec.json.decode(value[len(_MANIFEST_MARK) :], type=Manifest)
    except msgspec.DecodeError as error:
        raise ManifestError(f"manifest does not decode: {error}") from error


class ShardedConfiguration:
    """Publishes and reads the configuration, in shards when it is large.

    A publish writes the shards that changed under keys of its own, then replaces
    the manifest by compare-and-swap. Two operators can therefore write shards at
    the same time, and one of them gets a ``RevisionConflictError``. A lost answer is
    resolved by reading the key back.

    Parameters
    ----------
    store : KeyValueStore
        The platform's service.
    random : random.Random
        Names the shards of a publish.
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
        """Return the configuration in the store, or ``None`` when there is none."""
        entry = yield self._store.get(CONFIGURATION_KEY)
        if entry is None:
            return None
        value = yield self.assemble(entry)
        return PublishedConfiguration(value, entry.revision)

    @inlineCallbacks
    def assemble(self, entry: Entry) -> Generator[Any, Any, bytes]:
        """Return the value that an entry of the configuration key stands for.

        Shards of the value assembled last are not read again.
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
            raise ManifestError("the shards do not make up the value", step="assemble")
        self._shards_by_name = shards_by_name
        return value

    @inlineCallbacks
    def _read_shard(self, shard: Shard) -> Generator[Any, Any, bytes]:
        self.counters["shards_read"] += 1
        entry = yield self._store.get(SHARD_PREFIX + shard.name)
        if entry is None:
            raise ManifestError(f"shard {shard.name} is missing", step="assemble")
        if digest(entry.value).hex() != shard.digest:
            raise ManifestError(f"shard {shard.name} has changed", step="assemble")
        return entry.value

    @inlineCallbacks
    def publish(self, value: bytes, expected: int) -> Generator[Any, Any, int]:
        """Replace the configuration that has revision ``expected``.

        Returns the new revision. Fails with ``RevisionConflictError`` when another
        operator was faster; then nothing of this publish is left. Fails with
        ``PublishOvertakenError`` when it can't be told which was first.
        """
        if len(value) <= WHOLE_VALUE_BYTES and expected == ABSENT:
            revision = yield self._swap(value, expected)
            return revision
        before = yield self._store.get(CONFIGURATION_KEY)
        actual = before.revision if before else ABSENT
        if actual != expected:
            raise RevisionConflictError(CONFIGURATION_KEY, expected, actual)
        old = decode_manifest(before.value) if before else None
        old_shards = old.shards if old else ()
        written, stored = yield self._write_shards(value, old_shards)
        try:
            revision = yield self._swap(stored, expected)
        except (RevisionConflictError, KeyValueUnavailableError):
            yield self._remove(written)
            raise
        kept = decode_manifest(stored)
        kept_names = {each.name for each in kept.shards} if kept else set()
        unused = [each.name for each in old_shards if each.name not in kept_names]
        yield self._remove(unused)
        return revision

    @inlineCallbacks
    def _write_shards(
        self, value: bytes, old: tuple[Shard, ...]
    ) -> Generator[Any, Any, tuple[list[str], bytes]]:
        """Write what ``old`` lacks; return the names written and what to store."""
        if len(value) <= WHOLE_VALUE_BYTES:
            return [], value
        name_by_digest = {each.digest: each.name for each in old}
        publish = f"{self._random.getrandbits(48):012x}"
        written: list[str] = []
        shards: list[Shard] = []
        for number, piece in enumerate(pieces(value, SHARD_BYTES)):
            found = digest(piece).hex()
            name = name_by_digest.get(found)
            if name is None:
                name = f"{publish}-{number}"
                name_by_digest[found] = name
                written.append(name)
                yield self._write(SHARD_PREFIX + name, piece)
            shards.append(Shard(name, found))
        manifest = Manifest(digest(value).hex(), tuple(shards))
        return written, _MANIFEST_MARK + msgspec.json.encode(manifest)

    @inlineCallbacks
    def _write(self, key: str, value: bytes) -> Generator[Any, Any, None]:
        """Write a key that no one else writes, however often it takes."""
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
    def _swap(self, value: bytes, expected: int) -> Generator[Any, Any, int]:
        try:
            revision = yield self._store.put(
                CONFIGURATION_KEY, value, expected=expected
            )
        except KeyValueOutcomeUnknownError:
            self.counters["answers_lost"] += 1
        else:
            return revision
        revision = yield self._resolve(value, expected)
        return revision

    @inlineCallbacks
    def _resolve(self, value: bytes, expected: int) -> Generator[Any, Any, int]:
        """Find out what became of a write whose answer was lost."""
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
            "the configuration's write was not answered",
            step="publish",
            peer="key-value service",
        )

    @inlineCallbacks
    def _read_back(self) -> Generator[Any, Any, Entry | None]:
        try:
            entry = yield self._store.get(CONFIGURATION_KEY)
        except KeyValueUnavailableError as error:
            raise KeyValueOutcomeUnknownError(
                "the configuration could not be read back",
                step="publish",
                peer="key-value service",
            ) from error
        return entry

    @inlineCallbacks
    def _remove(self, names: list[str]) -> Generator[Any, Any, None]:
        """Delete shards that no manifest names; a failure leaves them behind."""
        for name in names:
            try:
                yield self._store.delete(SHARD_PREFIX + name)
            except (KeyValueOutcomeUnknownError, KeyValueUnavailableError):
                self.counters["shards_left_behind"] += 1
