"""At-most-once claims of idempotency keys with group commit."""
