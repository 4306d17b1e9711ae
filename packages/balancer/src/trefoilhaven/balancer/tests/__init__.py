"""Tests of the balancer process."""
