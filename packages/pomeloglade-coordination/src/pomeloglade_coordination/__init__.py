"""Coordination parts for fleets of diskless instances."""
