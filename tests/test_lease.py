"""Tests of lease."""
