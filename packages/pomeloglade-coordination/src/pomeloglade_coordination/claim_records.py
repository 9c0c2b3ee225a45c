"""Claim records and the segments that store them on the platform."""

import enum
import hashlib
from dataclasses import dataclass, replace

import msgspec

DIGEST_BYTES = 16
MAX_OUTCOME_BYTES = 4096


class ClaimState(enum.IntEnum):
    """How far the request that claimed an idempotency key has come."""

    CLAIMED = 1
    FINISHED = 2
    ABANDONED = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """What is recorded, or proposed to be recorded, about an idempotency key.

    ``digest`` identifies the client account and its idempotency key, ``body``
    the request body. ``request_id`` names the attempt that made the claim.
    ``outcome`` is ``None`` unless a finished request's answer is kept.
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
    """The records of one write, at its place in the log of a shard."""

    sequence: int
    records: tuple[ClaimRecord, ...]


_Fields = tuple[bytes, bytes, str, ClaimState, bytes | None]
_DECODER = msgspec.msgpack.Decoder(tuple[int, list[_Fields]])


def digest(*parts: str) -> bytes:
    """Return a digest of ``parts`` that no other list of parts shares."""
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

    Raises ``msgspec.DecodeError`` when the value is no segment.
    """
    sequence, rows = _DECODER.decode(value)
    return Segment(sequence, tuple(ClaimRecord(*row) for row in rows))


def standing(proposed: ClaimRecord, recorded: ClaimRecord | None) -> ClaimRecord | None:
    """Return the record that stands against ``proposed``, if any does.

    ``None`` means that ``proposed`` has to be written. A claim gives way to no
    other attempt unless that attempt was abandoned; later states replace only
    the claim of the same attempt.
    """
    if recorded is None:
        return None
    own = recorded.request_id == proposed.request_id
    if proposed.state is ClaimState.CLAIMED:
        abandoned = recorded.state is ClaimState.ABANDONED
        return None if abandoned and not own else recorded
    if own and recorded.state is ClaimState.CLAIMED:
        return None
    late = proposed.state is ClaimState.FINISHED
    if own and late and recorded.state is ClaimState.UNKNOWN:
        return None
    return recorded
