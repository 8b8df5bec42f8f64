"""Client side of the platform's key-value service."""
