"""Adapter to the users' platform: its names, its formats and its calls, without any decisions."""
