"""Content-defined pieces of a value, and the difference of two values."""

import hashlib
import itertools
import re
from collections.abc import Iterable

import xxhash

from .configuration_messages import Splice

DIGEST_BYTES = 16
PIECE_BYTES = 512
"""The mean size of the pieces that two values are compared by."""

_SEPARATOR = re.compile(rb"[,\n]")
_WINDOW_BYTES = 64
_SEPARATOR_SPACING_BYTES = 24


def digest(value: bytes) -> bytes:
    """Return a 16-byte digest that tells two values apart."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()


def pieces(value: bytes, mean: int = PIECE_BYTES) -> list[bytes]:
    """Split a value where its content says so, after a comma or a line.

    An edit changes the pieces around it and no others. Pieces have about ``mean``
    bytes and at most four times as many.
    """
    ends = _ends(value, mean)
    return [value[start:end] for start, end in itertools.pairwise(ends)]


def _ends(value: bytes, mean: int) -> list[int]:
    ends = [0]
    limit = 4 * mean
    for found in _SEPARATOR.finditer(value):
        end = found.end()
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
    start, end, replacement = _trimmed(before, after)
    if len(replacement) <= PIECE_BYTES and end - start <= PIECE_BYTES:
        return (Splice(start, end, replacement),)
    middle = before[start:end]
    return tuple(
        Splice(start + each.start, start + each.end, each.replacement)
        for each in _by_pieces(middle, replacement)
    )


def apply(before: bytes, splices: Iterable[Splice]) -> bytes:
    """Return the value after ``splices``; ``ValueError`` when they don't fit."""
    parts: list[bytes] = []
    position = 0
    for each in splices:
        if not position <= each.start <= each.end <= len(before):
            raise ValueError(f"splice {each.start}..{each.end} does not fit")
        parts += (before[position : each.start], each.replacement)
        position = each.end
    parts.append(before[position:])
    return b"".join(parts)


def _trimmed(before: bytes, after: bytes) -> tuple[int, int, bytes]:
    start = _common_prefix(before, after)
    rest = min(len(before), len(after)) - start
    tail = _common_suffix(before, after, rest)
    return start, len(before) - tail, after[start : len(after) - tail]


def _common_prefix(one: bytes, other: bytes) -> int:
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == other[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(one: bytes, other: bytes, limit: int) -> int:
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if one[len(one) - middle :] == other[len(other) - middle :]:
            low = middle
        else:
            high = middle - 1
    return low


def _by_pieces(before: bytes, after: bytes) -> list[Splice]:
    """Keep the pieces of ``after`` that ``before`` has in the same order."""
    starts_by_piece: dict[bytes, int] = {}
    position = 0
    for piece in pieces(before):
        starts_by_piece.setdefault(piece, position)
        position += len(piece)
    splices: list[Splice] = []
    kept_to = 0
    fresh: list[bytes] = []
    for piece in pieces(after):
        start = starts_by_piece.get(piece, -1)
        if start < kept_to:
            fresh.append(piece)
            continue
        _add_splice(splices, before, kept_to, start, b"".join(fresh))
        fresh = []
        kept_to = start + len(piece)
    _add_splice(splices, before, kept_to, len(before), b"".join(fresh))
    return splices


def _add_splice(
    splices: list[Splice], before: bytes, start: int, end: int, replacement: bytes
) -> None:
    if start == end and not replacement:
        return
    first, last, trimmed = _trimmed(before[start:end], replacement)
    splices.append(Splice(start + first, start + last, trimmed))
