"""Upstreams of one pool on which work takes unequally long."""
