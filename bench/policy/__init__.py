"""Simulation benchmark of the scheduling policies in virtual time."""
