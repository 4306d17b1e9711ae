"""Tests of the models and of the stated figures."""
