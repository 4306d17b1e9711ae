"""Tests of the flow table."""
