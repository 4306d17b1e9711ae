"""Fixtures of the behave scenarios."""
