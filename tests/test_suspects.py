"""Tests of suspects."""
