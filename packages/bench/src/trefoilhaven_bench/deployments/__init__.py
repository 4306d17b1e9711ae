"""Whole deployments: descriptions, settings files and processes."""
