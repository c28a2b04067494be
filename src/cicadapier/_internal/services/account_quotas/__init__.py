"""Keeps the quotas of client accounts over all routers."""
