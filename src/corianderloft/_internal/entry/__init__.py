"""Entry host: accepts caller requests and relays the responses."""
