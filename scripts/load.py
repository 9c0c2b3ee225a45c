"""Sends a bounded load to real instances on loopback and reports what it saw."""
