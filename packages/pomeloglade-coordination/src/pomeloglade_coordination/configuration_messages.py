"""Messages that spread the configuration."""
