"""A server-sent event stream as it is passed on, in whole events if need be."""


class EventStream:
    """Holds back partial events of streams that may go on at another server.

    Parameters
    ----------
    resumable : bool
        Whether only whole events are passed on.
    last_id : bytes or None
        Id of the last event that the caller already has.

    Examples
    --------
    >>> stream = EventStream(resumable=True)
    >>> stream.take(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.broken()
    >>> stream.last_id
    b'1'
    """

    def __init__(self, *, resumable: bool, last_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._partial = b""
        self.last_id = last_id
        self.begun = False
        self.passed_on = 0
        self.passed_on_at = 0.0

    def take(self, data: bytes) -> bytes:
        """Return what may be passed on after ``data`` has arrived."""
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

    def rest(self) -> bytes:
        """Return what is left at the complete end of the stream."""
        rest, self._partial = self._partial, b""
        return rest

    def broken(self) -> None:
        """Drop the partial event of a stream that broke."""
        self._partial = b""
