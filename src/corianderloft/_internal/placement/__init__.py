"""Decides where, when and whether a request of the gateway runs."""
