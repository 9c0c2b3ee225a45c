"""Transfer of a whole configuration in chunks, requested in batches."""

from collections.abc import Iterator

from .configuration_delta import digest
from .configuration_messages import ConfigurationChunk, ConfigurationRequest
from .errors import CoordinationError

CHUNK_BYTES = 16_384
CHUNKS_PER_REQUEST = 8
STALL_TIMEOUT_SECONDS = 1.0
MAX_CONFIGURATION_BYTES = 16_000_000


class TransferError(CoordinationError):
    """Received chunks do not form the announced value."""


def chunks(
    revision: int, value: bytes, value_digest: bytes, offset: int
) -> Iterator[ConfigurationChunk]:
    """Yield the batch of chunks that answers a request from ``offset`` on."""
    if not 0 <= offset <= len(value):
        return
    end = min(len(value), offset + CHUNK_BYTES * CHUNKS_PER_REQUEST)
    for start in range(offset, max(end, offset + 1), CHUNK_BYTES):
        data = value[start : min(end, start + CHUNK_BYTES)]
        yield ConfigurationChunk(revision, value_digest, len(value), start, data)


class Transfer:
    """A value that is received in chunks from one peer.

    Parameters
    ----------
    instance : str
        The peer that sends the value.
    first : ConfigurationChunk
        Any chunk, for the value's revision, digest and size; its data is not added.
    now : float
        The clock's seconds.
    """

    def __init__(self, instance: str, first: ConfigurationChunk, now: float) -> None:
        self.instance = instance
        self.revision = first.revision
        self._digest = first.digest
        self._size = first.size
        self._data = bytearray()
        self._batch_end = CHUNK_BYTES * CHUNKS_PER_REQUEST
        self._last_progress = now

    def add(self, chunk: ConfigurationChunk, now: float) -> bytes | None:
        """Add a chunk; return the value once it is complete.

        A repeated chunk is ignored. Raises ``TransferError`` on a gap, and on a size or
        digest that is invalid or differs from the first chunk.
        """
        if not 0 <= chunk.size <= MAX_CONFIGURATION_BYTES:
            raise self._error(
                f"size of {chunk.size} bytes is outside 0..{MAX_CONFIGURATION_BYTES}"
            )
        if chunk.size != self._size or chunk.digest != self._digest:
            raise self._error(
                f"value of {chunk.size} bytes does not match the first chunk:"
                f" expected {self._size} bytes and the same digest"
            )
        if chunk.offset < len(self._data):
            return None
        if chunk.offset > len(self._data):
            raise self._error(f"expected offset {len(self._data)}, got {chunk.offset}")
        self._data += chunk.data
        self._last_progress = now
        if len(self._data) < self._size:
            return None
        value = bytes(self._data)
        if digest(value) != self._digest:
            raise self._error(
                f"the digest of the {self._size} bytes received is not"
                f" {self._digest.hex()}"
            )
        return value

    def superseded_by(self, chunk: ConfigurationChunk, instance: str) -> bool:
        """Return whether the chunk is of a newer value from the same peer."""
        return instance == self.instance and chunk.revision > self.revision

    def stalled(self, now: float) -> bool:
        """Return whether no chunk was added for ``STALL_TIMEOUT_SECONDS``."""
        return now - self._last_progress >= STALL_TIMEOUT_SECONDS

    def batch_complete(self) -> bool:
        """Return whether all chunks of the requested batch have arrived."""
        return len(self._data) >= self._batch_end

    def next_request(self, revision: int) -> ConfigurationRequest:
        """Return the request for the next batch of chunks."""
        self._batch_end = len(self._data) + CHUNK_BYTES * CHUNKS_PER_REQUEST
        return ConfigurationRequest(revision, self.revision, len(self._data))

    def _error(self, message: str) -> TransferError:
        return TransferError(message, step="transfer", peer=self.instance)
