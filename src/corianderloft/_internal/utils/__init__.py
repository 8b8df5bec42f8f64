"""Helpers without dependencies on other packages of corianderloft."""
