"""Messages of the membership protocol."""

from dataclasses import dataclass

from .members import Member
from .peer import PeerMessage


class MembershipMessage(PeerMessage):
    """Base of the messages that ``Membership`` receives."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Heartbeat(MembershipMessage):
    """Reports that this incarnation of the sender is running.

    Between availability zones it carries the fingerprint of the sender's zone, so
    that the receiver requests its members only after a change.
    """

    incarnation: int
    leaving: bool = False
    zone_fingerprint: int | None = None


@dataclass(frozen=True, slots=True)
class Presence(MembershipMessage):
    """Describes the sender, on first contact or on request.

    ``reply`` requests a ``Presence`` of the receiver in return.
    """

    member: Member
    leaving: bool = False
    reply: bool = False


@dataclass(frozen=True, slots=True)
class PresenceRequest(MembershipMessage):
    """Requests ``Presence`` from a sender whose incarnation is unknown."""


@dataclass(frozen=True, slots=True)
class DeclaredDead(MembershipMessage):
    """Informs the receiver that its ``incarnation`` was declared dead."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ProbeRequest(MembershipMessage):
    """Asks whether the receiver still gets messages from ``instance``."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ProbeAnswer(MembershipMessage):
    """Reports that ``instance`` was last heard from ``age_milliseconds`` ago."""

    instance: str
    incarnation: int
    age_milliseconds: int


@dataclass(frozen=True, slots=True)
class ZoneUpdate(MembershipMessage):
    """The members of an availability zone, in full or as a difference.

    A difference applies to the members with the fingerprint ``base``. If ``base`` is
    ``None``, ``joined`` lists all members of the zone.
    """

    availability_zone: str
    base: int | None
    fingerprint: int
    joined: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ZoneLost(MembershipMessage):
    """Reports that the sender gets no more messages from any member of this zone."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class ZoneRequest(MembershipMessage):
    """Requests all members of one availability zone."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class FleetFingerprint(MembershipMessage):
    """A digest of all zones that the sender observes, to detect lost updates."""

    fingerprint: int


@dataclass(frozen=True, slots=True)
class FleetRequest(MembershipMessage):
    """Requests all members of every zone that the receiver observes."""
