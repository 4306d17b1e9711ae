"""Service files, publishing and version order."""
