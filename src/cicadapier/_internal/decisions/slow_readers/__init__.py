"""Decisions about what is held for callers that read their answers slowly."""
