"""Messages of the membership protocol."""

from dataclasses import dataclass

from .members import Member
from .peer import PeerMessage


class MembershipMessage(PeerMessage):
    """Base of the messages that ``Membership`` receives."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Heartbeat(MembershipMessage):
    """Tells that this incarnation of the sender runs.

    Between availability zones it carries the fingerprint of the sender's zone, so
    that the receiver asks for its members only after a change.
    """

    incarnation: int
    leaving: bool = False
    zone_fingerprint: int | None = None


@dataclass(frozen=True, slots=True)
class Presence(MembershipMessage):
    """Describes the sender: on first contact, and when asked.

    ``reply`` asks the receiver to describe itself in turn.
    """

    member: Member
    leaving: bool = False
    reply: bool = False


@dataclass(frozen=True, slots=True)
class PresenceRequest(MembershipMessage):
    """Asks the sender of an unknown heartbeat to describe itself."""


@dataclass(frozen=True, slots=True)
class DeclaredDead(MembershipMessage):
    """Tells an instance that this incarnation of it was declared dead."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ProbeRequest(MembershipMessage):
    """Asks whether the receiver still hears ``instance``."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class ProbeAnswer(MembershipMessage):
    """Tells that ``instance`` was heard ``age_milliseconds`` ago."""

    instance: str
    incarnation: int
    age_milliseconds: int


@dataclass(frozen=True, slots=True)
class ZoneUpdate(MembershipMessage):
    """The members of an availability zone, or what changed among them.

    It applies to the members with the fingerprint ``base``; with ``base`` ``None``
    ``joined`` is the whole zone.
    """

    availability_zone: str
    base: int | None
    fingerprint: int
    joined: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ZoneLost(MembershipMessage):
    """Tells that the sender hears no member of this zone any more."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class ZoneRequest(MembershipMessage):
    """Asks for all members of one availability zone."""

    availability_zone: str


@dataclass(frozen=True, slots=True)
class FleetFingerprint(MembershipMessage):
    """All zones that the sender hears as one number, to find lost updates."""

    fingerprint: int


@dataclass(frozen=True, slots=True)
class FleetRequest(MembershipMessage):
    """Asks for all members of every zone that the receiver hears."""
