"""Benchmarks of the coordination algorithms in virtual time."""
