"""Agent beside a target that receives TCP-like segments.

The code and the log lines of this process call it a sidecar. The settings and
the entry point of the platform call it an agent, as do most comments.
"""
