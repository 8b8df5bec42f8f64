"""Benchmark of control traffic: its cost and how fast changes spread."""
