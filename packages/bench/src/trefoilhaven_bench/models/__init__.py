"""Seeded models that compare the decision code with its baselines."""
