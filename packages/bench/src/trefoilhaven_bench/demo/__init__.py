"""Demo: both operators' deployments under load and changes, for a minute."""
