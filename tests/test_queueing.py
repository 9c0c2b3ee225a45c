"""Tests of queueing."""
