"""Load tool: long flows through the fabric and requests to balancers."""
