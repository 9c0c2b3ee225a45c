"""The events of a stream in order, and which ones may follow from another server."""

import re
from dataclasses import dataclass, replace

FIELDS = (b"id", b"data", b"event", b"retry")
"""Names of the fields of an event (WHATWG HTML, server-sent events)."""

EXTENSION_FIELD = re.compile(rb"[a-z][a-z0-9-]*")
"""Names of other fields. Servers may add them to events, and clients ignore them."""

WHOLE_NUMBER = re.compile(rb"[0-9]{1,18}")


@dataclass(frozen=True, slots=True)
class Event:
    """What the fields of an event say; ``foreign`` is the first line that is none.

    >>> Event.read(b"id: 7\\ndata: a\\n\\n")
    Event(id=b'7', has_data=True, reports_error=False, extended=False, foreign=None)
    >>> Event.read(b"HTTP/1.1 500 Oops\\n\\n").foreign
    b'HTTP/1.1 500 Oops'
    """

    id: bytes | None = None
    has_data: bool = False
    reports_error: bool = False
    extended: bool = False
    foreign: bytes | None = None

    @classmethod
    def read(cls, lines: bytes) -> "Event":
        """Read an event; of several ids, the last one is the event's."""
        event_id = foreign = None
        has_data = reports_error = extended = False
        for line in lines.splitlines():
            name, colon, value = line.partition(b":")
            value = value.strip()
            if not line or not name:
                continue
            if name == b"id":
                event_id = value
            elif name == b"data":
                has_data = has_data or bool(value)
            elif name == b"event":
                reports_error = reports_error or value.lower() == b"error"
            elif colon and EXTENSION_FIELD.fullmatch(name):
                extended = extended or name not in FIELDS
            elif name not in FIELDS:
                foreign = foreign or line
        return cls(event_id, has_data, reports_error, extended, foreign)


def begins_event(partial: bytes) -> bool:
    """Return whether these bytes may be the first ones of an event.

    >>> begins_event(b"id: 3\\nda"), begins_event(b'{"error": "overloaded"}')
    (True, False)
    """
    *lines, last = re.split(rb"\r\n|\n|\r", partial)
    if Event.read(b"\n".join(lines)).foreign is not None:
        return False
    if b":" in last:
        return Event.read(last).foreign is None
    return any(field.startswith(last) for field in FIELDS)


@dataclass(frozen=True, slots=True)
class EventOrder:
    """The ids of the events that a caller has received, and so what may follow them.

    Servers number the events of a stream with whole numbers that increase. Where they
    have increased by the same step so far, they must go on so; a stream that has shown
    no step goes on with the next number. Ids of another form have no order to check:
    they must not be the first or the last one again.

    Attributes
    ----------
    last : bytes or None
        Id of the last event that the caller has received.
    first : bytes or None
        Id of the first event that was sent, not the one that the caller named.
    steps : tuple of int
        The shortest and the longest step between events that were sent.
    ended : bool
        Whether nothing can follow: where the stream would go on is not known, or an
        error or bytes that are no event were sent.

    Examples
    --------
    >>> order = EventOrder().after(Event(b"1", True)).after(Event(b"2", True))
    >>> order.fault(Event(b"3", True))
    >>> order.fault(Event(b"2", True))
    'event 2 follows event 2'
    >>> order.fault(Event(None, True))
    'event without an id follows event 2'
    """

    last: bytes | None = None
    first: bytes | None = None
    steps: tuple[int, ...] = ()
    ended: bool = False

    def after(self, event: Event) -> "EventOrder":
        """Return the order after an event was sent to the caller."""
        if event.reports_error or event.foreign is not None:
            return replace(self, ended=True)
        if not event.id:
            ended = self.ended or event.has_data or event.extended
            return replace(self, ended=ended)
        if not event.has_data and event.id == self.last:
            return self
        steps, ended = self.steps, self.ended
        if self.first is not None:
            step = _step(self.last, event.id)
            if step is not None:
                steps = (min((*steps, step)), max((*steps, step)))
                ended = ended or step <= 0
            else:
                ended = ended or not self._other_id(event.id)
        return EventOrder(event.id, self.first or event.id, steps, ended)

    def fault(self, event: Event) -> str | None:
        """Return why an event of another server can't follow, or ``None``."""
        if event.foreign is not None:
            return f"{_shown(event.foreign)} is no field of an event"
        if event.reports_error:
            return "event that reports an error"
        empty = not event.has_data and not event.extended
        if empty and event.id in (None, self.last):
            return None
        if event.id and self._follows(event.id):
            return None
        name = f"event {_shown(event.id)}" if event.id else "event without an id"
        return f"{name} follows {f'event {_shown(self.last)}' if self.last else 'none'}"

    def _follows(self, event_id: bytes) -> bool:
        if not self.last:
            return event_id in (b"0", b"1")
        step = _step(self.last, event_id)
        if step is None:
            return self._other_id(event_id)
        if self.steps and self.steps[0] != self.steps[1]:
            return step > 0
        return step == (self.steps[0] if self.steps else 1)

    def _other_id(self, event_id: bytes) -> bool:
        """Return whether ids without an order are of one kind and not repeated."""
        known = (self.last, self.first)
        return event_id not in known and not any(
            WHOLE_NUMBER.fullmatch(each) for each in (event_id, *known) if each
        )


def _step(last: bytes, event_id: bytes) -> int | None:
    """Return by how much the second id is higher, if both are whole numbers."""
    if WHOLE_NUMBER.fullmatch(last) and WHOLE_NUMBER.fullmatch(event_id):
        return int(event_id) - int(last)
    return None


def _shown(text: bytes) -> str:
    return text[:40].decode("ascii", "backslashreplace")
