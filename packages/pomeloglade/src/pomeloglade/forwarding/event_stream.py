"""A server-sent event stream that is forwarded to a caller."""

import re

END_OF_EVENT = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
"""An empty line ends an event; each of the three line ends is allowed."""


class EventStream:
    """Withholds partial events of resumable streams.

    If the backend server fails within an event, another one resumes the stream
    after the last whole event, so the caller must not receive a part of the next one.
    Partial events of other streams are forwarded and remembered.

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
        received = self._partial + data
        end = 0
        for match in END_OF_EVENT.finditer(received):
            end = match.end()
        whole, self._partial = received[:end], received[end:]
        if not self.resumable:
            return data
        for line in whole.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip()
        return whole

    @property
    def inside_event(self) -> bool:
        """Whether a field of an event was received, but not the event's end.

        >>> stream = EventStream(resumable=False)
        >>> stream.feed(b"data: a\\n\\n: a comment\\n")
        b'data: a\\n\\n: a comment\\n'
        >>> stream.inside_event
        False
        >>> _ = stream.feed(b"da")
        >>> stream.inside_event
        True
        """
        lines = self._partial.splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    def finish(self) -> bytes:
        """Return the withheld data at the regular end of the stream."""
        rest, self._partial = self._partial, b""
        return rest if self.resumable else b""

    def discard_partial(self) -> None:
        """Drop the partial event after the stream broke."""
        self._partial = b""
