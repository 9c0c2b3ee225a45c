"""Messages about the placement of requests, between instances sharing replicas."""

from dataclasses import dataclass

from .peer import PeerMessage


@dataclass(frozen=True, slots=True)
class PlacementAsk(PeerMessage):
    """Asks the placement owner of a group for an assignment.

    Times are in seconds from the sending, as the instances' clocks differ.
    ``unreachable`` names the replicas that the sender can't reach. ``alone``
    keeps other suspects off the assigned replicas.
    """

    group: str
    number: int
    request_id: str
    account: str
    weight: int
    plain: bool
    prompt_tokens: int
    output_tokens: int
    time_left: float
    patient: bool
    give_up_left: float
    prefix: tuple[int, ...] = ()
    fingerprint: str = ""
    alone: bool = False
    unreachable: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementGrant(PeerMessage):
    """Assigns replicas to the placement request with this number."""

    group: str
    number: int
    request_id: str
    prefill: str
    decode: str
    server: str
    alone: bool = False


@dataclass(frozen=True, slots=True)
class PlacementDecline(PeerMessage):
    """Refuses the placement request with this number; ``retry_after`` in seconds."""

    group: str
    number: int
    request_id: str
    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class PlacementCancel(PeerMessage):
    """Cancels a queued request, or frees the grant that crossed this message."""

    group: str
    request_id: str


@dataclass(frozen=True, slots=True)
class PlacementFreed(PeerMessage):
    """Frees the prefill slots, or all slots, of the requests listed.

    ``completed`` lists those of ``released`` that were answered in full.
    """

    group: str
    prefilled: tuple[str, ...] = ()
    released: tuple[str, ...] = ()
    completed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementRefused(PeerMessage):
    """Reports to the owner that an engine refused a request that was granted."""

    group: str
    request_id: str
    replica: str


@dataclass(frozen=True, slots=True)
class Holding(PeerMessage):
    """One request in flight and its replicas; ``prefill`` is empty once it is done."""

    request_id: str
    prefill: str
    decode: str
    server: str
    fingerprint: str = ""
    alone: bool = False


@dataclass(frozen=True, slots=True)
class HoldingsWanted(PeerMessage):
    """Asks an instance for its requests in flight on a group's replicas."""

    group: str
    number: int


@dataclass(frozen=True, slots=True)
class Holdings(PeerMessage):
    """All requests that an instance has in flight on a group's replicas.

    ``lost_seconds`` is how long ago the sender last saw an instance lost,
    negative if that is longer than the slot lease ago or never happened.
    """

    group: str
    number: int
    holdings: tuple[Holding, ...]
    lost_seconds: float


@dataclass(frozen=True, slots=True)
class HoldingsCount(PeerMessage):
    """Number of requests an instance has in flight, to detect lost messages."""

    group: str
    count: int


@dataclass(frozen=True, slots=True)
class CrashReport(PeerMessage):
    """A request that was in flight on a backend server that crashed.

    ``age`` is the time since the crash in seconds, at the sending. ``alone``
    says that the request was already a suspect when it was sent to the server.
    """

    fingerprint: str
    server: str
    age: float
    alone: bool


@dataclass(frozen=True, slots=True)
class SuspectsFound(PeerMessage):
    """Reports requests that may have crashed a server."""

    reports: tuple[CrashReport, ...]


@dataclass(frozen=True, slots=True)
class SuspectCleared(PeerMessage):
    """Reports that a suspect was answered in full ``age`` seconds ago."""

    fingerprint: str
    age: float
