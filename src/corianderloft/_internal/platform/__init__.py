"""Speaks the words of the users' platform; decides nothing."""
