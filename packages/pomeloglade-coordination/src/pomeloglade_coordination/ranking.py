"""Rendezvous ranking by the standard library's hash.

It stands in for ``rendezvous``, whose hash refuses strings with xxhash 4.
"""

import hashlib
from collections.abc import Iterable


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members from the first owner of ``key`` to the last.

    >>> ranked("k", ["i1", "i2"]) == ranked("k", ["i2", "i1"])
    True
    """
    return sorted(members, key=lambda member: (_score(key, member), member))


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the member that owns ``key``, or ``None`` without members."""
    return next(iter(ranked(key, members)), None)


def _score(key: str, member: str) -> bytes:
    return hashlib.blake2b(f"{key}\x00{member}".encode(), digest_size=8).digest()
