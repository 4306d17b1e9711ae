"""Support of the behave scenarios in ``features``."""
