"""Tests of model orders."""
