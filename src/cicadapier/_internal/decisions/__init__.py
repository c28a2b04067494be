"""Decision logic without I/O: time is passed in, and there is no global random state."""
