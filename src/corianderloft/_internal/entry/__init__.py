"""The entry host: takes callers' requests and relays the answers."""
