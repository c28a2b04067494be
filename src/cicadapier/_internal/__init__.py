"""Implementation of cicadapier; not a public API."""
