"""Messages between instances and the interface that sends them."""

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
    """Sends messages to other instances without waiting.

    Delivery is best effort and in order on each connection; a message may be
    lost, and its sender finds out only by its own timeouts.
    """

    def send(self, instance: str, message: PeerMessage) -> None:
        """Queue ``message`` for ``instance``; unknown instances lose it."""


def message_types(base: type = PeerMessage) -> Iterator[type]:
    """Yield every message class that has been imported, bases included."""
    for subclass in base.__subclasses__():
        yield subclass
        yield from message_types(subclass)
