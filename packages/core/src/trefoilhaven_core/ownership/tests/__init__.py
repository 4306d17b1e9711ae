"""Tests of bucket ownership."""
