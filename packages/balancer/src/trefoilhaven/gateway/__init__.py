"""The balancer process for a fabric that sprays segments."""
