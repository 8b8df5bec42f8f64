"""Metrics of a process, in a single registry."""
