"""Admission queue in front of a target with few slots."""
