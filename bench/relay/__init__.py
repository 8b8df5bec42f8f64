"""Benchmark of an entry host against direct calls to its engines."""
