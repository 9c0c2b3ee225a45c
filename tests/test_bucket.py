"""Tests of bucket."""
