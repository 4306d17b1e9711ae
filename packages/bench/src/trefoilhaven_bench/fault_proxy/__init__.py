"""Proxy that delays, loses, doubles, reorders and cuts traffic by link."""
