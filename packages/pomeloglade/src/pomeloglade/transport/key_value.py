"""HTTP client of the platform's key-value service."""
