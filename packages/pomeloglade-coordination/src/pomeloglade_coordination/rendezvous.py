"""Rendezvous hashing: assigns keys to members without coordination."""

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Return the 64-bit weight of ``member`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by preference for ``key``, its owner first.

    When a member leaves, only the keys that it owned move.

    >>> ranking = rank_members("account-a", ["i1", "i2"])
    >>> ranking == rank_members("account-a", ["i2", "i1"])
    True
    """
    return sorted(members, key=lambda member: (-score(key, member), member))


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns ``key``, or ``None`` without members."""
    return max(members, key=lambda member: (score(key, member), member), default=None)
