"""Heartbeats, the lease and the view of the agent's service."""
