"""Benchmark of the claims decision in virtual time."""
