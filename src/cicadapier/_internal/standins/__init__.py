"""Small stand-ins for the systems that a router meets."""
