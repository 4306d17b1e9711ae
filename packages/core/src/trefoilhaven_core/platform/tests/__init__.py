"""Tests of the platform slice."""
