"""Stand-in for a server beside an agent."""
