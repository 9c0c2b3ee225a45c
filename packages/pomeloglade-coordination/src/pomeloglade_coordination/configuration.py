"""Spread of the operators' configuration to every instance."""
