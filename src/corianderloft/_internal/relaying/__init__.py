"""Puts a response to a caller together from responses of servers."""
