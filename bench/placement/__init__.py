"""Simulates the placement of prompts in virtual time."""
