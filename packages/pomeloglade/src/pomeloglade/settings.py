"""Settings of a daemon from flags and environment variables."""
