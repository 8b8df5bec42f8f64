"""Measurements of corianderloft, run by the Makefile."""
