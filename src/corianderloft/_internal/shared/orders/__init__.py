"""Orders to engines: one sender a service, desired ends, read back."""
