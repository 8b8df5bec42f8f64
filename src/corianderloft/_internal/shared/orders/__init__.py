"""Orders to engines: one sender per service reconciles their state."""
