"""Data for a peer that may read slowly, written as far as it reads."""

from collections import deque
from collections.abc import Callable

PIECE_BYTES = 32_768
"""Largest part that is handed to the transport at once. It is kept there until the
peer has read it, so this is also the step in which progress shows."""


class SendBuffer:
    """Keeps what the transport has no room for.

    ``pause`` and ``resume`` are the transport's signals that it is full and that it is
    empty again.

    Examples
    --------
    >>> written = []
    >>> buffer = SendBuffer(written.append)
    >>> buffer.write(b"a")
    >>> buffer.pause()
    >>> buffer.write(b"bc")
    >>> written, buffer.unsent
    ([b'a'], 2)
    >>> buffer.resume()
    >>> written, buffer.unsent
    ([b'a', b'bc'], 0)
    """

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self._write = write
        self._pieces: deque[bytes] = deque()
        self._queued_bytes = 0
        self._transport_bytes = 0
        self.paused = False

    @property
    def unsent(self) -> int:
        """Bytes kept here and in a transport that is full."""
        return self._queued_bytes + (self._transport_bytes if self.paused else 0)

    def write(self, data: bytes) -> None:
        """Write as much as the transport has room for, and keep the rest."""
        if not self.paused and len(data) <= PIECE_BYTES:
            self._write_piece(data)
            return
        # Pieces of their own, so that what was read is freed.
        for start in range(0, len(data), PIECE_BYTES):
            self._pieces.append(data[start : start + PIECE_BYTES])
        self._queued_bytes += len(data)
        self._write_pieces()

    def pause(self) -> None:
        """Write nothing more: the transport is full."""
        self.paused = True

    def resume(self) -> None:
        """Write on: all that the transport had was sent."""
        self.paused = False
        self._transport_bytes = 0
        self._write_pieces()

    def clear(self) -> None:
        """Drop what is kept."""
        self._pieces.clear()
        self._queued_bytes = 0
        self._transport_bytes = 0

    def _write_pieces(self) -> None:
        while self._pieces and not self.paused:
            piece = self._pieces.popleft()
            self._queued_bytes -= len(piece)
            self._write_piece(piece)

    def _write_piece(self, piece: bytes) -> None:
        self._write(piece)
        if self.paused:
            self._transport_bytes = len(piece)
