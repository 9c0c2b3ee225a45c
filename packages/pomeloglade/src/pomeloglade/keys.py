"""Keys of client accounts and their digests."""

import hashlib
import secrets
from dataclasses import dataclass

from .state.deployment import Deployment

KEY_PREFIX = "pg_"
KEY_ENTROPY_BYTES = 32
DIGEST_PATTERN = r"[0-9a-f]{64}"


@dataclass(frozen=True, slots=True)
class KeyOwner:
    """The client account and key name that a digest belongs to."""

    account: str
    key_name: str
    withdrawn: bool = False


def create_key() -> str:
    """Return a new random key, safe to put into a header."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_ENTROPY_BYTES)


def digest_key(key: str) -> str:
    """Return the digest of ``key`` in hexadecimal, the only form that is stored.

    A key has 256 random bits, so one round of SHA-256 without salt is enough,
    and a caller's key is found by one look-up.

    >>> digest_key("pg_example")[:8]
    '5c8ff7f8'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def key_owners_by_digest(deployment: Deployment) -> dict[str, KeyOwner]:
    """Return the owner of every digest, withdrawn ones included.

    A digest that is withdrawn anywhere counts as withdrawn.
    """
    owners_by_digest: dict[str, KeyOwner] = {}
    for account in deployment.accounts_by_name.values():
        for key_name, digest in account.key_digests.items():
            owners_by_digest[digest] = KeyOwner(account.name, key_name)
    for account in deployment.accounts_by_name.values():
        for digest in account.withdrawn_digests:
            owners_by_digest[digest] = KeyOwner(account.name, "", withdrawn=True)
    return owners_by_digest
