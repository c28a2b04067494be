"""Quotas of client accounts over all routers, in requests or in tokens."""
