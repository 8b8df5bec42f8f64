"""Membership: which hosts are live, kept by messages between them."""
