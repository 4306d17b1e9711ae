"""The balancer of connections whose segments the fabric sprays."""
