"""A server-sent event stream that is forwarded to a caller."""

import re

from ..errors import InvalidBackendResponseError, WrongContinuationError
from .event_order import Event, EventOrder, begins_event
from .stream_origins import StreamOrigin

END_OF_EVENT = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
"""An empty line ends an event; each of the three line ends is allowed."""

MAX_END_BYTES = 4
"""Length of the longest end of an event, two times CRLF."""


SUCCESS = 200

MAX_LOGGED_ID_BYTES = 20
"""Length from which on the log has only the begin of an event's id."""

MAX_EVENT_BYTES = 256 * 1024
"""Limit on one event, and on events without data that follow each other. An event
usually has a few tokens, and servers that send empty ones do so once a second."""


class EventStream:
    """Withholds partial events of resumable streams.

    If the backend server fails within an event, another one resumes the stream
    after the last whole event, so the caller must not receive a part of the next one.
    Partial events of other streams are forwarded and remembered. The answers of the
    servers that a stream goes on at are received one after the other. The first one is
    forwarded as it is, unless the caller takes up a stream; of the others only the
    events that come next in the stream.

    Parameters
    ----------
    resumable : bool
        Whether to forward whole events only.
    last_id : bytes or None
        Id of the last event that the caller has received.

    Attributes
    ----------
    data_events : int
        Number of whole events with data so far. Comments and empty events, which
        servers send to keep a connection open, don't count.

    Examples
    --------
    >>> stream = EventStream(resumable=True)
    >>> stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> stream.discard_answer()
    >>> stream.last_id
    b'1'
    """

    def __init__(self, *, resumable: bool, last_id: bytes | None = None) -> None:
        self.resumable = resumable
        self._partial = b""
        self._answer_has_events = self._answer_has_data = False
        self._order = EventOrder(last_id)
        self._goes_on = self._takes_up = False
        self.begun = False
        self.origin: StreamOrigin | None = None
        self.forwarded_bytes = 0
        self.forwarded_at = 0.0
        self.data_events = 0
        self._bytes_without_data = 0
        self._answer_first_id: bytes | None = None
        self._answer_last_id: bytes | None = None

    @property
    def last_id(self) -> bytes | None:
        """The id of the last event that the caller has received."""
        return self._order.last

    @property
    def may_go_on(self) -> bool:
        """Whether another server can go on after what the caller has received.

        >>> stream = EventStream(resumable=True)
        >>> _ = stream.feed(b"id: 1\\ndata: a\\n\\n")
        >>> stream.may_go_on
        True
        >>> _ = stream.feed(b"data: no id\\n\\n")
        >>> stream.may_go_on
        False
        """
        return self.resumable and not self._order.ended

    def begin_answer(self) -> None:
        """Expect the answer of another server from now on."""
        self.discard_answer()
        self._goes_on = self.begun
        self._takes_up = self.resumable and bool(self.last_id)
        self._answer_first_id = self._answer_last_id = None

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the part that may be forwarded.

        Raises ``InvalidBackendResponseError`` if an event is too long, or if too many
        have no data, and ``WrongContinuationError`` if one does not come next in a
        stream that goes on; of the data, nothing may be forwarded then.
        """
        searched = max(0, len(self._partial) - MAX_END_BYTES + 1)
        received = self._partial + data
        events, end = [], 0
        for match in END_OF_EVENT.finditer(received, searched):
            events.append(received[end : match.end()])
            end = match.end()
        whole, self._partial = received[:end], received[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            text = f"event has more than {MAX_EVENT_BYTES} bytes"
            raise InvalidBackendResponseError(text, step="stream")
        self._answer_has_events = self._answer_has_events or bool(whole)
        self._read_events(events)
        return whole if self.resumable else data

    def _read_events(self, events: list[bytes]) -> None:
        """Keep the order of whole events, and count those with data."""
        order, data_events = self._order, 0
        for lines in events:
            event = Event.read(lines)
            if event.id is not None:
                self._answer_last_id = event.id
                if self._answer_first_id is None:
                    self._answer_first_id = event.id
            checked = self._goes_on or self._takes_up
            if checked and (fault := order.fault(event)):
                raise WrongContinuationError(fault, step="resume")
            if self.resumable:
                order = order.after(event)
            data_events += event.has_data
            self._bytes_without_data += len(lines)
            if event.has_data:
                self._bytes_without_data = 0
            elif self._bytes_without_data > MAX_EVENT_BYTES:
                text = f"events without data have more than {MAX_EVENT_BYTES} bytes"
                raise InvalidBackendResponseError(text, step="stream")
        self._order = order
        self.data_events += data_events
        self._answer_has_data = self._answer_has_data or data_events > 0

    def ensure_status(self, status: int) -> None:
        """Raise ``WrongContinuationError`` unless an answer may go on with the stream.

        >>> stream = EventStream(resumable=True)
        >>> stream.ensure_status(404)
        >>> stream.begun = True
        >>> stream.begin_answer()
        >>> stream.ensure_status(200)
        >>> stream.ensure_status(204)
        Traceback (most recent call last):
            ...
        pomeloglade.errors.WrongContinuationError: resumed stream was answered with 204
        """
        if self._goes_on and status != SUCCESS:
            text = f"resumed stream was answered with {status}"
            raise WrongContinuationError(text, step="resume")

    def ensure_continued(self) -> None:
        """Raise ``WrongContinuationError`` if an answer has ended and does not go on.

        A server that has lost the stream may answer without an event, and so may a
        server whose events were all received; a caller can take up what is broken off,
        but not what looks complete. The answer to a caller that takes up a stream may
        be empty: no other answer tells it that it has all events.
        """
        if not (self._goes_on or self._takes_up):
            return
        if not begins_event(self._partial):
            text = "the rest of a resumed stream is no event"
            raise WrongContinuationError(text, step="resume")
        if not self._goes_on:
            return
        if not self._answer_has_data and not self.inside_event:
            text = "resumed stream was answered without an event"
            raise WrongContinuationError(text, step="resume")

    def describe_ids(self) -> str:
        """Return the first and the last id in the present answer, for the log.

        >>> stream = EventStream(resumable=True)
        >>> stream.describe_ids()
        'no ids'
        >>> _ = stream.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
        >>> stream.describe_ids()
        'ids 1 to 2'
        """
        if self._answer_first_id is None:
            return "no ids"
        first, last = map(_logged, (self._answer_first_id, self._answer_last_id))
        return f"ids {first} to {last}"

    @property
    def held_bytes(self) -> int:
        """The bytes received of an event that has not ended."""
        return len(self._partial)

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

    def broken_off(self, *, ends_with_connection: bool) -> bool:
        """Return whether the answer whose body has ended lacks a part of the stream.

        The body's framing does not tell: a server may frame what it has as complete,
        and a connection that only marks the body's end may be closed too early.

        >>> stream = EventStream(resumable=False)
        >>> stream.broken_off(ends_with_connection=True)
        True
        >>> _ = stream.feed(b"data: a\\n\\n")
        >>> stream.broken_off(ends_with_connection=True)
        False
        """
        if ends_with_connection and not self._answer_has_events:
            return True
        return self.inside_event

    def finish(self) -> bytes:
        """Return the withheld data at the regular end of the stream."""
        rest, self._partial = self._partial, b""
        return rest if self.resumable else b""

    def discard_answer(self) -> None:
        """Drop the partial event of an answer that broke; the next one may follow."""
        self._partial = b""
        self._answer_has_events = self._answer_has_data = False


def _logged(event_id: bytes) -> str:
    text = event_id[:MAX_LOGGED_ID_BYTES].decode("ascii", "backslashreplace")
    return text + "..." if len(event_id) > MAX_LOGGED_ID_BYTES else text
