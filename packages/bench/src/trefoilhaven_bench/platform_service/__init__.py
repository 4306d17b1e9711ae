"""Stand-in for the operator's platform: a versioned object store."""
