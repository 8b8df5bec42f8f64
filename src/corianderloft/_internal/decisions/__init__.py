"""Decisions on a request: admission, queueing, choice of engine, retry."""
