"""Leases with fencing numbers, held in the key-value service."""
