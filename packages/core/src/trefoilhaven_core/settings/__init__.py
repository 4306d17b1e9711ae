"""Settings files and service files: loading, validation and defaults."""
