"""Control traffic of membership and configuration."""
