"""Immutable value types shared by all packages."""
