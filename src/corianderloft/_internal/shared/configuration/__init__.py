"""Operators' declarations: storage, editing and replication to hosts."""
