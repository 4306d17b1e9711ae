"""Tests of the timeline slice."""
