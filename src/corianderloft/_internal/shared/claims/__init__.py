"""Claims: a call that may not be repeated runs at most once."""
