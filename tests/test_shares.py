"""Tests of shares."""
