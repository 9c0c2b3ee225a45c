"""Integrates the coordination library into the router."""
