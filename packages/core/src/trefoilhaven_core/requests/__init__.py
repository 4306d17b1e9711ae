"""Request records, outcomes and answer assembly."""
