"""Command line of the stand-ins."""
