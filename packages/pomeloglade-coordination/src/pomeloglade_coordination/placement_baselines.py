"""Simpler ways to place requests, kept to measure against."""
