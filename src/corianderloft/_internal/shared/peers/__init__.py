"""Messages between hosts: form, keyed hash and transport."""
