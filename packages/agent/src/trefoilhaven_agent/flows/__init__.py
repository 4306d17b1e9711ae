"""Flow traffic between balancers, siblings, the target and the fabric."""
