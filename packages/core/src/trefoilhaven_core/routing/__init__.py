"""Bucket tables and the choice among targets."""
