"""Forwarding of HTTP calls to registered backend servers."""
