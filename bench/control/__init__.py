"""Bench of control: what hosts cost each other, and how fast they agree."""
