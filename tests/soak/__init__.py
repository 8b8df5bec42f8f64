"""Randomized soak of real hosts under faults from outside."""
