"""Timeline: the events of all processes in causal order."""
