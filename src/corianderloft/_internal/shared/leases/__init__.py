"""Leases with fencing numbers, stored in the key-value service."""
