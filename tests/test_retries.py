"""Tests of the retry budget."""
