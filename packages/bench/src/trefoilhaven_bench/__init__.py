"""Stand-ins for outside systems, the demo and the measurements."""
