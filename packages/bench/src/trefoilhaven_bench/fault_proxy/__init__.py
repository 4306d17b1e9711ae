"""Proxy that injects delay, loss, duplication, reordering and cuts."""
