"""Agent beside a target that receives TCP-like segments."""
