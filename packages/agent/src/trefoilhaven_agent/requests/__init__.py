"""Requests that this agent decides about, runs or relays."""
