"""Tests of the agent process."""
