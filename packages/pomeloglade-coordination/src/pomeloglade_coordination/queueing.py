"""Deadline-aware queue of requests that wait for a replica."""
