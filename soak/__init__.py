"""Soak test: random faults against real instance processes on loopback."""
