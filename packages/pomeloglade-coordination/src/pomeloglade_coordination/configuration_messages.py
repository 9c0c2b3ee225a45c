"""Messages that spread the configuration."""

from dataclasses import dataclass

from .peer import PeerMessage


class ConfigurationMessage(PeerMessage):
    """Base of the messages that ``ConfigurationSpread`` receives."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRevision(ConfigurationMessage):
    """Tells which revision the sender has in force.

    ``confirmed_milliseconds`` is how long ago the platform answered the sender, or
    the instance that told it; -1 means never. ``reply`` asks for the receiver's own
    revision.
    """

    revision: int
    confirmed_milliseconds: int = -1
    reply: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationRequest(ConfigurationMessage):
    """Asks for what is newer than ``revision``.

    ``wanted`` is the revision of a transfer under way, whose bytes from ``offset``
    on are missing; 0 begins a transfer.
    """

    revision: int
    wanted: int = 0
    offset: int = 0


@dataclass(frozen=True, slots=True)
class Splice:
    """Replaces the bytes from ``start`` to ``end`` of the earlier value."""

    start: int
    end: int
    replacement: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationDelta(ConfigurationMessage):
    """Turns the value of ``base`` into the value of ``revision``.

    ``digest`` is that of the whole new value.
    """

    base: int
    revision: int
    digest: bytes
    splices: tuple[Splice, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationChunk(ConfigurationMessage):
    """A piece of the value of ``revision``, which has ``size`` bytes in all."""

    revision: int
    digest: bytes
    size: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RevisionsRequest(ConfigurationMessage):
    """Asks a watching instance which revisions are in force.

    Without ``whole_fleet`` only those of the receiver's zone are asked for.
    """

    whole_fleet: bool


@dataclass(frozen=True, slots=True)
class InstanceRevision:
    """The revision that an instance reported last."""

    instance: str
    revision: int


@dataclass(frozen=True, slots=True)
class Revisions(ConfigurationMessage):
    """The revisions that the sender knows to be in force."""

    revisions: tuple[InstanceRevision, ...]
