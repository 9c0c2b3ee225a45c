"""Data classes, state machines and in-memory indexes."""
