"""The operators' declarations: how they are stored, edited and followed."""
