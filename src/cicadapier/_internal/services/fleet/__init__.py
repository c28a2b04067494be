"""Services by which the routers of a large fleet work for one another."""
