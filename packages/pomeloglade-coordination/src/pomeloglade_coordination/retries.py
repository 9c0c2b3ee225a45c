"""Retry budget as a share of successes."""
