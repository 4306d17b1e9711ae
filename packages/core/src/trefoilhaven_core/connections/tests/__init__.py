"""Tests of the connections slice."""
