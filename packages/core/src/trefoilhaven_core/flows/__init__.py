"""Flow table of an agent."""
