"""Base class of messages between instances, and the interface that sends them."""

from collections.abc import Iterator
from typing import Protocol


class PeerMessage:
    """Base of every message between instances.

    Subclasses are frozen data classes of plain values (integers, floats,
    strings, bytes, tuples and other such data classes), so that a codec can
    carry them by class name.
    """

    __slots__ = ()


class PeerSender(Protocol):
    """Sends messages to other instances without blocking.

    Delivery is best effort, in order on each connection. A message may be lost, which
    its sender can detect only by a timeout.
    """

    def send(self, instance: str, message: PeerMessage) -> None:
        """Queue ``message`` for ``instance``; drop it if the instance is unknown."""


def message_types(base: type = PeerMessage) -> Iterator[type]:
    """Yield every imported subclass of ``base``, intermediate bases included."""
    for subclass in base.__subclasses__():
        yield subclass
        yield from message_types(subclass)
