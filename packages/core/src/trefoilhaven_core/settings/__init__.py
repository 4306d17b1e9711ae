"""Defaults, settings types and the settings loader."""
