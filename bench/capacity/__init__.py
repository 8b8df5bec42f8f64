"""Capacity at the design size, extrapolated from measured unit costs."""
