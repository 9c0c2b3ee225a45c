"""Messages between the holders and owners of shares."""
