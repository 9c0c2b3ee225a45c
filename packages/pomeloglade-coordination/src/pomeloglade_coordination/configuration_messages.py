"""Messages that distribute the configuration between instances."""

from dataclasses import dataclass

from .peer import PeerMessage


class ConfigurationMessage(PeerMessage):
    """Base of the messages that ``ConfigurationSpread`` receives."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRevision(ConfigurationMessage):
    """Reports which revision the sender has in force.

    ``confirmed_milliseconds`` is the age of the platform's last answer known to the
    sender, received by itself or reported by a peer; -1 means none. ``reply``
    requests the receiver's revision in return.
    """

    revision: int
    confirmed_milliseconds: int = -1
    reply: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationRequest(ConfigurationMessage):
    """Requests the changes since ``revision``.

    ``wanted`` is the revision of a transfer in progress, which continues from byte
    ``offset``; 0 starts a transfer.
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
    """Changes the value of revision ``base`` into that of ``revision``.

    ``digest`` is the digest of the complete new value.
    """

    base: int
    revision: int
    digest: bytes
    splices: tuple[Splice, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationChunk(ConfigurationMessage):
    """A chunk of the value of ``revision``, which has ``size`` bytes in total."""

    revision: int
    digest: bytes
    size: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RevisionsRequest(ConfigurationMessage):
    """Requests the revisions in force from a watcher.

    Without ``whole_fleet``, only those of the receiver's zone are requested.
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
