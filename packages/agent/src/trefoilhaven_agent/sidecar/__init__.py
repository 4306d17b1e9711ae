"""The agent beside a target that speaks in segments."""
