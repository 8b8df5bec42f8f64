"""State that entry hosts share: membership, configuration, claims."""
