"""Requests suspected or convicted of crashing backend servers."""
