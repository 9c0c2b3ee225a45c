"""Messages of the membership protocol."""
