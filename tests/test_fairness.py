"""Tests of fairness."""
