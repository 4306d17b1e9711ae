"""Stand-in for a target: a server with an agent on its host."""
