"""Transfer of a whole configuration in chunks, asked for a few at a time."""

from collections.abc import Iterator

from .configuration_delta import digest
from .configuration_messages import ConfigurationChunk, ConfigurationRequest
from .errors import CoordinationError

CHUNK_BYTES = 16_384
CHUNKS_PER_REQUEST = 8
STALLED_SECONDS = 1.0
MAX_CONFIGURATION_BYTES = 16_000_000


class TransferError(CoordinationError):
    """Chunks that do not make up the value that they promised."""


def chunks(
    revision: int, value: bytes, value_digest: bytes, offset: int
) -> Iterator[ConfigurationChunk]:
    """Yield the chunks that answer one request from ``offset`` on."""
    if not 0 <= offset <= len(value):
        return
    end = min(len(value), offset + CHUNK_BYTES * CHUNKS_PER_REQUEST)
    for start in range(offset, max(end, offset + 1), CHUNK_BYTES):
        data = value[start : min(end, start + CHUNK_BYTES)]
        yield ConfigurationChunk(revision, value_digest, len(value), start, data)


class Transfer:
    """A value that arrives in chunks from one peer.

    Parameters
    ----------
    instance : str
        The peer that sends it.
    first : ConfigurationChunk
        Any chunk of the value; it is not added.
    now : float
        The clock's seconds.
    """

    def __init__(self, instance: str, first: ConfigurationChunk, now: float) -> None:
        self.instance = instance
        self.revision = first.revision
        self._digest = first.digest
        self._size = first.size
        self._data = bytearray()
        self._requested = CHUNK_BYTES * CHUNKS_PER_REQUEST
        self._progress = now

    def add(self, chunk: ConfigurationChunk, now: float) -> bytes | None:
        """Add a chunk; return the value once it is complete.

        A repeated chunk is ignored. Raises ``TransferError`` on a gap, on another
        size than promised and on a wrong digest.
        """
        if not 0 <= chunk.size <= MAX_CONFIGURATION_BYTES:
            raise self._error(f"a size of {chunk.size} bytes is not accepted")
        if chunk.size != self._size or chunk.digest != self._digest:
            raise self._error("a chunk belongs to another value")
        if chunk.offset < len(self._data):
            return None
        if chunk.offset > len(self._data):
            raise self._error(f"{len(self._data)} bytes are followed by {chunk.offset}")
        self._data += chunk.data
        self._progress = now
        if len(self._data) < self._size:
            return None
        value = bytes(self._data)
        if digest(value) != self._digest:
            raise self._error("the value does not have its digest")
        return value

    def superseded_by(self, chunk: ConfigurationChunk, instance: str) -> bool:
        """Tell whether the peer began to send a newer value."""
        return instance == self.instance and chunk.revision > self.revision

    def stalled(self, now: float) -> bool:
        """Tell whether no chunk arrived for ``STALLED_SECONDS``."""
        return now - self._progress >= STALLED_SECONDS

    def wants_more(self) -> bool:
        """Tell whether all chunks asked for have arrived."""
        return len(self._data) >= self._requested

    def next_request(self, revision: int) -> ConfigurationRequest:
        """Return the request for the next chunks."""
        self._requested = len(self._data) + CHUNK_BYTES * CHUNKS_PER_REQUEST
        return ConfigurationRequest(revision, self.revision, len(self._data))

    def _error(self, message: str) -> TransferError:
        return TransferError(message, step="transfer", peer=self.instance)
