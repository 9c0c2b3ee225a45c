"""Decoding of JSON that another process wrote, with bounds and one kind of error."""

from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")

MAX_EXACT_INTEGER = 2**53 - 1
"""Largest whole number that all readers of JSON and CBOR keep exactly. Larger ones
overflow where they are divided or added to times."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]
UnixTime = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]
"""Seconds since the epoch."""

Name = Annotated[str, msgspec.Meta(max_length=200)]
"""A name that may become a part of a key of the store, or of a datagram."""


def decode_json(data: bytes | str, expected: type[T]) -> T:
    """Return the ``expected`` value in ``data``.

    Raises ``msgspec.DecodeError`` or its subclass ``msgspec.ValidationError``, also for
    data whose nesting exceeds the interpreter's recursion limit, for which ``msgspec``
    itself raises ``RecursionError``, and for text that is not UTF-8.

    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b"[" * 100_000, list)
    Traceback (most recent call last):
        ...
    msgspec.DecodeError: maximum recursion depth exceeded while deserializing an object
    """
    try:
        return msgspec.json.decode(data, type=expected)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
