"""HTTP towards callers, operators and backend servers."""
