"""Small immutable values that all packages share."""
