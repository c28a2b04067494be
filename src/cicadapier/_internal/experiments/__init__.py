"""Load generation, request traces, trace replay and measurements."""
