"""A server-sent event stream that is forwarded to a caller."""


class EventStream:
    """Withholds partial events of resumable streams.

    If the backend server fails within an event, another one resumes the stream
    after the last whole event, so the caller must not receive a part of the next one.

    Parameters
    ----------
    resumable : bool
        Whether to forward whole events only.
    last_id : bytes or None
        Id of the last event that the caller has received.

    Examples
    --------
    >>> stream = EventStream(resumable=True)
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.discard_partial()
    >>> stream.last_id
    b'1'
    """

    def __init__(self, *, resumable: bool, last_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._partial = b""
        self.last_id = last_id
        self.begun = False
        self.forwarded_bytes = 0
        self.forwarded_at = 0.0

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the part that may be forwarded."""
        if not self.resumable:
            return data
        data = self._partial + data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._partial = data
            return b""
        whole, self._partial = data[: end + 2], data[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return whole

    def finish(self) -> bytes:
        """Return the withheld data at the regular end of the stream."""
        rest, self._partial = self._partial, b""
        return rest

    def discard_partial(self) -> None:
        """Drop the withheld partial event after the stream broke."""
        self._partial = b""
