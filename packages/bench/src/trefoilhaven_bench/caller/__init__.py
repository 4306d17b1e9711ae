"""Load generators for long flows and for requests."""
