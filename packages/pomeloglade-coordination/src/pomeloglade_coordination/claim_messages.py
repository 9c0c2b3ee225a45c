"""Messages that carry proposed claims to the instance that records them."""

from dataclasses import dataclass

from .claim_records import ClaimRecord, ClaimState
from .peer import PeerMessage


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed claim record as plain values; the ``Verdict`` repeats ``number``."""

    number: int
    shard: int
    digest: bytes
    body: bytes
    request_id: str
    state: int
    outcome: bytes | None

    def record(self) -> ClaimRecord:
        """Return the proposed record."""
        state = ClaimState(self.state)
        return ClaimRecord(self.digest, self.body, self.request_id, state, self.outcome)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of the receiver's proposal ``number``.

    ``request_id``, ``body``, ``state`` and ``outcome`` are those of the record
    that is in the log. State 0 means that writing failed; ``maybe_written``
    says whether the proposed record may be in the log nevertheless.
    """

    number: int
    digest: bytes
    body: bytes = b""
    request_id: str = ""
    state: int = 0
    outcome: bytes | None = None
    maybe_written: bool = False


@dataclass(frozen=True, slots=True)
class Proposals(PeerMessage):
    """Proposed claim records for shards that the receiver writes."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True, slots=True)
class Verdicts(PeerMessage):
    """Results of proposals."""

    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class Working(PeerMessage):
    """Reports to the sender of these proposals that they are still being written."""

    numbers: tuple[int, ...]
