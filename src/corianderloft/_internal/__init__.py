"""Private implementation of corianderloft."""
