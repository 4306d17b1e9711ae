"""Claims of buckets from sibling agents."""
