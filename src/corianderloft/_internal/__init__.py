"""Implementation of corianderloft; nothing below this package is public."""
