"""Shared slices of the balancer and the agent."""
