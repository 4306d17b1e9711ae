"""Tests of the models and of the documented figures."""
