"""Tests of configuration_stateful."""
