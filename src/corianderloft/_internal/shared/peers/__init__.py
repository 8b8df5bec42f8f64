"""Messages between hosts: encoding, authentication and transport."""
