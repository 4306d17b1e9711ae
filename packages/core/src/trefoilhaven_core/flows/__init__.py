"""The flow table of an agent."""
