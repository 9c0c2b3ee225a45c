"""Tests of folder."""
