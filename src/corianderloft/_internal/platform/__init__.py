"""Integration with the users' platform: formats, settings and store client."""
