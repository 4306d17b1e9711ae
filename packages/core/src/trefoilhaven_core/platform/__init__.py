"""Clients of the operator's object service."""
