"""Membership: which hosts are live, maintained by a gossip protocol."""
