"""The queue before a target's slots."""
