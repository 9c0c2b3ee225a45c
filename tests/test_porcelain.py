"""Tests of porcelain."""
