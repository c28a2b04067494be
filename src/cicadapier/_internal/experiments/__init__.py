"""Load, traces, replay and measurements."""
