"""Decisions for fleets in which routers work for one another."""
