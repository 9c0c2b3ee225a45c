"""Messages that carry proposed claims to the instance that records them."""

from dataclasses import dataclass

from .claim_records import ClaimRecord, ClaimState
from .peer import PeerMessage


@dataclass(frozen=True, slots=True)
class Proposal:
    """A proposed claim record in plain values; ``number`` names this try."""

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
    """What became of the proposal ``number`` of the instance addressed.

    ``request_id``, ``body``, ``state`` and ``outcome`` are those of the record
    that stands. State 0 means that there is none because the platform could not
    be reached; ``maybe_written`` tells whether the record may stand even so.
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
    """Proposed claim records for shards that the addressed instance writes."""

    proposals: tuple[Proposal, ...]


@dataclass(frozen=True, slots=True)
class Verdicts(PeerMessage):
    """Answers to proposals."""

    verdicts: tuple[Verdict, ...]


@dataclass(frozen=True, slots=True)
class Working(PeerMessage):
    """Says that the proposals with these numbers still wait for the platform."""

    numbers: tuple[int, ...]
