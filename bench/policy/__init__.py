"""Measurement of the decisions in virtual time."""
