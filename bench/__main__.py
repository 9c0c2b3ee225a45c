"""Runs every benchmark and checks its bounds."""
