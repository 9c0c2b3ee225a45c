"""Model of a fleet that shares rates."""
