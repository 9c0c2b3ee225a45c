"""Tests of the decode stream, of request bodies and of the request lifecycle."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloglade.errors import BadRequestError, InvalidBackendResponseError
from pomeloglade.protocol import completions, engine
from pomeloglade.state.call import Usage
from pomeloglade.state.lifecycle import new_lifecycle


def lines(count, request_id="i1.1.1", **end):
    tokens = [engine.DecodeLine(request_id, n, f"t{n}") for n in range(count)]
    last = {"done": True, "prompt_tokens": 3, "output_tokens": count} | end
    return [engine.encode(x) + b"\n" for x in tokens] + [
        engine.encode(engine.DecodeLine(request_id, **last)) + b"\n"
    ]


def read(*parts):
    stream = engine.DecodeStream("i1.1.1", "d1")
    tokens = [token for part in parts for token in stream.receive(part)]
    return tokens, stream.usage


@given(st.integers(0, 5), st.integers(1, 40))
def test_stream_is_decoded_however_it_is_split(count, size):
    data = b"".join(lines(count))
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    tokens, used = read(*parts)
    assert [token.index for token in tokens] == list(range(count))
    assert used == Usage(3, count)


@pytest.mark.parametrize(
    "data",
    [
        lines(2, "i1.1.2"),
        [lines(3)[0], lines(3)[2]],
        lines(2, output_tokens=5),
        [*lines(1), lines(1)[0]],
        [b"not json\n"],
        [b"x" * (engine.MAX_LINE_BYTES + 1)],
    ],
    ids=["other request", "gap", "wrong count", "after the end", "no JSON", "too long"],
)
def test_invalid_stream_is_rejected(data):
    with pytest.raises(InvalidBackendResponseError) as caught:
        read(*data)
    assert (caught.value.step, caught.value.peer) == ("decode", "d1")


def test_stream_without_its_end_has_no_usage():
    assert read(*lines(3)[:-1])[1] is None


@pytest.mark.parametrize(
    "body",
    [
        b"{",
        b"[]",
        b'{"model": 5, "prompt": "x"}',
        b'{"model": "m"}',
        b'{"model": "m", "prompt": "x", "max_tokens": 0}',
    ],
)
def test_invalid_body_is_a_bad_request_error(body):
    with pytest.raises(BadRequestError, match="body"):
        completions.decode_body(body)


@given(st.lists(st.sampled_from(["stream", "finish", "refuse", "abort"]), max_size=6))
def test_lifecycle_ends_once_and_runs_its_cleanup_once(inputs):
    lifecycle = new_lifecycle()
    cleanups_run = []
    lifecycle.add_cleanup(lambda: cleanups_run.append("first"))
    endings = [
        name for name in inputs if getattr(lifecycle, name)() and name != "stream"
    ]
    assert len(endings) <= 1
    assert cleanups_run == ["first"] * len(endings)
    lifecycle.add_cleanup(lambda: cleanups_run.append("late"))
    assert ("late" in cleanups_run) == bool(endings)
