"""HTTP servers for callers and operators, and clients of backend servers."""
