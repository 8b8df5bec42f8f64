"""Duties that one host at a time performs for the whole fleet."""
