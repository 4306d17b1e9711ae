"""Agent process, one beside each target."""
