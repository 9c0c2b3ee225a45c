"""Weighted fair queueing over accounts, in tokens."""
