"""Claims of idempotency keys: a claimed call runs at most once."""
