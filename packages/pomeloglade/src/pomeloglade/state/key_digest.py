"""Computes the digest of a key, the only form in which keys are stored."""

import hashlib


def digest_key(key: str) -> str:
    """Return the digest of ``key`` in hexadecimal.

    A key has 256 random bits, so one round of SHA-256 without salt is enough.
    Without a salt, a caller's key is found by a single look-up.

    >>> digest_key("pg_example")[:8]
    '5c8ff7f8'
    """
    return hashlib.sha256(key.encode()).hexdigest()
