"""Reports on upstreams on which work takes unequally long."""
