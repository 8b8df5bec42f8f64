"""Settings of a process: YAML validated by pydantic, a module per section."""
