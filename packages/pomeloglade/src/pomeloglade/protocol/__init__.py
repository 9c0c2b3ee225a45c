"""Typed messages and codecs, without I/O."""
