"""Capacity at the design size, worked out from measured slopes."""
