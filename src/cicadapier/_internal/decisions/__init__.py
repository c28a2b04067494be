"""Pure state machines: no I/O, no clock, no global random."""
