"""Heartbeats, leases and the view of the agent's service."""
