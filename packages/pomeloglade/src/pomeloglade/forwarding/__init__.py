"""Forwarded HTTP calls: requests passed on unchanged to registered backend servers."""
