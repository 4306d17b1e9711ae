"""Claims of buckets between sibling agents."""
