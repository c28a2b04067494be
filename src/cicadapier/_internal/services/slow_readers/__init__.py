"""Holds streams for callers that read them slowly."""
