"""Tests of the boundaries of events in forwarded streams."""

import pytest

from pomeloglade.forwarding.event_stream import EventStream

LINE_ENDS = pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\r"])


@LINE_ENDS
def test_events_end_with_an_empty_line_of_any_line_end(end):
    stream = EventStream(resumable=True)
    event = b"id: 1" + end + b"data: a" + end + end
    assert stream.feed(event[: -len(end)]) == b""
    assert stream.inside_event
    assert stream.feed(end + b"id: 2" + end) == event
    assert stream.last_id == b"1"
    assert stream.inside_event


@LINE_ENDS
def test_stream_received_byte_by_byte_is_unchanged(end):
    stream = EventStream(resumable=True)
    events = 2 * (b"id: 1" + end + b"data: a" + end + end)
    received = b"".join(stream.feed(bytes([byte])) for byte in events)
    assert received + stream.finish() == events
    assert not stream.inside_event


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize(
    ("data", "inside"),
    [
        (b"", False),
        (b"data: a\n\n", False),
        (b"data: a\n", True),
        (b"data: a\n\nd", True),
        (b"data: a\n\n: a comment\n", False),
    ],
)
def test_only_an_unfinished_field_is_inside_an_event(data, inside, resumable):
    stream = EventStream(resumable=resumable)
    stream.feed(data)
    assert stream.inside_event is inside
