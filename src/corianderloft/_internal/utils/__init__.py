"""Helpers that import nothing from the packages above them."""
