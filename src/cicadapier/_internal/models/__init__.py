"""Identifiers, states and value classes."""
