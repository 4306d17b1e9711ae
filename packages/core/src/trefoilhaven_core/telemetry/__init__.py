"""Logs, metrics, process events, and start and stop of processes."""
