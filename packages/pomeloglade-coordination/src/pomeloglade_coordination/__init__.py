"""Coordination of a fleet of instances that keep no data on disk."""
