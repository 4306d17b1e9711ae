"""Exclusive ownership of buckets among the agents of a service."""
