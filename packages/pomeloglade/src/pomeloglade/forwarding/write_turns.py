"""The order in which instances write what the store lacks."""

from collections.abc import Iterable
from hashlib import blake2b


def write_turn(key: str, instance: str, instances: Iterable[str]) -> int:
    """Return how many instances are to write a key's entry before ``instance``.

    The order differs from key to key, and all instances that know of each other agree
    on it without a message.

    >>> sorted(write_turn("key", name, "abc") for name in "abc")
    [0, 1, 2]
    """
    ranked = sorted({instance, *instances}, key=lambda name: _weight(key, name))
    return ranked.index(instance)


def _weight(key: str, instance: str) -> bytes:
    return blake2b(f"{key}/{instance}".encode(), digest_size=8).digest()
