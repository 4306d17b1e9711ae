"""Tests of the timeline package."""
