"""Claim records and the segments that store them in the key-value store."""

import enum
import hashlib
from dataclasses import dataclass, replace

import msgspec

DIGEST_BYTES = 16
MAX_OUTCOME_BYTES = 4096


class ClaimState(enum.IntEnum):
    """State of the request that claimed an idempotency key."""

    CLAIMED = 1
    FINISHED = 2
    ABANDONED = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The recorded or proposed claim of an idempotency key.

    ``digest`` identifies the client account and its idempotency key, ``body``
    the request body. ``request_id`` identifies the attempt that made the
    claim. ``outcome`` is the stored answer of a finished request, or ``None``.
    """

    digest: bytes
    body: bytes
    request_id: str
    state: ClaimState
    outcome: bytes | None = None

    def with_state(
        self, state: ClaimState, outcome: bytes | None = None
    ) -> "ClaimRecord":
        """Return this record in another state."""
        return replace(self, state=state, outcome=outcome)


@dataclass(frozen=True, slots=True)
class Segment:
    """The records of one write; ``sequence`` is its position in the shard's log."""

    sequence: int
    records: tuple[ClaimRecord, ...]


_Fields = tuple[bytes, bytes, str, ClaimState, bytes | None]
_DECODER = msgspec.msgpack.Decoder(tuple[int, list[_Fields]])


def digest(*parts: str) -> bytes:
    """Return a digest of ``parts``.

    Lengths are hashed too, so that ``("ab", "c")`` and ``("a", "bc")`` differ.
    """
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode()
        hashed.update(len(data).to_bytes(4, "big"))
        hashed.update(data)
    return hashed.digest()


def encode_segment(segment: Segment) -> bytes:
    """Return the stored form of a segment."""
    rows = [
        (each.digest, each.body, each.request_id, each.state, each.outcome)
        for each in segment.records
    ]
    return msgspec.msgpack.encode((segment.sequence, rows))


def decode_segment(value: bytes) -> Segment:
    """Return the segment stored as ``value``.

    Raises ``msgspec.DecodeError`` when ``value`` is not a segment.
    """
    sequence, rows = _DECODER.decode(value)
    return Segment(sequence, tuple(ClaimRecord(*row) for row in rows))


def prevailing_record(
    proposed: ClaimRecord, recorded: ClaimRecord | None
) -> ClaimRecord | None:
    """Return ``recorded`` if it prevails over ``proposed``, else ``None``.

    ``None`` means that ``proposed`` has to be written. A claim replaces only the
    abandoned claim of another attempt. A later state replaces only the claim of
    the same attempt; ``FINISHED`` also replaces that attempt's ``UNKNOWN``.
    """
    if recorded is None:
        return None
    same_attempt = recorded.request_id == proposed.request_id
    if proposed.state is ClaimState.CLAIMED:
        abandoned = recorded.state is ClaimState.ABANDONED
        return None if abandoned and not same_attempt else recorded
    if same_attempt and recorded.state is ClaimState.CLAIMED:
        return None
    finished = proposed.state is ClaimState.FINISHED
    if same_attempt and finished and recorded.state is ClaimState.UNKNOWN:
        return None
    return recorded
