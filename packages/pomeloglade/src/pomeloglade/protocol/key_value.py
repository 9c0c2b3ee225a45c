"""Messages of the key-value service's HTTP protocol."""
