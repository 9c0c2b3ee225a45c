"""Content-defined chunking of a value, and the difference of two values."""

import hashlib
import itertools
import re
from collections.abc import Iterable

import xxhash

from .configuration_messages import Splice

DIGEST_BYTES = 16
PIECE_BYTES = 512
"""Mean size of the pieces by which two values are compared."""

_SEPARATOR = re.compile(rb"[,\n]")
_WINDOW_BYTES = 64
_SEPARATOR_SPACING_BYTES = 24
"""Assumed mean distance between separators; pieces then average ``mean`` bytes."""


def digest(value: bytes) -> bytes:
    """Return a 16-byte BLAKE2b digest of a value."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


def split_by_content(value: bytes, mean: int = PIECE_BYTES) -> list[bytes]:
    """Split a value by content-defined chunking, after commas and line ends.

    An edit changes only the pieces around it. Pieces have about ``mean`` bytes and at
    most four times as many.
    """
    ends = _piece_ends(value, mean)
    return [value[start:end] for start, end in itertools.pairwise(ends)]


def _piece_ends(value: bytes, mean: int) -> list[int]:
    ends = [0]
    limit = 4 * mean
    for separator in _SEPARATOR.finditer(value):
        end = separator.end()
        while end - ends[-1] > limit:
            ends.append(ends[-1] + limit)
        if end - ends[-1] < mean // 4:
            continue
        window = value[max(0, end - _WINDOW_BYTES) : end]
        if xxhash.xxh32_intdigest(window) % mean < _SEPARATOR_SPACING_BYTES:
            ends.append(end)
    while len(value) - ends[-1] > limit:
        ends.append(ends[-1] + limit)
    if ends[-1] != len(value):
        ends.append(len(value))
    return ends


def difference(before: bytes, after: bytes) -> tuple[Splice, ...]:
    """Return the splices that turn ``before`` into ``after``.

    >>> difference(b"rate=1,burst=5", b"rate=20,burst=5")
    (Splice(start=5, end=6, replacement=b'20'),)
    """
    if before == after:
        return ()
    start, end, replacement = _changed_range(before, after)
    if len(replacement) <= PIECE_BYTES and end - start <= PIECE_BYTES:
        return (Splice(start, end, replacement),)
    middle = before[start:end]
    return tuple(
        Splice(start + each.start, start + each.end, each.replacement)
        for each in _splices_by_piece(middle, replacement)
    )


def apply(before: bytes, splices: Iterable[Splice]) -> bytes:
    """Return the value with ``splices`` applied.

    Raises ``ValueError`` if they overlap, are out of order or exceed the value.
    """
    parts: list[bytes] = []
    position = 0
    for each in splices:
        if not position <= each.start <= each.end <= len(before):
            raise ValueError(
                f"splice {each.start}..{each.end} is outside {position}..{len(before)}"
            )
        parts += (before[position : each.start], each.replacement)
        position = each.end
    parts.append(before[position:])
    return b"".join(parts)


def _changed_range(before: bytes, after: bytes) -> tuple[int, int, bytes]:
    start = _common_prefix_length(before, after)
    rest = min(len(before), len(after)) - start
    tail = _common_suffix_length(before, after, rest)
    return start, len(before) - tail, after[start : len(after) - tail]


def _common_prefix_length(one: bytes, other: bytes) -> int:
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == other[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix_length(one: bytes, other: bytes, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if one[len(one) - middle :] == other[len(other) - middle :]:
            low = middle
        else:
            high = middle - 1
    return low


def _splices_by_piece(before: bytes, after: bytes) -> list[Splice]:
    """Return splices that keep the pieces which both values have in the same order."""
    starts_by_piece: dict[bytes, int] = {}
    position = 0
    for piece in split_by_content(before):
        starts_by_piece.setdefault(piece, position)
        position += len(piece)
    splices: list[Splice] = []
    kept_end = 0
    unmatched: list[bytes] = []
    for piece in split_by_content(after):
        start = starts_by_piece.get(piece, -1)
        if start < kept_end:
            unmatched.append(piece)
            continue
        _add_splice(splices, before, kept_end, start, b"".join(unmatched))
        unmatched = []
        kept_end = start + len(piece)
    _add_splice(splices, before, kept_end, len(before), b"".join(unmatched))
    return splices


def _add_splice(
    splices: list[Splice], before: bytes, start: int, end: int, replacement: bytes
) -> None:
    if start == end and not replacement:
        return
    first, last, trimmed = _changed_range(before[start:end], replacement)
    splices.append(Splice(start + first, start + last, trimmed))
