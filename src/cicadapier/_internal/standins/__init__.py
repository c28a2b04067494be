"""Stand-ins: small programs that take the place of the systems around a router."""
