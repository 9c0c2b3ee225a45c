"""Benchmark of the budget decision in virtual time."""
