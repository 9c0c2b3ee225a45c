"""Stand-ins for the platform, model engines and plain services in tests and demos."""
