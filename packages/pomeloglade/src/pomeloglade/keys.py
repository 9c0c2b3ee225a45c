"""Creates keys of client accounts."""

import secrets

KEY_PREFIX = "pg_"
KEY_ENTROPY_BYTES = 32


def create_key() -> str:
    """Return a new random key, safe to put into a header."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_ENTROPY_BYTES)
