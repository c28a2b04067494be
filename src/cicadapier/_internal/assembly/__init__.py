"""Assembles the services of a router, for the native interface or for forwarded routes."""
