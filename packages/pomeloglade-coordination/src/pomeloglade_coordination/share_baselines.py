"""Simpler ways to share a rate, kept to measure against."""
