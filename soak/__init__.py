"""Randomized fault soak of the real programs as separate processes on loopback."""
