"""Stand-ins of the platform, replicas and clients for the review's scripts.

Only the standard library is used. Everything listens on loopback addresses.
"""
