"""A minute of both operators' deployments under traffic and changes."""
