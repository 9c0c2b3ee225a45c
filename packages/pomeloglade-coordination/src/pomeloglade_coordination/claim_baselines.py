"""Simpler ways to record claims, kept to measure against."""
