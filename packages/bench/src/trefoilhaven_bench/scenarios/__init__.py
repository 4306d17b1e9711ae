"""Support for the behave scenarios in ``features``."""
