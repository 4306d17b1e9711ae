"""Balancer process and operator commands."""
