"""Glue between library codecs and the services."""
