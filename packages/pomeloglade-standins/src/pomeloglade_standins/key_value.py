"""Stand-in of the platform's key-value service over HTTP."""
