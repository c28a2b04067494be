"""Puts the services of a router together, for its own interface or for forwarded routes."""
