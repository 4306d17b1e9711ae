"""Connections whose segments the fabric may send to any balancer."""
