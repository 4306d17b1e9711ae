"""Bucket tables and the choice of a target for packets and requests."""
