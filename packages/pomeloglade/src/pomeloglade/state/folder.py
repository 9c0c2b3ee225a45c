"""Reads a folder of TOML files into a deployment."""
