"""Client of the operator's object store, and platform adapters."""
