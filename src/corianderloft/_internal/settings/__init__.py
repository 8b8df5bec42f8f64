"""Settings of a process: YAML checked by pydantic, one section a module."""
