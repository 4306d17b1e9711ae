"""The balancer process for a fabric that sprays segments.

The code and the log lines of this process call it a gateway. The settings, the
objects and the entry point of the platform call it a balancer, as do some
comments.
"""
