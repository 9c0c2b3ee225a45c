"""Tests of claims_stateful."""
