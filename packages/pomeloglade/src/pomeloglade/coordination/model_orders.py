"""Keeps engines at the model versions that the configuration names."""
