"""Connections whose segments the fabric may hand to any balancer."""
