"""Benchmarks of the decisions in virtual time."""
