"""Requests that this agent decides about or runs."""
