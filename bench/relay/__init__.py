"""Bench of the relay: an entry host against its engines called directly."""
