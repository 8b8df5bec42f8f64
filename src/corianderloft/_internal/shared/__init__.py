"""State shared by entry hosts: membership, configuration and claims."""
