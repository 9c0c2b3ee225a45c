"""Tests of shares_stateful."""
