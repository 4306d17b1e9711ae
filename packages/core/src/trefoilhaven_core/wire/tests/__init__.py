"""Tests of the wire slice."""
