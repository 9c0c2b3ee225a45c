"""Tests of http_key_value."""
