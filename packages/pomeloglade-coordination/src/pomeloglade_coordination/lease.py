"""Leases that end early for their holder and late for everyone else."""
