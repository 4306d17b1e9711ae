"""Tests of service configuration."""
